#include "base/Incarnation.h"

#include "base/RandomId.h"

namespace caraway {

std::string
IncarnationMake(const std::string& aId, const std::string& aAddress)
{
  constexpr size_t kDigits = 8;
  return aId + "." + RandomId().substr(0, kDigits) + "@" + aAddress;
}

std::string
IncarnationAddress(const std::string& aIncarnation)
{
  return aIncarnation.substr(aIncarnation.find('@') + 1);
}

} // namespace caraway
