// RandomId.h: random ids, unique over all instances.
#ifndef caraway_base_RandomId_h
#define caraway_base_RandomId_h

#include <string>

namespace caraway {

// 128 random bits as 32 hex digits, from the system's generator.
std::string
RandomId();

// A tenant or administration key: "cw_" and 256 random bits in hex.
std::string
RandomKey();

} // namespace caraway

#endif
