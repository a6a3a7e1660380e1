#include "net/KeptBytes.h"

#include <algorithm>

namespace caraway {

KeptBytes::KeptBytes(size_t aLimit)
  : mLimit(aLimit)
{
}

KeptBytes::Id
KeptBytes::Add(std::function<void()> aGiveUp)
{
  Id id = mNext++;
  mKeepers[id].mGiveUp = std::move(aGiveUp);
  return id;
}

void
KeptBytes::Set(Id aId, size_t aBytes)
{
  auto keeper = mKeepers.find(aId);
  if (keeper == mKeepers.end()) {
    return;
  }
  mTotal += aBytes;
  mTotal -= keeper->second.mBytes;
  keeper->second.mBytes = aBytes;
  while (mTotal > mLimit) {
    GiveUpLargest();
  }
}

void
KeptBytes::Remove(Id aId)
{
  auto keeper = mKeepers.find(aId);
  if (keeper != mKeepers.end()) {
    mTotal -= keeper->second.mBytes;
    mKeepers.erase(keeper);
  }
}

void
KeptBytes::GiveUpLargest()
{
  auto largest = std::max_element(
    mKeepers.begin(), mKeepers.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.mBytes < aOther.second.mBytes;
    });
  std::function<void()> giveUp = std::move(largest->second.mGiveUp);
  Remove(largest->first);
  ++mGivenUp;
  giveUp();
}

} // namespace caraway
