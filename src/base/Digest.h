// Digest.h: SHA-256, and comparison in constant time.
#ifndef caraway_base_Digest_h
#define caraway_base_Digest_h

#include <string>

namespace caraway {

std::string
DigestHex(const std::string& aText); // 64 hex digits

// Takes the same time wherever the texts differ, so that a key can't be guessed
// digit by digit.
bool
DigestEqual(const std::string& aLeft, const std::string& aRight);

} // namespace caraway

#endif
