#include "net/BoundedAppend.h"

#include <algorithm>

namespace caraway {

void
BoundedAppend(std::string& aBuffer, std::string_view aBytes, size_t aMostBytes)
{
  size_t needed = aBuffer.size() + aBytes.size();
  if (needed > aBuffer.capacity()) {
    size_t most = std::max(aMostBytes, needed);
    // reserve() of a string that has bytes takes twice its capacity.
    std::string grown;
    grown.reserve(std::min(std::max(needed, aBuffer.capacity() * 2), most));
    grown.append(aBuffer);
    aBuffer.swap(grown);
  }
  aBuffer.append(aBytes);
}

} // namespace caraway
