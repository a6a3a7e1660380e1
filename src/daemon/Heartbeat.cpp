#include "daemon/Heartbeat.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Millis kHeartbeatTimeout{ 700 };
constexpr Millis kListInterval{ 3000 };
constexpr int kOtherZoneInterval = 4; // in rounds
// Covers all peers of a small fleet. In a large one the others learn of this
// instance from the list.
constexpr size_t kMaxInitialContacts = 16;

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
  ConfigFreshness fresh = mConfig.Freshness();
  json["revision"] = Json::Int64(fresh.mRevision);
  json["age"] = Json::Int64(fresh.mAge.count());
  return json;
}

void
Heartbeat::OnHeartbeat(const Json::Value& aJson)
{
  InstanceInfo info;
  info.mId = aJson["id"].asString();
  info.mZone = aJson["zone"].asString();
  info.mPeerAddress = aJson["peer"].asString();
  info.mLeaving = aJson["leaving"].asBool();
  if (!info.mId.empty()) {
    mMembers.RecordHeartbeat(info);
  }
}

bool
Heartbeat::SendHeartbeat(const std::string& aAddress)
{
  TimePoint asked = mClock.Now();
  auto answer = Outcome(
    [&] { return mPeers.Call(aAddress, "beat", Self(), kHeartbeatTimeout); });
  auto* json = std::get_if<Json::Value>(&answer);
  if (!json) {
    mMembers.RecordUnansweredCall(aAddress);
    return false;
  }
  OnHeartbeat(*json);
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
  if (mListReadAt != TimePoint{} && now - mListReadAt < kListInterval) {
    return;
  }
  mListReadAt = now;
  auto list = Outcome([&] { return mPlatform.Instances(); });
  if (auto* found = std::get_if<std::vector<InstanceInfo>>(&list)) {
    mMembers.UpdateFromList(*found);
  }
}

void
Heartbeat::ContactNewPeers()
{
  std::vector<std::string> addresses = mMembers.UncontactedPeers();
  std::shuffle(addresses.begin(), addresses.end(), mRandom);
  for (const std::string& address : addresses) {
    // One unanswered call takes up this round's time; the next round goes on
    // with the rest.
    if (mPeersContacted == kMaxInitialContacts || !SendHeartbeat(address)) {
      return;
    }
    ++mPeersContacted;
  }
}

void
Heartbeat::Round()
{
  ReadList();
  ContactNewPeers();
  std::vector<std::string> sameZonePeers;
  std::vector<std::string> otherZonePeers;
  for (const InstanceInfo& peer : mMembers.Peers()) {
    bool sameZone = peer.mZone == mMembers.Self().mZone;
    (sameZone ? sameZonePeers : otherZonePeers).push_back(peer.mPeerAddress);
  }
  if (sameZonePeers.empty() && otherZonePeers.empty()) {
    otherZonePeers = mSeeds;
  }
  ++mRounds;
  for (auto* peers : { &sameZonePeers, &otherZonePeers }) {
    bool due = peers == &sameZonePeers || mRounds % kOtherZoneInterval == 0 ||
               sameZonePeers.empty();
    if (!peers->empty() && due) {
      std::uniform_int_distribution<size_t> index(0, peers->size() - 1);
      SendHeartbeat((*peers)[index(mRandom)]);
    }
  }
}

void
Heartbeat::AnnounceLeaving()
{
  for (const InstanceInfo& peer :
       mMembers.AvailableInstancesIn(mMembers.Self().mZone)) {
    Outcome([&] {
      return mPeers.Call(peer.mPeerAddress, "beat", Self(), kHeartbeatTimeout);
    });
  }
}

void
Heartbeat::AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd)
{
  aAdd("beat", [this](const Json::Value& aParams) {
    OnHeartbeat(aParams);
    return Self();
  });
}

} // namespace caraway
