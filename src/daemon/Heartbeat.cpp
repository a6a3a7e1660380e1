#include "daemon/Heartbeat.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Millis kHeartbeatTimeout{ 700 };
constexpr Millis kListInterval{ 3000 };
constexpr int kOtherZoneEveryRounds = 4; // rounds
// All of a small fleet. In a large one the rest learn of us from the list.
constexpr size_t kMaxGreetings = 16;

} // namespace

Heartbeat::Heartbeat(Members& aMembers,
                     PeerClient& aPeers,
                     PlatformApi& aPlatform,
                     ConfigHolder& aConfig,
                     ConfigWatcher& aWatcher,
                     std::vector<std::string> aSeeds,
                     const Clock& aClock)
  : mMembers(aMembers)
  , mPeers(aPeers)
  , mPlatform(aPlatform)
  , mConfig(aConfig)
  , mWatcher(aWatcher)
  , mSeeds(std::move(aSeeds))
  , mClock(aClock)
{
}

Json::Value
Heartbeat::Self() const
{
  const InstanceInfo& self = mMembers.Self();
  Json::Value json;
  json["id"] = self.mId;
  json["zone"] = self.mZone;
  json["peer"] = self.mPeerAddress;
  json["leaving"] = self.mLeaving;
  ConfigFreshness fresh = mConfig.Fresh();
  json["revision"] = Json::Int64(fresh.mRevision);
  json["age"] = Json::Int64(fresh.mAge.count());
  return json;
}

void
Heartbeat::Heard(const Json::Value& aJson)
{
  InstanceInfo info;
  info.mId = aJson["id"].asString();
  info.mZone = aJson["zone"].asString();
  info.mPeerAddress = aJson["peer"].asString();
  info.mLeaving = aJson["leaving"].asBool();
  if (!info.mId.empty()) {
    mMembers.Heard(info);
  }
}

bool
Heartbeat::Beat(const std::string& aAddress)
{
  TimePoint asked = mClock.Now();
  auto answer = Outcome(
    [&] { return mPeers.Call(aAddress, "beat", Self(), kHeartbeatTimeout); });
  auto* json = std::get_if<Json::Value>(&answer);
  if (!json) {
    mMembers.Silent(aAddress);
    return false;
  }
  Heard(*json);
  mWatcher.OnPeerFreshness(
    aAddress,
    { (*json)["revision"].asInt64(), Millis((*json)["age"].asInt64()) },
    asked);
  return true;
}

void
Heartbeat::ReadList()
{
  TimePoint now = mClock.Now();
  if (mListRead != TimePoint{} && now - mListRead < kListInterval) {
    return;
  }
  mListRead = now;
  auto list = Outcome([&] { return mPlatform.Instances(); });
  if (auto* found = std::get_if<std::vector<InstanceInfo>>(&list)) {
    mMembers.UpdateFromList(*found);
  }
}

void
Heartbeat::GreetNewPeers()
{
  std::vector<std::string> strangers = mMembers.UncontactedPeers();
  std::shuffle(strangers.begin(), strangers.end(), mRandom);
  for (const std::string& stranger : strangers) {
    // One that is silent costs the round its time; the next round goes on.
    if (mGreeted == kMaxGreetings || !Beat(stranger)) {
      return;
    }
    ++mGreeted;
  }
}

void
Heartbeat::Round()
{
  ReadList();
  GreetNewPeers();
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const InstanceInfo& peer : mMembers.Others()) {
    bool ours = peer.mZone == mMembers.Self().mZone;
    (ours ? near : far).push_back(peer.mPeerAddress);
  }
  if (near.empty() && far.empty()) {
    far = mSeeds;
  }
  ++mRounds;
  for (auto* peers : { &near, &far }) {
    bool due =
      peers == &near || mRounds % kOtherZoneEveryRounds == 0 || near.empty();
    if (!peers->empty() && due) {
      std::uniform_int_distribution<size_t> any(0, peers->size() - 1);
      Beat((*peers)[any(mRandom)]);
    }
  }
}

void
Heartbeat::AnnounceLeaving()
{
  for (const InstanceInfo& peer :
       mMembers.AvailablePeersIn(mMembers.Self().mZone)) {
    Outcome([&] {
      return mPeers.Call(peer.mPeerAddress, "beat", Self(), kHeartbeatTimeout);
    });
  }
}

void
Heartbeat::AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd)
{
  aAdd("beat", [this](const Json::Value& aParams) {
    Heard(aParams);
    return Self();
  });
}

} // namespace caraway
