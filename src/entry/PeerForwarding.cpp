#include "entry/PeerForwarding.h"

#include <vector>

namespace caraway {

PeerForwarding::PeerForwarding(EntryState& aState, const Peers& aPeers)
  : mState(aState)
  , mPeers(aPeers)
{
}

bool
PeerForwarding::MayServe(const Peer& aPeer,
                         const std::set<std::string>& aExcluded,
                         const RegionRule& aRule)
{
  return mPeers.Alive(aPeer) && !aPeer.mLeaving && !aPeer.mCutOff &&
         !aExcluded.count(aPeer.mName) &&
         aRule.PermitsInstance(aPeer.mZone, mState.mSettings.mZone);
}

std::optional<ForwardTarget>
PeerForwarding::Choose(const std::set<std::string>& aExcluded,
                       const RegionRule& aRule)
{
  std::vector<const Peer*> near;
  std::vector<const Peer*> all;
  size_t zoneSize = 1; // with this instance
  for (const auto& [name, peer] : mPeers.All()) {
    bool sameZone = peer.mZone == mState.mSettings.mZone;
    zoneSize += sameZone ? 1 : 0;
    if (!MayServe(peer, aExcluded, aRule)) {
      continue;
    }
    all.push_back(&peer);
    if (sameZone) {
      near.push_back(&peer);
    }
  }
  // The few that are left of a zone would not carry the requests of all.
  const auto& candidates = near.size() * 2 >= zoneSize ? near : all;
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<size_t> pick(0, candidates.size() - 1);
  const Peer& peer = *candidates[pick(mState.mRandom)];
  return ForwardTarget{ peer.mName, peer.mAddress };
}

} // namespace caraway
