#include "entry/Peers.h"

#include <algorithm>

namespace caraway {

// Which instance holds which lease, as the instances tell each other. It is a
// hint: the store decides who holds a lease.

namespace {

constexpr char kLeaseMessage[] = "lease_held";

// An announcement is repeated after these times: it may be lost, and instances
// that start together know each other only after a moment.
constexpr Millis kAnnouncementRepeats[] = { Millis(300), Millis(1000) };

} // namespace

void
Peers::WatchLeases()
{
  OnMessage(kLeaseMessage,
            [this](const Json::Value& aMessage) { OnLeaseMessage(aMessage); });
}

std::string
Peers::HolderOf(const std::string& aLease) const
{
  for (const auto& [name, peer] : mPeers) {
    if (Alive(peer) &&
        std::count(peer.mLeases.begin(), peer.mLeases.end(), aLease) > 0) {
      return name;
    }
  }
  return "";
}

void
Peers::AnnounceLease(const std::string& aLease)
{
  auto announce = [this, aLease] {
    Json::Value message = StampedSelf();
    message["lease"] = aLease;
    SendMessage(kLeaseMessage, message);
  };
  announce();
  for (Millis after : kAnnouncementRepeats) {
    mState.mReactor.After(after, [this, aLease, announce] {
      if (Claims(aLease)) {
        announce();
      }
    });
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
  Peer* holder = ReadSender(aMessage);
  if (!holder || holder->mLeaving) {
    return;
  }
  for (auto& [other, peer] : mPeers) {
    auto& leases = peer.mLeases;
    leases.erase(std::remove(leases.begin(), leases.end(), lease),
                 leases.end());
  }
  holder->mLeases.push_back(lease);
}

} // namespace caraway
