// EraseIf.h: removal of a map's entries by a condition.
#ifndef caraway_base_EraseIf_h
#define caraway_base_EraseIf_h

#include <iterator>

namespace caraway {

// Removes the entries of aMap for which aCondition(entry) is true.
template<typename Map, typename Condition>
void
EraseIf(Map& aMap, Condition aCondition)
{
  for (auto at = aMap.begin(); at != aMap.end();) {
    at = aCondition(*at) ? aMap.erase(at) : std::next(at);
  }
}

} // namespace caraway

#endif
