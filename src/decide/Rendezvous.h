// Rendezvous.h: rendezvous hashing, which assigns a key the same owner wherever
// the same members are known.
#ifndef caraway_decide_Rendezvous_h
#define caraway_decide_Rendezvous_h

#include <string>
#include <vector>

namespace caraway {

// The member with the highest hash weight for aKey. A member that joins or
// leaves moves only its own keys. "" if there are no members. Ownership is a
// hint: a wrong guess costs a round trip, since the platform's conditional
// update decides.
std::string
RendezvousOwner(const std::vector<std::string>& aMembers,
                const std::string& aKey);

// The first aCount of aMembers in the same order.
std::vector<std::string>
RendezvousFirst(const std::vector<std::string>& aMembers,
                const std::string& aKey,
                size_t aCount);

} // namespace caraway

#endif
