// ForwardPeers.h: the instances that can serve a request in place of this one.
#ifndef caraway_entry_ForwardPeers_h
#define caraway_entry_ForwardPeers_h

#include <optional>
#include <set>
#include <string>

#include "decide/RegionRule.h"

namespace caraway {

struct ForwardTarget
{
  std::string mName;
  std::string mAddress;
};

class ForwardPeers
{
public:
  virtual ~ForwardPeers() = default;
  // Chooses a peer that reaches servers and isn't shutting down, as far as is
  // known, whose name isn't in aExcluded, and which may receive the body of a
  // request under aRule; nothing if there is none.
  virtual std::optional<ForwardTarget> Choose(
    const std::set<std::string>& aExcluded,
    const RegionRule& aRule) = 0;
};

} // namespace caraway

#endif
