#include "decide/LateOrders.h"

#include <algorithm>

#include "base/EraseIf.h"

namespace caraway {

namespace {

bool
IsSame(const ModelOrder& aOne, const ModelOrder& aOther)
{
  return aOne.mLoad == aOther.mLoad && aOne.mModel == aOther.mModel &&
         aOne.mAdapter == aOther.mAdapter &&
         aOne.mOrderCount == aOther.mOrderCount && aOne.mToken == aOther.mToken;
}

// The server answers that there is nothing to do, and doesn't count the order.
bool
IsHeld(const HeldModels& aHeld, const ModelOrder& aOrder)
{
  auto model = aHeld.find(aOrder.mModel);
  return model != aHeld.end() &&
         (aOrder.mAdapter.empty() || model->second.count(aOrder.mAdapter) > 0);
}

RoomUse
RoomOf(const EngineSpec& aEngine,
       const HeldModels& aHeld,
       const ModelOrder& aOrder)
{
  if (!aOrder.mLoad || IsHeld(aHeld, aOrder)) {
    return {};
  }
  double model = MbOf(aEngine, aOrder.mModel, {});
  if (aOrder.mAdapter.empty()) {
    return { model, 0 };
  }
  double both = MbOf(aEngine, aOrder.mModel, { aOrder.mAdapter });
  return { both - model, 1 };
}

} // namespace

void
LateOrders::OnSent(const ModelOrder& aOrder, int64_t aStartTime, TimePoint aNow)
{
  mSent.push_back({ aOrder, aStartTime, aNow + kMaxOrderDelay });
}

void
LateOrders::OnAnswered(const ModelOrder& aOrder, int64_t aStartTime)
{
  // Of several sendings of an order the last one is answered: the former ones
  // had timed out.
  auto last = std::find_if(
    mSent.rbegin(), mSent.rend(), [&aOrder, aStartTime](const auto& aSent) {
      return aSent.mStartTime == aStartTime && IsSame(aSent.mOrder, aOrder);
    });
  if (last != mSent.rend()) {
    mSent.erase(std::next(last).base());
  }
}

void
LateOrders::Forget(TimePoint aNow)
{
  EraseIf(mSent,
          [aNow](const SentOrder& aSent) { return aNow >= aSent.mUntil; });
}

int
LateOrders::CountOfOtherLives(int64_t aStartTime, TimePoint aNow) const
{
  return static_cast<int>(std::count_if(
    mSent.begin(), mSent.end(), [aStartTime, aNow](const SentOrder& aSent) {
      return aSent.mStartTime != aStartTime && aNow < aSent.mUntil;
    }));
}

std::optional<RoomUse>
LateOrders::LargestAt(const EngineSpec& aEngine,
                      const HeldModels& aHeld,
                      int64_t aStartTime,
                      int64_t aCount,
                      TimePoint aNow) const
{
  std::optional<RoomUse> largest;
  for (const SentOrder& sent : mSent) {
    if (sent.mStartTime == aStartTime || aNow >= sent.mUntil ||
        sent.mOrder.mOrderCount != aCount) {
      continue;
    }
    RoomUse use = RoomOf(aEngine, aHeld, sent.mOrder);
    RoomUse before = largest.value_or(RoomUse());
    largest = RoomUse{ std::max(before.mMb, use.mMb),
                       std::max(before.mAdapters, use.mAdapters) };
  }
  return largest;
}

RoomUse
LateOrders::RoomAt(const EngineSpec& aEngine,
                   const HeldModels& aHeld,
                   int64_t aStartTime,
                   int64_t aCount,
                   TimePoint aNow) const
{
  RoomUse room;
  int64_t count = aCount;
  while (auto use = LargestAt(aEngine, aHeld, aStartTime, count, aNow)) {
    room.mMb += use->mMb;
    room.mAdapters += use->mAdapters;
    ++count;
  }
  return room;
}

} // namespace caraway
