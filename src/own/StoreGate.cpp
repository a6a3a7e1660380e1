#include "own/StoreGate.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr const char* kOwnerKey = "store-gate";
constexpr const char* kZoneOnly = "zone_only"; // of a question
constexpr Millis kAskTime{ 300 };
constexpr Millis kAskLater{ 100 };

Json::Value
QuestionJson(const LoadGateQuestion& aQuestion)
{
  Json::Value json;
  json["id"] = aQuestion.mId;
  json["class"] = RequestClassName(aQuestion.mClass);
  json["inside"] = aQuestion.mInside;
  return json;
}

LoadGateQuestion
QuestionParse(const Json::Value& aJson)
{
  LoadGateQuestion question;
  question.mId = aJson["id"].asString();
  RequestClassParse(aJson["class"].asString(), question.mClass);
  question.mInside = aJson["inside"].asBool();
  return question;
}

// Nobody could be asked: whoever is in stays in.
LoadGateAnswer
Later(const LoadGateQuestion& aQuestion)
{
  return { aQuestion.mInside, kAskLater };
}

} // namespace

LoadGateTerms
StoreGateTerms(const StoreGateSettings& aSettings, int aZones)
{
  int zones = std::max(1, aSettings.mZones);
  double part = static_cast<double>(std::min(aZones, zones)) / zones;
  LoadGateTerms terms;
  terms.mAtOnce = std::max(1, static_cast<int>(aSettings.mAtOnce * part));
  terms.mStartsPerSecond = std::max(1.0, aSettings.mStarts * part);
  return terms;
}

StoreGate::StoreGate(StoreGateSettings aSettings,
                     Members& aMembers,
                     PeerClient& aPeers,
                     const Clock& aClock)
  : mSettings(aSettings)
  , mMembers(aMembers)
  , mPeers(aPeers)
  , mClock(aClock)
  , mGate(StoreGateTerms(mSettings, mSettings.mZones), aClock.Now())
{
}

LoadGateAnswer
StoreGate::Ask(const LoadGateQuestion& aQuestion)
{
  InstanceInfo owner = mMembers.FleetOwner(kOwnerKey);
  if (owner.mId == mMembers.Self().mId) {
    return AnswerHere(mMembers.FitZones(), aQuestion);
  }
  if (auto answer = AskAt(owner, QuestionJson(aQuestion))) {
    return *answer;
  }
  // It may have stalled for a moment, and hold the places it gave. Letting
  // ourselves in, and everyone else who asked it, would make the store slow
  // for all. A load takes seconds; a second question costs it half of one.
  return mMembers.IsFit(owner.mId) ? Later(aQuestion) : AskZone(aQuestion);
}

LoadGateAnswer
StoreGate::AskZone(const LoadGateQuestion& aQuestion)
{
  InstanceInfo owner = mMembers.Owner(kOwnerKey);
  if (owner.mId == mMembers.Self().mId) {
    return AnswerHere(1, aQuestion);
  }
  {
    std::lock_guard<std::mutex> lock(mLock);
    mAskedZone.insert(aQuestion.mId);
  }
  Json::Value question = QuestionJson(aQuestion);
  question[kZoneOnly] = true;
  auto answer = AskAt(owner, question);
  return answer ? *answer : Later(aQuestion);
}

std::optional<LoadGateAnswer>
StoreGate::AskAt(const InstanceInfo& aOwner, const Json::Value& aQuestion)
{
  auto answer = Outcome([&] {
    return mPeers.Call(aOwner.mPeerAddress, "load.ask", aQuestion, kAskTime);
  });
  auto* json = std::get_if<Json::Value>(&answer);
  if (!json) {
    mMembers.Silent(aOwner.mPeerAddress);
    return std::nullopt;
  }
  return LoadGateAnswer{ (*json)["in"].asBool(),
                         Millis((*json)["again"].asInt64()) };
}

LoadGateAnswer
StoreGate::AnswerHere(int aZones, const LoadGateQuestion& aQuestion)
{
  std::lock_guard<std::mutex> lock(mLock);
  TimePoint now = mClock.Now();
  mGate.mTerms = StoreGateTerms(mSettings, aZones);
  mGate.mStarts.Resize(
    mGate.mTerms.mStartsPerSecond, mGate.mTerms.mStartsPerSecond, now);
  return LoadGateAsk(mGate, aQuestion, now);
}

void
StoreGate::Leave(const std::string& aId)
{
  bool askedZone = false;
  {
    std::lock_guard<std::mutex> lock(mLock);
    LoadGateLeave(mGate, aId);
    askedZone = mAskedZone.erase(aId) > 0;
  }
  LeaveAt(mMembers.FleetOwner(kOwnerKey), aId);
  if (askedZone) {
    LeaveAt(mMembers.Owner(kOwnerKey), aId);
  }
}

void
StoreGate::LeaveAt(const InstanceInfo& aOwner, const std::string& aId)
{
  if (aOwner.mId == mMembers.Self().mId) {
    return;
  }
  Json::Value params;
  params["id"] = aId;
  Outcome([&] {
    return mPeers.Call(aOwner.mPeerAddress, "load.leave", params, kAskTime);
  });
}

bool
StoreGate::EnterAdapter(TimePoint aUntil)
{
  int instances = static_cast<int>(mMembers.Others().size()) + 1;
  int part = std::max(1, mSettings.mAdaptersAtOnce / instances);
  std::unique_lock<std::mutex> lock(mAdapterLock);
  auto left = std::max(
    Millis(0), std::chrono::duration_cast<Millis>(aUntil - mClock.Now()));
  if (!mAdapterFree.wait_for(lock, left, [&] { return mAdapters < part; })) {
    return false;
  }
  ++mAdapters;
  return true;
}

void
StoreGate::LeaveAdapter()
{
  {
    std::lock_guard<std::mutex> lock(mAdapterLock);
    --mAdapters;
  }
  mAdapterFree.notify_one();
}

void
StoreGate::AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd)
{
  aAdd("load.ask", [this](const Json::Value& aParams) {
    int zones = aParams[kZoneOnly].asBool() ? 1 : mMembers.FitZones();
    LoadGateAnswer answer = AnswerHere(zones, QuestionParse(aParams));
    Json::Value json;
    json["in"] = answer.mIn;
    json["again"] = Json::Int64(answer.mAgain.count());
    return json;
  });
  aAdd("load.leave", [this](const Json::Value& aParams) {
    std::lock_guard<std::mutex> lock(mLock);
    LoadGateLeave(mGate, aParams["id"].asString());
    return Json::Value(Json::objectValue);
  });
}

} // namespace caraway
