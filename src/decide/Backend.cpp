#include "decide/Backend.h"

#include <algorithm>

#include "decide/RateReservations.h"

namespace caraway {

namespace {

// Costs are in requests per slot: 0.1 equals a tenth of a server's slots. A
// server in another zone costs two zone crossings and billed traffic.
constexpr double kCrossZoneCost = 0.12;
// A server that fails half of its requests costs as much as a full one.
constexpr double kFailureCost = 2.0;

int
Total(const std::map<std::string, int>& aCounts)
{
  int total = 0;
  for (const auto& [model, count] : aCounts) {
    total += count;
  }
  return total;
}

// Requests for a model and all its adapters, or for one MODEL/ADAPTER.
int
CountOf(const std::map<std::string, int>& aCounts, const std::string& aName)
{
  int count = 0;
  std::string prefix = aName + "/";
  for (const auto& [name, number] : aCounts) {
    if (name == aName || name.rfind(prefix, 0) == 0) {
      count += number;
    }
  }
  return count;
}

} // namespace

bool
Backend::EntryCovers(TimePoint aEstablishedAt, TimePoint aListAt) const
{
  return aEstablishedAt <= std::max(aListAt, mEntryReadAt);
}

Millis
Backend::LoadingFor(TimePoint aNow) const
{
  auto left = std::chrono::duration_cast<Millis>(mLoadingUntil - aNow);
  return std::max(left, Millis(0));
}

int
Backend::RequestsInFlight() const
{
  return Total(mOwnRequests) + Total(mPeerRequests);
}

double
Backend::Load() const
{
  return static_cast<double>(RequestsInFlight()) / std::max(1, mEntry.mSlots);
}

// Other instances' requests are seen with a delay. Where a rejection may bring
// the server down, no instance takes more than its part of the slots, so that a
// burst at all of them still finds room.
bool
Backend::HasRoom(double aMaxPerSlot, int aInstances, TimePoint aNow) const
{
  int slots = std::max(1, mEntry.mSlots);
  if (!mRejectionLimit) {
    return RequestsInFlight() < aMaxPerSlot * slots;
  }
  int part = std::max(1, slots / std::max(1, aInstances));
  return aNow >= mFullUntil && Total(mOwnRequests) < part &&
         RequestsInFlight() < slots;
}

bool
Backend::HasRatePermit(TimePoint aNow) const
{
  return !mRateLimit ||
         std::any_of(
           mRatePermits.begin(), mRatePermits.end(), [aNow](TimePoint aAt) {
             return aAt <= aNow && aNow - aAt < RateReservations::kPermitLife;
           });
}

// A slot that an own request has left since the report is free.
int
Backend::ReportedRequests(TimePoint aNow) const
{
  if (!mLoadReport || aNow - mLoadReportAt > kReportedLoadLife) {
    return 0;
  }
  int requests = mLoadReport->mRunning + mLoadReport->mWaiting;
  for (const auto& [at, change] : mOwnChanges) {
    requests += at > mLoadReportAt ? change : 0;
  }
  return std::max(0, requests);
}

bool
Backend::HasRoomAsReported(double aMaxPerSlot,
                           int aInstances,
                           TimePoint aNow) const
{
  return aNow >= mFullUntil &&
         ReportedRequests(aNow) < std::max(1, mEntry.mSlots) &&
         HasRoom(aMaxPerSlot, aInstances, aNow);
}

double
Backend::Cost(double aLoad, const std::string& aZone) const
{
  double zone = mEntry.mZone == aZone ? 0 : kCrossZoneCost;
  return aLoad + zone + kFailureCost * mFailureShare;
}

int
Backend::RequestsInFlight(const std::string& aName) const
{
  return CountOf(mOwnRequests, aName) + CountOf(mPeerRequests, aName);
}

bool
Backend::Holds(const std::string& aModel, const std::string& aAdapter) const
{
  auto model = mModels.find(aModel);
  return model != mModels.end() &&
         (aAdapter.empty() || model->second.count(aAdapter) > 0);
}

bool
Backend::SuspectedMissing(const std::string& aModel,
                          const std::string& aAdapter,
                          TimePoint aNow) const
{
  auto found = mSuspectedMissing.find({ aModel, aAdapter });
  return found != mSuspectedMissing.end() && aNow < found->second;
}

} // namespace caraway
