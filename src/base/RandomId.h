// RandomId.h: ids that no other instance draws.
#ifndef caraway_base_RandomId_h
#define caraway_base_RandomId_h

#include <string>

namespace caraway {

// 128 random bits as 32 hex digits, from the system's generator.
std::string
RandomId();

// A key as callers show it: "cw_" and 256 random bits.
std::string
RandomKey();

} // namespace caraway

#endif
