#include "decide/ServerInventory.h"

#include <algorithm>

#include "decide/ServerRoom.h"

namespace caraway {

void
ServerInventory::Restart(int64_t aStartTime)
{
  mLateOrders.insert(mLateOrders.end(), mUnanswered.begin(), mUnanswered.end());
  mUnanswered.clear();
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

// The server refuses a late order whose count of orders has passed, so such an
// order is left out.
HeldModels
ServerInventory::UpperBound(TimePoint aNow) const
{
  HeldModels bound = mHeld;
  for (const LateOrder& late : mLateOrders) {
    const ModelOrder& order = late.mOrder;
    if (!order.mLoad || aNow >= late.mUntil ||
        order.mOrderCount < mOrderCount) {
      continue;
    }
    std::set<std::string>& adapters = bound[order.mModel];
    if (!order.mAdapter.empty()) {
      adapters.insert(order.mAdapter);
    }
  }
  return bound;
}

bool
ServerInventory::Fits(const EngineSpec& aEngine,
                      const ModelOrder& aLoad,
                      TimePoint aNow) const
{
  return Known() &&
         FitsBeside(aEngine, UpperBound(aNow), aLoad.mModel, aLoad.mAdapter);
}

int
ServerInventory::LateOrders(TimePoint aNow) const
{
  return static_cast<int>(std::count_if(
    mLateOrders.begin(), mLateOrders.end(), [aNow](const LateOrder& aLate) {
      return aNow < aLate.mUntil;
    }));
}

bool
ServerInventory::SameStart(const ServerReport& aReport) const
{
  return !aReport.mStartTime || *aReport.mStartTime == mStartTime;
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
    std::set<std::string>& adapters = mHeld[aOrder.mModel];
    if (!aOrder.mAdapter.empty()) {
      adapters.insert(aOrder.mAdapter);
    }
    mPendingLoads.insert(name);
    mLastLoad = name;
    return;
  }
  mLastLoad = {};
  mPendingLoads.erase(name);
  if (aOrder.mAdapter.empty()) {
    // The server accepts no order until the unload of a model has ended, so its
    // memory may be counted as free.
    mHeld.erase(aOrder.mModel);
  } else if (aDone && mHeld.count(aOrder.mModel)) {
    mHeld[aOrder.mModel].erase(aOrder.mAdapter);
  } else if (!aDone) {
    mPendingUnloads.insert(name);
  }
}

void
ServerInventory::OnUnanswered(const ModelOrder& aOrder, TimePoint aNow)
{
  mUnanswered.push_back({ aOrder, aNow + kMaxOrderDelay });
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
