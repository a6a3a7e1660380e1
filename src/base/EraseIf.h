// EraseIf.h: removal of a container's entries by a condition.
#ifndef caraway_base_EraseIf_h
#define caraway_base_EraseIf_h

#include <iterator>

namespace caraway {

// Removes the entries of aContainer, a map or vector, for which
// aCondition(entry) is true.
template<typename Container, typename Condition>
void
EraseIf(Container& aContainer, Condition aCondition)
{
  for (auto at = aContainer.begin(); at != aContainer.end();) {
    at = aCondition(*at) ? aContainer.erase(at) : std::next(at);
  }
}

} // namespace caraway

#endif
