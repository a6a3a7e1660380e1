#include "base/Digest.h"

#include <Poco/SHA2Engine.h>

namespace caraway {

std::string
DigestHex(const std::string& aText)
{
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(aText);
  return Poco::DigestEngine::digestToHex(engine.digest());
}

bool
DigestEqual(const std::string& aLeft, const std::string& aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  unsigned char difference = 0;
  for (size_t i = 0; i < aLeft.size(); ++i) {
    difference |= static_cast<unsigned char>(aLeft[i] ^ aRight[i]);
  }
  return difference == 0;
}

} // namespace caraway
