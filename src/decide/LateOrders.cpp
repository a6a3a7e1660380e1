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

// The load of any model, or of any adapter.
RoomUse
LargestLoad(const EngineSpec& aEngine)
{
  RoomUse largest;
  for (const auto& [name, model] : aEngine.mModels) {
    largest.mMb = std::max({ largest.mMb, model.mMb, model.mAdapterMb });
  }
  largest.mAdapters = 1;
  return largest;
}

} // namespace

void
LateOrders::OnSent(const ModelOrder& aOrder, int64_t aStartTime, TimePoint aNow)
{
  mSent.push_back({ aOrder, aStartTime, aNow + kMaxOrderDelay, aNow });
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
LateOrders::OnTold(SentOrder aSent)
{
  auto known =
    std::find_if(mSent.begin(), mSent.end(), [&aSent](const SentOrder& aKnown) {
      return aKnown.mStartTime == aSent.mStartTime &&
             IsSame(aKnown.mOrder, aSent.mOrder);
    });
  if (known == mSent.end()) {
    mSent.push_back(std::move(aSent));
  } else {
    known->mUntil = std::max(known->mUntil, aSent.mUntil);
  }
}

void
LateOrders::SetUnknown(TimePoint aUntil,
                       int64_t aLowestCount,
                       int64_t aHighestCount)
{
  mUnknownUntil = aUntil;
  mUnknownFrom = aLowestCount;
  mUnknownTo = aHighestCount;
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
  int unknown = aNow < mUnknownUntil ? 1 : 0;
  return unknown + static_cast<int>(
                     std::count_if(mSent.begin(),
                                   mSent.end(),
                                   [aStartTime, aNow](const SentOrder& aSent) {
                                     return aSent.mStartTime != aStartTime &&
                                            aNow < aSent.mUntil;
                                   }));
}

bool
LateOrders::HasAt(int64_t aStartTime, int64_t aCount) const
{
  return std::any_of(
    mSent.begin(), mSent.end(), [aStartTime, aCount](const SentOrder& aSent) {
      return aSent.mStartTime == aStartTime &&
             aSent.mOrder.mOrderCount == aCount;
    });
}

bool
LateOrders::HasOthersSince(TimePoint aSince,
                           int64_t aStartTime,
                           int64_t aCount) const
{
  return std::any_of(mSent.begin(), mSent.end(), [&](const SentOrder& aSent) {
    bool sameCount =
      aSent.mStartTime == aStartTime && aSent.mOrder.mOrderCount == aCount;
    return !sameCount && aSent.mKnownSince >= aSince;
  });
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
  bool unknown = aNow < mUnknownUntil;
  for (int64_t count = aCount;; ++count) {
    auto use = LargestAt(aEngine, aHeld, aStartTime, count, aNow);
    if (!use && unknown && count >= mUnknownFrom && count <= mUnknownTo) {
      use = LargestLoad(aEngine);
      unknown = false;
    }
    if (!use) {
      return room;
    }
    room.mMb += use->mMb;
    room.mAdapters += use->mAdapters;
  }
}

} // namespace caraway
