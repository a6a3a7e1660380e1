// PeerForwarding.h: chooses the peers that requests are forwarded to.
#ifndef caraway_entry_PeerForwarding_h
#define caraway_entry_PeerForwarding_h

#include "entry/ForwardPeers.h"
#include "entry/Peers.h"

namespace caraway {

class PeerForwarding : public ForwardPeers
{
public:
  PeerForwarding(EntryState& aState, const Peers& aPeers);

  std::optional<ForwardTarget> Choose(const std::set<std::string>& aExcluded,
                                      const RegionRule& aRule) override;

private:
  bool MayServe(const Peer& aPeer,
                const std::set<std::string>& aExcluded,
                const RegionRule& aRule);

  EntryState& mState;
  const Peers& mPeers;
};

} // namespace caraway

#endif
