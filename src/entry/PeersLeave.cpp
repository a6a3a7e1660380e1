#include "entry/Peers.h"

#include <algorithm>

namespace caraway {

// Shutdown of instances, and round-trip times of datagrams.

namespace {

// Interval of the check whether this instance shuts down. The message that
// announces it may be lost, so heartbeats say it too.
constexpr Millis kLookLeaving{ 50 };

// An instance that shuts down has released its leases in the store by then.
constexpr Millis kLeasesAfter{ 500 };

// An instance that said goodbye is not added again for this time, as the list
// may be older than the goodbye.
constexpr Millis kDeparted{ 15000 };

// Most requests that an instance has in flight at its goodbye end by then.
constexpr Millis kEnding{ 4000 };

constexpr char kLeaving[] = "leaving";
constexpr char kGoodbye[] = "goodbye";

} // namespace

int64_t
Peers::Stamp() const
{
  auto age = mState.Now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(age).count();
}

void
Peers::WatchLeaving()
{
  OnMessage(kLeaving,
            [this](const Json::Value& aNote) { OnLeavingMessage(aNote); });
  OnMessage(kGoodbye, [this](const Json::Value& aNote) { OnGoodbye(aNote); });
  mState.mReactor.Every(kLookLeaving, [this] { AnnounceOwnLeaving(); });
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
  self["life"] = Json::Int64(mLife);
  return self;
}

void
Peers::AnnounceOwnLeaving()
{
  if (mState.mLeave.Leaving() && !mAnnouncedLeaving) {
    mAnnouncedLeaving = true;
    SendMessage(kLeaving, Self());
  }
}

void
Peers::Leave()
{
  if (!mLeft) {
    mLeft = true;
    SendMessage(kGoodbye, Self());
  }
}

void
Peers::OnLeavingMessage(const Json::Value& aNote)
{
  auto found = mPeers.find(aNote["name"].asString());
  if (found == mPeers.end() || found->second.mLeaving ||
      found->second.mLife != aNote["life"].asInt64()) {
    return;
  }
  found->second.mLeaving = true;
  mState.mLog.Line("instance_leaving").Text("peer", found->first);
  ClearLeases(found->second);
  mOnLeaving(found->first);
}

// The heartbeat that no longer claims the leases may take a round over all
// instances.
void
Peers::ClearLeases(const Peer& aPeer)
{
  mState.mReactor.After(
    kLeasesAfter, [this, name = aPeer.mName, life = aPeer.mLife] {
      auto found = mPeers.find(name);
      if (found != mPeers.end() && found->second.mLife == life) {
        found->second.mLeases.clear();
      }
    });
}

// Its requests in flight stay known until its heartbeats end.
void
Peers::OnGoodbye(const Json::Value& aNote)
{
  OnLeavingMessage(aNote);
  std::string name = aNote["name"].asString();
  int64_t life = aNote["life"].asInt64();
  Departed departed{ Peer(), mState.Now() };
  auto found = mPeers.find(name);
  if (found != mPeers.end()) {
    departed.mPeer = found->second;
  }
  int64_t known = departed.mPeer.mLife;
  if (IsDeparted(name, life) || (known != 0 && known != life)) {
    return; // a repetition, or of an earlier incarnation
  }
  departed.mPeer.mName = name;
  departed.mPeer.mLife = life;
  mState.mLog.Line("instance_left").Text("peer", name);
  mDeparted[name] = std::move(departed);
  mPeers.erase(name);
  mState.mInstances = static_cast<int>(mPeers.size()) + 1;
}

bool
Peers::IsDeparted(const std::string& aName, int64_t aLife) const
{
  auto found = mDeparted.find(aName);
  return found != mDeparted.end() && found->second.mPeer.mLife == aLife;
}

bool
Peers::DrainsInZone(const Departed& aDeparted) const
{
  return aDeparted.mPeer.mZone == mState.mSettings.mZone &&
         !aDeparted.mPeer.mAddress.empty() &&
         mState.Now() - aDeparted.mAt < kEnding;
}

void
Peers::ForgetDeparted()
{
  for (auto it = mDeparted.begin(); it != mDeparted.end();) {
    const Departed& departed = it->second;
    if (!Alive(departed.mPeer)) {
      mState.mServers.ForgetPeer(it->first);
    }
    bool old = mState.Now() - departed.mAt >= kDeparted;
    it = old && !Alive(departed.mPeer) ? mDeparted.erase(it) : std::next(it);
  }
}

// ---- Round-trip times

Json::Value
Peers::Echoes() const
{
  Json::Value echoes(Json::objectValue);
  auto echo = [this, &echoes](const Peer& aPeer) {
    if (aPeer.mZone == mState.mSettings.mZone && aPeer.mSenderTime > 0) {
      echoes[aPeer.mName].append(Json::Int64(aPeer.mSenderTime));
      echoes[aPeer.mName].append(
        Json::Int64(mState.AgeOf(aPeer.mLastHeardAt).count()));
    }
  };
  for (const auto& [name, peer] : mPeers) {
    echo(peer);
  }
  for (const auto& [name, departed] : mDeparted) {
    if (DrainsInZone(departed)) {
      echo(departed.mPeer);
    }
  }
  return echoes;
}

std::optional<Millis>
Peers::RoundTripTime(const Json::Value& aEchoes) const
{
  const Json::Value& own = aEchoes[mState.mSettings.mName];
  if (!own.isArray() || own.size() != 2) {
    return std::nullopt;
  }
  Millis there(Stamp() - own[0].asInt64() - own[1].asInt64());
  if (there < Millis(0)) {
    return std::nullopt; // the time stamp is from before a reboot
  }
  return there;
}

} // namespace caraway
