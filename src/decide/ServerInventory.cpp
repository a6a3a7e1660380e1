#include "decide/ServerInventory.h"

#include <algorithm>

#include "decide/ServerRoom.h"

namespace caraway {

namespace {

// Changes aHeld to what it is once aOrder has been carried out.
void
Apply(const ModelOrder& aOrder, HeldModels& aHeld)
{
  if (!aOrder.mLoad && aOrder.mAdapter.empty()) {
    aHeld.erase(aOrder.mModel);
  } else if (!aOrder.mLoad) {
    auto model = aHeld.find(aOrder.mModel);
    if (model != aHeld.end()) {
      model->second.erase(aOrder.mAdapter);
    }
  } else if (aOrder.mAdapter.empty()) {
    aHeld[aOrder.mModel];
  } else {
    aHeld[aOrder.mModel].insert(aOrder.mAdapter);
  }
}

} // namespace

void
ServerInventory::Restart(int64_t aStartTime)
{
  mStartTime = aStartTime;
  mHeld.clear();
  mPendingLoads.clear();
  mPendingUnloads.clear();
  MarkUnknown();
}

HeldModels
ServerInventory::Usable() const
{
  HeldModels usable = mHeld;
  for (const auto* unusable : { &mPendingLoads, &mPendingUnloads }) {
    for (const auto& [model, adapter] : *unusable) {
      if (adapter.empty()) {
        usable.erase(model);
      } else if (usable.count(model)) {
        usable[model].erase(adapter);
      }
    }
  }
  return usable;
}

bool
ServerInventory::Holds(const std::string& aModel,
                       const std::string& aAdapter) const
{
  auto model = mHeld.find(aModel);
  return model != mHeld.end() &&
         (aAdapter.empty() || model->second.count(aAdapter) > 0);
}

RoomUse
ServerInventory::RoomForLateOrders(const EngineSpec& aEngine,
                                   int aOrders,
                                   TimePoint aNow) const
{
  return mLate.RoomAt(aEngine, mHeld, mStartTime, mOrderCount + aOrders, aNow);
}

// A late order at the same count as aOrder needs no room: only one of the two
// is accepted.
bool
ServerInventory::Fits(const EngineSpec& aEngine,
                      const ModelOrder& aOrder,
                      TimePoint aNow) const
{
  if (!Known()) {
    return false;
  }
  if (aOrder.mLoad &&
      !FitsBeside(aEngine, mHeld, aOrder.mModel, aOrder.mAdapter)) {
    return false;
  }
  // An adapter in use is unloaded later, so no unload of one counts yet.
  HeldModels after = mHeld;
  if (aOrder.mLoad || aOrder.mAdapter.empty()) {
    Apply(aOrder, after);
  }
  RoomUse late =
    mLate.RoomAt(aEngine, after, mStartTime, mOrderCount + 1, aNow);
  if (late.mMb == 0 && late.mAdapters == 0) {
    return true;
  }
  RoomUse use = RoomUsedBy(aEngine, after);
  return use.mMb + late.mMb <= aEngine.mMemoryMb &&
         use.mAdapters + late.mAdapters <= aEngine.mAdapterSlots;
}

bool
ServerInventory::SameStart(const ServerReport& aReport) const
{
  return aReport.mStartTime == mStartTime;
}

bool
ServerInventory::Underestimates(const ServerReport& aReport) const
{
  if (!Known() || !SameStart(aReport) || aReport.mBusy ||
      aReport.mOrderCount != mOrderCount) {
    return false;
  }
  for (const auto& [model, adapters] : aReport.mModels) {
    auto held = mHeld.find(model);
    if (held == mHeld.end() || !std::includes(held->second.begin(),
                                              held->second.end(),
                                              adapters.begin(),
                                              adapters.end())) {
      return true;
    }
  }
  return false;
}

bool
ServerInventory::OnReport(const ServerReport& aReport)
{
  if (!SameStart(aReport) || aReport.mBusy || aReport.mOrderCount < 0 ||
      aReport.mOrderCount < mOrderCount) {
    return false;
  }
  if (aReport.mOrderCount != mOrderCount) {
    mLastLoad = {};
  }
  mOrderCount = aReport.mOrderCount;
  mOrdersSinceReport = 0;
  mHeld = aReport.mModels;
  mPendingLoads.clear();
  mPendingUnloads.clear();
  return true;
}

void
ServerInventory::OnAccepted(const ModelOrder& aOrder, bool aDone)
{
  if (mOrderCount != aOrder.mOrderCount) {
    return; // a report that includes the order arrived first
  }
  ++mOrderCount;
  ++mOrdersSinceReport;
  std::pair<std::string, std::string> name{ aOrder.mModel, aOrder.mAdapter };
  if (aOrder.mLoad) {
    Apply(aOrder, mHeld);
    mPendingLoads.insert(name);
    mLastLoad = name;
    return;
  }
  mLastLoad = {};
  mPendingLoads.erase(name);
  // The server accepts no order until the unload of a model has ended, so its
  // memory may be counted as free. An adapter in use is unloaded later.
  if (aOrder.mAdapter.empty() || aDone) {
    Apply(aOrder, mHeld);
  } else {
    mPendingUnloads.insert(name);
  }
}

void
ServerInventory::OnSent(const ModelOrder& aOrder, TimePoint aNow)
{
  mLate.Forget(aNow);
  mLate.OnSent(aOrder, mStartTime, aNow);
}

void
ServerInventory::OnAnswered(const ModelOrder& aOrder, int64_t aStartTime)
{
  mLate.OnAnswered(aOrder, aStartTime);
}

void
ServerInventory::OnLoadFinished()
{
  mPendingLoads.clear();
}

bool
ServerInventory::OnLoadStillPending(const ServerReport& aReport)
{
  bool model = !mLastLoad.first.empty() && mLastLoad.second.empty();
  if (!SameStart(aReport) || !model || !aReport.mBusy ||
      aReport.mOrderCount != mOrderCount) {
    return false;
  }
  return mPendingLoads.insert(mLastLoad).second;
}

} // namespace caraway
