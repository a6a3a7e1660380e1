// Incarnation.h: names one run of an instance's process.
#ifndef caraway_base_Incarnation_h
#define caraway_base_Incarnation_h

#include <string>

namespace caraway {

// id.random@address. A restarted process gets a new one, so that peers don't
// trust it to know what its earlier incarnation did.
std::string
IncarnationMake(const std::string& aId, const std::string& aAddress);

// The ip:port of the incarnation's peer port.
std::string
IncarnationAddress(const std::string& aIncarnation);

} // namespace caraway

#endif
