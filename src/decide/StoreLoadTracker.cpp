#include "decide/StoreLoadTracker.h"

#include <algorithm>
#include <cmath>

#include "base/EraseIf.h"

namespace caraway {

namespace {

// Concurrent loads at full speed: the initial estimate and its upper bound.
constexpr double kInitialCapacity = 4;
constexpr double kMaxCapacity = 16;

// A load that took more than this multiple of its usual time was slowed by
// concurrent loads. Each load that wasn't may raise the estimate by
// kCapacityProbe.
constexpr double kSlowdownThreshold = 1.12;
constexpr double kCapacityProbe = 0.25;

// Weight of one slowed load in the estimate.
constexpr double kSampleWeight = 0.5;

// A load of another zone counts for this long after the end that was reported
// last: two reports in a row may be lost.
constexpr Millis kReportLossAllowance =
  StoreLoadTracker::kReportInterval * 5 / 2;

// Servers of a zone per concurrent load from the store. Such a load blocks all
// other orders to the server for as long as six loads from disk take, so few
// servers do it at once.
constexpr size_t kServersPerLoad = 6;

// Window over which the rate is counted; the same as the store's own.
constexpr Seconds kWindow{ 5 };

// A zone's part that is a whole number in decimals must not lose a load to
// binary rounding.
constexpr double kRounding = 1e-6;

// Time until an overdue load is checked again.
constexpr Millis kRecheckInterval{ 100 };

} // namespace

StoreLoadTracker::StoreLoadTracker()
  : mEstimatedCapacity(kInitialCapacity)
{
}

void
StoreLoadTracker::SetLimits(double aPerSecond, size_t aZones, size_t aServers)
{
  mMaxConcurrent = std::max<size_t>(1, aServers / kServersPerLoad);
  mPerSecond = aPerSecond / static_cast<double>(std::max<size_t>(1, aZones));
}

size_t
StoreLoadTracker::LoadsInProgress(TimePoint aNow) const
{
  size_t count = mRunning.size();
  for (const auto& [server, end] : mOtherZoneLoads) {
    count += aNow < end ? 1 : 0;
  }
  return count;
}

Millis
StoreLoadTracker::Wait(TimePoint aNow) const
{
  Millis wait{ 0 };
  bool full = mRunning.size() >= mMaxConcurrent;
  if (full || static_cast<double>(LoadsInProgress(aNow) + 1) >
                mEstimatedCapacity + kRounding) {
    TimePoint first = TimePoint::max();
    for (const auto& [server, load] : mRunning) {
      first = std::min(first, load.mBegan + load.mUsualTime);
    }
    for (const auto& [server, end] : mOtherZoneLoads) {
      first = aNow < end ? std::min(first, end) : first;
    }
    auto left = first == TimePoint::max()
                  ? kRecheckInterval
                  : std::chrono::duration_cast<Millis>(first - aNow);
    wait = std::max(left, kRecheckInterval);
  }
  // At least one: a part of less than one load per window would admit none.
  double inWindow = std::max(
    1.0,
    std::floor(mPerSecond * static_cast<double>(kWindow.count()) + kRounding));
  size_t recent = 0;
  for (TimePoint began : mBegan) {
    recent += aNow - began < kWindow ? 1 : 0;
  }
  if (static_cast<double>(recent) >= inWindow) {
    TimePoint opens = mBegan[mBegan.size() - recent] + kWindow;
    wait = std::max(
      wait, std::chrono::duration_cast<Millis>(opens - aNow) + Millis(1));
  }
  return wait;
}

void
StoreLoadTracker::Began(const std::string& aServer,
                        Millis aUsualTime,
                        TimePoint aNow)
{
  mRunning[aServer] = { aNow, aUsualTime, LoadsInProgress(aNow) + 1 };
  mBegan.push_back(aNow);
  while (aNow - mBegan.front() >= kWindow) {
    mBegan.pop_front();
  }
}

void
StoreLoadTracker::Ended(const std::string& aServer,
                        bool aLoaded,
                        TimePoint aNow)
{
  auto found = mRunning.find(aServer);
  if (found == mRunning.end()) {
    return;
  }
  const Load load = found->second;
  double concurrent =
    static_cast<double>(load.mConcurrent + LoadsInProgress(aNow)) / 2;
  mRunning.erase(found);
  if (!aLoaded || load.mUsualTime <= Millis(0)) {
    return;
  }
  double took = std::chrono::duration<double>(aNow - load.mBegan) /
                std::chrono::duration<double>(load.mUsualTime);
  if (took > kSlowdownThreshold) {
    mEstimatedCapacity +=
      kSampleWeight *
      (std::min(mEstimatedCapacity, concurrent / took) - mEstimatedCapacity);
  } else if (concurrent + 1 > mEstimatedCapacity) {
    mEstimatedCapacity += kCapacityProbe;
  }
  mEstimatedCapacity = std::clamp(mEstimatedCapacity, 1.0, kMaxCapacity);
}

void
StoreLoadTracker::OnOtherZoneLoad(const std::string& aServer,
                                  Millis aLeft,
                                  TimePoint aNow)
{
  // Nobody reports the end of a load whose zone's lease holder has died.
  EraseIf(mOtherZoneLoads,
          [aNow](const auto& aLoad) { return aNow >= aLoad.second; });
  if (aLeft <= Millis(0)) {
    mOtherZoneLoads.erase(aServer);
  } else {
    mOtherZoneLoads[aServer] = aNow + aLeft + kReportLossAllowance;
  }
}

} // namespace caraway
