#include "entry/Peers.h"

namespace caraway {

// Which instance holds which lease, as the instances tell each other.

namespace {

constexpr char kLeaseMessage[] = "lease_held";

// Where heartbeats don't reach all instances at once, a holder repeats its
// claims to its zone at this interval, and to all others with each third time:
// its zone takes the lease over when it is lost, the others only call it.
constexpr Millis kClaimInterval{ 500 };
constexpr int kClaimsPerFleetClaim = 3;

// A claim lapses when this many repeats of it are missing.
constexpr int kMissedClaims = 3;

} // namespace

void
Peers::WatchLeases()
{
  OnMessage(kLeaseMessage,
            [this](const Json::Value& aMessage) { OnLeaseMessage(aMessage); });
  mState.mReactor.Every(kClaimInterval, [this] { RepeatClaims(); });
}

std::string
Peers::HolderOf(const std::string& aLease) const
{
  Millis inZone = kClaimInterval * kMissedClaims;
  Millis elsewhere = inZone * kClaimsPerFleetClaim;
  std::string holder = mLeaseClaims.HolderOf(aLease, elsewhere, mState.Now());
  auto peer = mPeers.find(holder);
  if (peer == mPeers.end() || !Alive(peer->second)) {
    return "";
  }
  return peer->second.mZone == mState.mSettings.mZone
           ? mLeaseClaims.HolderOf(aLease, inZone, mState.Now())
           : holder;
}

Json::Value
Peers::LeaseMessage(const std::string& aLease) const
{
  Json::Value message = StampedSelf();
  message["lease"] = aLease;
  return message;
}

void
Peers::AnnounceLease(const std::string& aLease)
{
  SendMessage(kLeaseMessage, LeaseMessage(aLease));
}

void
Peers::AnnounceLeaseInZone(const std::string& aLease)
{
  SendMessageInZone(kLeaseMessage, LeaseMessage(aLease));
}

void
Peers::RepeatClaims()
{
  if (TicksPerRound() == 1) {
    return; // heartbeats reach all instances
  }
  bool toAll = ++mClaimRepeats % kClaimsPerFleetClaim == 0;
  for (const std::string& lease : mClaims) {
    if (toAll) {
      AnnounceLease(lease);
    } else {
      AnnounceLeaseInZone(lease);
    }
  }
}

void
Peers::OnLeaseMessage(const Json::Value& aMessage)
{
  std::string lease = aMessage["lease"].asString();
  std::string name = aMessage["name"].asString();
  if (lease.empty() || IsDeparted(name, aMessage["life"].asInt64())) {
    return;
  }
  const Peer* holder = ReadSender(aMessage);
  if (holder && !holder->mLeaving) {
    mLeaseClaims.OnClaim(name, lease, mState.Now());
  }
}

} // namespace caraway
