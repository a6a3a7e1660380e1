// Incarnation.h: the name of one life of an instance.
#ifndef caraway_base_Incarnation_h
#define caraway_base_Incarnation_h

#include <string>

namespace caraway {

// id.random@address. A process that is started anew has another, so that
// nobody takes its word for what its former life did.
std::string
IncarnationMake(const std::string& aId, const std::string& aAddress);

// ip:port of its peer port.
std::string
IncarnationAddress(const std::string& aIncarnation);

} // namespace caraway

#endif
