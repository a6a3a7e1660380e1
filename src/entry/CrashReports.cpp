#include "entry/CrashReports.h"

#include <algorithm>

namespace caraway {

namespace {

// Between two looks at what is suspected. While a server is about to be
// reported they are more frequent.
constexpr Millis kTick{ 200 };
constexpr Millis kReportTick{ 40 };

constexpr char kReportMessage[] = "server_crashes";
constexpr char kClearedMessage[] = "parts_cleared";
constexpr char kVoidMessage[] = "crash_void";
constexpr char kBlockedMessage[] = "parts_blocked";

// Fit into a datagram.
constexpr int kPartsPerMessage = 200;

// What many instances know is told by the first of them, after up to
// kMinJitter and kJitterPerInstance for each one.
constexpr Millis kMinJitter{ 60 };
constexpr double kJitterPerInstanceMs = 0.5;

// Crashes whose reports this instance remembers to be its own.
constexpr size_t kMaxReported = 256;

std::vector<std::string>
NamesOf(const PartEvidence& aEvidence)
{
  std::vector<std::string> names;
  for (const CrashSighting& crash : aEvidence.mCrashes) {
    names.push_back(crash.mCrash);
  }
  return names;
}

} // namespace

std::string
Joined(const PromptParts& aNames)
{
  std::string text;
  for (const std::string& name : aNames) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

CrashReports::CrashReports(EntryState& aState,
                           StoreClient& aStore,
                           Peers& aPeers,
                           Membership& aMembers)
  : mState(aState)
  , mStore(aStore)
  , mPeers(aPeers)
  , mMembers(aMembers)
  , mRequestEnds(aState, aStore, aPeers)
{
}

void
CrashReports::Start()
{
  mPeers.OnMessage(kReportMessage,
                   [this](const Json::Value& aMessage) { OnReport(aMessage); });
  mPeers.OnMessage(kClearedMessage, [this](const Json::Value& aMessage) {
    OnClearedMessage(aMessage);
  });
  mPeers.OnMessage(kVoidMessage, [this](const Json::Value& aMessage) {
    std::string crash = aMessage["crash"].asString();
    mBroken.OnRefuted(crash, mState.Now());
    mSuspects.OnVoid(crash);
  });
  mPeers.OnMessage(kBlockedMessage, [this](const Json::Value& aMessage) {
    ReadEvidence(aMessage["parts"], Millis(0), aMessage["from"].asString());
  });
  mRequestEnds.Start();
  mPeers.AddMethod("parts", [this](const Json::Value&) { return ListParts(); });
  mPeers.AddMethod(
    "lift_part", [this](const Json::Value& aParams) { return Lift(aParams); });
  mMembers.OnEntry([this](Json::Value& aSpec) { FillEntry(aSpec); },
                   [this](const std::string& aName, const Json::Value& aSpec) {
                     ReadEntry(aName, aSpec);
                   });
}

Millis
CrashReports::Jitter() const
{
  auto most =
    kMinJitter +
    Millis(static_cast<int64_t>(mState.mInstances * kJitterPerInstanceMs));
  std::uniform_int_distribution<int64_t> pick(0, most.count());
  return Millis(pick(mState.mRandom));
}

void
CrashReports::TickSoon()
{
  if (!mTicking && PartsWatched()) {
    mTicking = true;
    mState.mReactor.After(mBroken.Empty() ? kTick : kReportTick,
                          [this] { Tick(); });
  }
}

void
CrashReports::Tick()
{
  mTicking = false;
  SendReports();
  for (const std::string& part : mSuspects.Update(mState.Now())) {
    OnBlocked(part, mState.mSettings.mName);
    mBlockedToTell.insert(part);
    mState.mReactor.After(Jitter(), [this, part] { Announce(part); });
  }
  CheckEntry();
  TickSoon();
}

// ---- Crashes

// A server that drains, or whose entry is gone, ends as it was told to.
bool
CrashReports::InUse(const ServerLife& aLife) const
{
  auto found = mState.mServers.All().find(aLife.mServer);
  return found != mState.mServers.All().end() &&
         found->second.mEntry.mStartTime == aLife.mStartTime &&
         !found->second.mEntry.mDraining;
}

void
CrashReports::OnBroken(const ServerLife& aLife, const PromptParts& aParts)
{
  if (InUse(aLife)) {
    mBroken.OnBroken(aLife, aParts, mState.Now());
    mState.mReactor.After(kReportTick, [this] { SendReports(); });
    TickSoon();
  }
}

void
CrashReports::OnUnsureEnd(const ServerLife& aLife, const PromptParts& aParts)
{
  if (InUse(aLife)) {
    mBroken.OnUnsureEnd(aLife, aParts, mState.Now());
    TickSoon();
  }
}

void
CrashReports::OnServersChanged()
{
  for (const ServerLife& life : mBroken.Unsure()) {
    auto found = mState.mServers.All().find(life.mServer);
    bool listed = found != mState.mServers.All().end();
    if (!listed || found->second.mEntry.mStartTime != life.mStartTime) {
      mBroken.OnEnded(life.Name(), std::nullopt, mState.Now());
    }
  }
}

void
CrashReports::OnBytes(const ServerLife& aLife, TimePoint aSentAt)
{
  mRequestEnds.OnBytes(aLife.Name(), aSentAt);
  // While the loop is held up, bytes from before a server's end are read after
  // it.
  if (mState.mReactor.Lag() >= kMaxLag ||
      !mBroken.OnBytes(aLife, aSentAt, mState.Now())) {
    return;
  }
  mState.mLog.Line("server_lives").Text("server", aLife.mServer);
  mSuspects.OnVoid(aLife.Name());
  Json::Value message;
  message["crash"] = aLife.Name();
  mPeers.SendMessage(kVoidMessage, message);
}

void
CrashReports::SendReports()
{
  TimePoint now = mState.Now();
  Json::Value crashes(Json::arrayValue);
  int parts = 0;
  auto send = [this, &crashes, &parts] {
    Json::Value message;
    message["crashes"] = crashes;
    mPeers.SendMessage(kReportMessage, message);
    crashes = Json::Value(Json::arrayValue);
    parts = 0;
  };
  for (const CrashReport& report : mBroken.TakeReports(now)) {
    Json::Value crash;
    crash["crash"] = report.mCrash.mCrash;
    crash["age"] = Json::Int64(mState.AgeOf(report.mCrash.mAt).count());
    for (const std::string& part : report.mParts) {
      mSuspects.OnCrash(part, report.mCrash, now);
      if (parts < kPartsPerMessage) {
        crash["parts"].append(part);
        ++parts;
      }
    }
    if (mReported.size() >= kMaxReported) {
      mReported.clear();
    }
    mReported.insert(report.mCrash.mCrash);
    mState.mLog.Line("server_crashed")
      .Text("crash", report.mCrash.mCrash)
      .Text("parts", Joined({ report.mParts.begin(), report.mParts.end() }));
    mState.mMetrics.Count("caraway_server_crashes_total", "");
    crashes.append(std::move(crash));
    if (parts >= kPartsPerMessage) {
      send();
    }
  }
  if (!crashes.empty()) {
    send();
  }
}

void
CrashReports::OnReport(const Json::Value& aMessage)
{
  TimePoint now = mState.Now();
  for (const Json::Value& crash : aMessage["crashes"]) {
    std::string name = crash["crash"].asString();
    if (mBroken.Refuted(name)) {
      continue;
    }
    TimePoint at = now - Millis(crash["age"].asInt64());
    mBroken.OnEnded(name, at, now);
    for (const Json::Value& part : crash["parts"]) {
      mSuspects.OnCrash(part.asString(), { name, at }, now);
    }
  }
  TickSoon();
}

// ---- Good answers

void
CrashReports::OnGoodAnswer(const PromptParts& aParts)
{
  if (mSuspects.Empty()) {
    return;
  }
  for (const std::string& part : aParts) {
    bool blocked = mSuspects.Blocks(part);
    TellCleared(part, mSuspects.OnGoodAnswer(part));
    if (blocked) {
      OnUnblocked(part, "a server answered well");
    }
  }
}

void
CrashReports::TellCleared(const std::string& aPart,
                          const std::vector<std::string>& aCrashes)
{
  if (aCrashes.empty()) {
    return;
  }
  mClearedToTell[aPart].insert(aCrashes.begin(), aCrashes.end());
  if (!mClearsDue) {
    mClearsDue = true;
    mState.mReactor.After(Jitter(), [this] {
      mClearsDue = false;
      SendCleared();
    });
  }
}

void
CrashReports::SendCleared()
{
  Json::Value parts(Json::objectValue);
  auto send = [this, &parts] {
    mPeers.SendMessage(kClearedMessage, parts);
    parts = Json::Value(Json::objectValue);
  };
  for (const auto& [part, crashes] : mClearedToTell) {
    for (const std::string& crash : crashes) {
      parts[part].append(crash);
    }
    if (parts.size() >= kPartsPerMessage / 4) {
      send();
    }
  }
  mClearedToTell.clear();
  if (!parts.empty()) {
    send();
  }
}

void
CrashReports::OnClearedMessage(const Json::Value& aMessage)
{
  for (const std::string& part : aMessage.getMemberNames()) {
    std::vector<std::string> crashes;
    for (const Json::Value& crash : aMessage[part]) {
      crashes.push_back(crash.asString());
    }
    // Told by another instance first.
    auto toTell = mClearedToTell.find(part);
    if (toTell != mClearedToTell.end()) {
      for (const std::string& crash : crashes) {
        toTell->second.erase(crash);
      }
      if (toTell->second.empty()) {
        mClearedToTell.erase(toTell);
      }
    }
    bool blocked = mSuspects.Blocks(part);
    mSuspects.OnCleared(part, crashes, mState.Now());
    if (blocked && !mSuspects.Blocks(part)) {
      OnUnblocked(part, "another instance cleared it");
    }
  }
  TickSoon();
}

// ---- Blocked parts

void
CrashReports::OnBlocked(const std::string& aPart, const std::string& aFrom)
{
  PartEvidence evidence = mSuspects.Of(aPart).value_or(PartEvidence());
  mState.mLog.Line("part_blocked")
    .Text("part", aPart)
    .Text("from", aFrom)
    .Text("crashes", Joined(NamesOf(evidence)))
    .Count("probes", evidence.mProbes);
  mState.mMetrics.Count("caraway_parts_blocked_total", "");
}

void
CrashReports::OnUnblocked(const std::string& aPart, const char* aWhy)
{
  mState.mLog.Line("part_unblocked").Text("part", aPart).Text("why", aWhy);
}

void
CrashReports::Announce(const std::string& aPart)
{
  auto evidence = mSuspects.Of(aPart);
  if (!mBlockedToTell.erase(aPart) || !evidence || !evidence->mBlocked) {
    return; // another instance has told it, or it was cleared
  }
  Json::Value message;
  message["from"] = mState.mSettings.mName;
  message["parts"] = ToJson({ *evidence });
  mPeers.SendMessage(kBlockedMessage, message);
}

void
CrashReports::OnTold(const PartEvidence& aEvidence, const std::string& aFrom)
{
  const std::string& part = aEvidence.mPart;
  bool blocked = mSuspects.Blocks(part);
  TellCleared(part, mSuspects.OnTold(aEvidence, mState.Now()));
  if (aEvidence.mBlocked) {
    mBlockedToTell.erase(part);
  }
  if (!blocked && mSuspects.Blocks(part)) {
    OnBlocked(part, aFrom);
  }
  TickSoon();
}

std::optional<CrashWatch::Block>
CrashReports::BlockOf(const PromptParts& aParts) const
{
  if (!mSuspects.AnyBlocked()) {
    return std::nullopt;
  }
  constexpr Millis kNoProbeLeft{ Seconds(600) };
  constexpr Millis kProbeUnderWay{ Seconds(1) };
  Block block{ mSuspects.Guilty(aParts), kProbeUnderWay, true };
  if (block.mParts.empty()) {
    return std::nullopt;
  }
  for (const std::string& part : block.mParts) {
    auto probe = mSuspects.ProbeOf(part);
    Millis wait =
      probe ? std::chrono::duration_cast<Millis>(probe->mAt - mState.Now())
            : kNoProbeLeft;
    block.mRetryAfter = std::max(block.mRetryAfter, wait);
    block.mProbeDue = block.mProbeDue && wait <= Millis(0);
  }
  return block;
}

bool
CrashReports::Suspected(const PromptParts& aParts) const
{
  return std::any_of(
    aParts.begin(), aParts.end(), [this](const std::string& aPart) {
      return mSuspects.Suspected(aPart);
    });
}

// The object exists for good, so that each probe is granted once, whatever is
// killed or cut off. No probe is sent while the store doesn't answer.
void
CrashReports::RequestProbe(const PromptParts& aParts,
                           std::function<void(bool aGranted)> aDone)
{
  constexpr char kKind[] = "caraway-probes";
  auto probe = mSuspects.ProbeOf(aParts.front());
  if (!probe) {
    mState.mReactor.After(Millis(0),
                          [done = std::move(aDone)] { done(false); });
    return;
  }
  int number = probe->mNumber;
  StoreObject object;
  object.mName = probe->mFirstCrash + "-" + std::to_string(number);
  object.mSpec["parts"] = Joined(aParts);
  object.mSpec["by"] = mState.mSettings.mName;
  mStore.Call("probe_part",
              wire::CreateCall(kKind, object),
              [this, aParts, number, done = std::move(aDone)](
                StoreOutcome aOutcome, const std::string&) {
                bool granted = aOutcome == StoreOutcome::Done;
                for (const std::string& part : aParts) {
                  if (granted || aOutcome == StoreOutcome::Conflict) {
                    mSuspects.OnProbe(part, number);
                  }
                }
                mState.mLog.Line("part_probed")
                  .Text("parts", Joined(aParts))
                  .Count("probe", number)
                  .Flag("granted", granted);
                done(granted);
              });
}

// ---- Requests

void
CrashReports::OnRunEnded(const RequestNames& aNames, const ServerRunFacts& aRun)
{
  for (const std::string& name : aNames) {
    mRequestEnds.OnEnd({ name,
                         aRun.mLife.Name(),
                         aRun.mSentAt,
                         mState.Now(),
                         aRun.mEndsBefore });
  }
}

void
CrashReports::OnServed(const RequestNames& aNames)
{
  for (const std::string& name : aNames) {
    mRequestEnds.OnServed(name);
  }
}

int
CrashReports::EndsOf(const RequestNames& aNames) const
{
  int most = 0;
  for (const std::string& name : aNames) {
    most = std::max(most, mRequestEnds.Ends().Count(name));
  }
  return most;
}

std::optional<Millis>
CrashReports::RefusedFor(const RequestNames& aNames) const
{
  std::optional<Millis> longest;
  for (const std::string& name : aNames) {
    if (auto until = mRequestEnds.Ends().RefusedUntil(name)) {
      auto left = std::chrono::ceil<Millis>(*until - mState.Now());
      longest = std::max(longest.value_or(Millis(0)), left);
    }
  }
  return longest;
}

void
CrashReports::WhenEndsStored(std::function<void()> aDone)
{
  mRequestEnds.WhenStored(std::move(aDone));
}

} // namespace caraway
