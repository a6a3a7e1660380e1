#include "entry/Peers.h"

namespace caraway {

// Announces and handles the shutdown of instances.

namespace {

// Interval of the check whether this instance is shutting down. The message
// that announces it may be lost, so heartbeats carry it too.
constexpr Millis kLeavingCheckInterval{ 50 };

// After this time an instance that is shutting down has released its leases in
// the store.
constexpr Millis kLeaseClearDelay{ 500 };

// Time for which an instance that sent a goodbye is not added again, as the
// list may be older than the goodbye.
constexpr Millis kDepartedMemory{ 15000 };

// Most of the requests in flight at an instance's goodbye end within this time.
constexpr Millis kDrainTime{ 4000 };

constexpr char kLeavingMessage[] = "leaving";
constexpr char kGoodbyeMessage[] = "goodbye";

} // namespace

int64_t
Peers::ClockMillis() const
{
  auto age = mState.Now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(age).count();
}

void
Peers::WatchLeaving()
{
  OnMessage(kLeavingMessage, [this](const Json::Value& aMessage) {
    OnLeavingMessage(aMessage);
  });
  OnMessage(kGoodbyeMessage,
            [this](const Json::Value& aMessage) { OnGoodbye(aMessage); });
  mState.mReactor.Every(kLeavingCheckInterval,
                        [this] { AnnounceOwnLeaving(); });
}

bool
Peers::IsStaying(const std::string& aName) const
{
  auto found = mPeers.find(aName);
  return found != mPeers.end() && !found->second.mLeaving;
}

Json::Value
Peers::Self() const
{
  Json::Value self;
  self["name"] = mState.mSettings.mName;
  self["life"] = Json::Int64(mIncarnation);
  return self;
}

Json::Value
Peers::StampedSelf() const
{
  Json::Value self = Self();
  self["zone"] = mState.mSettings.mZone;
  self["address"] = mState.mSettings.mPeers;
  self["stamp"] = Json::Int64(ClockMillis());
  return self;
}

void
Peers::AnnounceOwnLeaving()
{
  if (mState.mLeave.Leaving() && !mAnnouncedLeaving) {
    mAnnouncedLeaving = true;
    SendMessage(kLeavingMessage, Self());
  }
}

void
Peers::Leave()
{
  if (!mLeft) {
    mLeft = true;
    SendMessage(kGoodbyeMessage, Self());
  }
}

void
Peers::OnLeavingMessage(const Json::Value& aMessage)
{
  auto found = mPeers.find(aMessage["name"].asString());
  if (found == mPeers.end() || found->second.mLeaving ||
      found->second.mIncarnation != aMessage["life"].asInt64()) {
    return;
  }
  found->second.mLeaving = true;
  mState.mLog.Line("instance_leaving").Text("peer", found->first);
  ClearLeases(found->second);
  mOnLeaving(found->first);
}

// Clears the leases without waiting for the heartbeat that no longer claims
// them, which may take a round over all instances to arrive.
void
Peers::ClearLeases(const Peer& aPeer)
{
  mState.mReactor.After(
    kLeaseClearDelay,
    [this, name = aPeer.mName, incarnation = aPeer.mIncarnation] {
      auto found = mPeers.find(name);
      if (found != mPeers.end() && found->second.mIncarnation == incarnation) {
        mLeaseClaims.Forget(name);
      }
    });
}

// The instance's requests in flight stay known until its heartbeats end.
void
Peers::OnGoodbye(const Json::Value& aMessage)
{
  OnLeavingMessage(aMessage);
  std::string name = aMessage["name"].asString();
  int64_t incarnation = aMessage["life"].asInt64();
  Departed departed{ Peer(), mState.Now() };
  auto found = mPeers.find(name);
  if (found != mPeers.end()) {
    departed.mPeer = found->second;
  }
  int64_t known = departed.mPeer.mIncarnation;
  if (IsDeparted(name, incarnation) || (known != 0 && known != incarnation)) {
    return; // a duplicate, or from an earlier incarnation
  }
  departed.mPeer.mName = name;
  departed.mPeer.mIncarnation = incarnation;
  mState.mLog.Line("instance_left").Text("peer", name);
  mDeparted[name] = std::move(departed);
  mPeers.erase(name);
  OnListChanged();
}

bool
Peers::IsDeparted(const std::string& aName, int64_t aIncarnation) const
{
  auto found = mDeparted.find(aName);
  return found != mDeparted.end() &&
         found->second.mPeer.mIncarnation == aIncarnation;
}

bool
Peers::DrainsInZone(const Departed& aDeparted) const
{
  return aDeparted.mPeer.mZone == mState.mSettings.mZone &&
         !aDeparted.mPeer.mAddress.empty() &&
         mState.Now() - aDeparted.mAt < kDrainTime;
}

void
Peers::ForgetDeparted()
{
  for (auto it = mDeparted.begin(); it != mDeparted.end();) {
    const Departed& departed = it->second;
    if (!Alive(departed.mPeer)) {
      mState.mServers.ForgetPeer(it->first);
    }
    bool old = mState.Now() - departed.mAt >= kDepartedMemory;
    it = old && !Alive(departed.mPeer) ? mDeparted.erase(it) : std::next(it);
  }
}

} // namespace caraway
