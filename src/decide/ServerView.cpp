#include "decide/ServerView.h"

#include <algorithm>

#include "decide/RateReservations.h"

namespace caraway {

namespace {

// Costs are in requests per slot: 0.1 equals a tenth of a server's slots. A
// server in another zone costs two zone crossings and billed traffic.
constexpr double kCrossZoneCost = 0.12;
// A server that fails half of its requests costs as much as a full one.
constexpr double kFailureCost = 2.0;

// Time for which a server is avoided after a connection failure; it doubles
// with each consecutive one. The next request after it serves as a probe.
constexpr Millis kFirstAvoidTime{ 200 };
constexpr int kMaxDoublings = 4;

// A server that broke a connection may have ended, and may start again under
// its id with another version of its software. Within this time its entry says
// so.
constexpr Millis kRestartNoticeTime{ 3000 };

// The lease holder reports each server's content repeatedly, every second in a
// small fleet. After this time without a report the server's own entry is the
// better source.
constexpr Millis kReportedContentLife{ 3000 };

// Long enough for an adapter load in progress to finish, and for a lost message
// about it to be sent again.
constexpr Millis kSuspectedMissingTime{ 60 };

// Weight of one outcome in the failure share. Three failures in a row make a
// server about as costly as a full one; a single failure does not.
constexpr double kSampleWeight = 0.2;

// The requests that a server reports count for this time.
constexpr Millis kReportedLoadLife{ 1000 };

// A server that reports its pace and rejects a request for want of room counts
// as full for this time, whatever it reports.
constexpr Millis kRejectedTime{ 200 };

int
Total(const std::map<std::string, int>& aCounts)
{
  int total = 0;
  for (const auto& [model, count] : aCounts) {
    total += count;
  }
  return total;
}

void
RecordOwnChange(Backend* aBackend, int aChange, TimePoint aNow)
{
  if (!aBackend || !aBackend->mLoadReport) {
    return;
  }
  auto& changes = aBackend->mOwnChanges;
  while (!changes.empty() && aNow - changes.front().first > kReportedLoadLife) {
    changes.pop_front();
  }
  changes.emplace_back(aNow, aChange);
}

// Takes the first permit that can be used, and drops those that have lapsed.
void
SpendRatePermit(Backend& aBackend, TimePoint aNow)
{
  auto& permits = aBackend.mRatePermits;
  while (!permits.empty() &&
         aNow - permits.front() >= RateReservations::kPermitLife) {
    permits.pop_front();
  }
  if (!permits.empty() && permits.front() <= aNow) {
    permits.pop_front();
  }
}

// Applies the difference between aBefore and aAfter to aHeld.
bool
ApplyEntryChanges(const HeldModels& aBefore,
                  const HeldModels& aAfter,
                  HeldModels& aHeld)
{
  HeldModels held = aHeld;
  for (const auto& [model, adapters] : aBefore) {
    if (!aAfter.count(model)) {
      held.erase(model);
    }
  }
  for (const auto& [model, adapters] : aAfter) {
    auto before = aBefore.find(model);
    if (before == aBefore.end()) {
      held[model] = adapters;
      continue;
    }
    auto at = held.find(model);
    if (at == held.end()) {
      continue; // unloaded since, by a newer report
    }
    for (const std::string& adapter : before->second) {
      if (!adapters.count(adapter)) {
        at->second.erase(adapter);
      }
    }
    for (const std::string& adapter : adapters) {
      if (!before->second.count(adapter)) {
        at->second.insert(adapter);
      }
    }
  }
  bool changed = held != aHeld;
  aHeld = std::move(held);
  return changed;
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

void
ServerView::MarkMissing(const std::string& aId,
                        const std::string& aModel,
                        const std::string& aAdapter,
                        TimePoint aNow)
{
  if (Backend* backend = Find(aId)) {
    backend->mSuspectedMissing[{ aModel, aAdapter }] =
      aNow + kSuspectedMissingTime;
  }
}

bool
ServerView::Put(const BackendEntry& aEntry, TimePoint aNow)
{
  auto [at, added] = mBackends.try_emplace(aEntry.mId);
  Backend& backend = at->second;
  BackendEntry before = std::move(backend.mEntry);
  backend.mEntry = aEntry;
  mZones.insert(aEntry.mZone);
  mLives.OnListed(aEntry.mId, aEntry.mStartTime, aNow);
  ReadStart(backend, added, before.mStartTime, aNow);
  if (added || before.mRevision != aEntry.mRevision ||
      before.mColdLeft != aEntry.mColdLeft) {
    ReadColdLeft(backend, aNow);
  }
  if (added || before.mService != aEntry.mService ||
      before.mVersion != aEntry.mVersion) {
    if (!added) {
      mVersions.OnUnlisted(before, aNow);
    }
    mVersions.OnListed(aEntry, aNow);
  }
  if (added) {
    for (const auto& [peer, counts] : mPeerCounts) {
      auto found = counts.find(aEntry.mId);
      if (found != counts.end()) {
        AddPeerRequests({ *found }, 1);
      }
    }
  }
  if (added || before.mStartTime != aEntry.mStartTime ||
      before.mVersion != aEntry.mVersion) {
    backend.mModels = aEntry.mModels;
    backend.mOrderCount = -1;
    backend.mReportedAt = TimePoint();
    backend.mSuspectedMissing.clear();
    backend.mConsecutiveFailures = 0;
    backend.mAvoidUntil = TimePoint();
    backend.mVersionUnsureUntil = TimePoint();
    backend.mAddressReusedUntil = TimePoint();
    backend.mRejectionLimit = NamedLimit();
    backend.mRateLimit = NamedLimit();
    backend.mRatePermits.clear();
    backend.mFullUntil = TimePoint();
    backend.mLoadReport.reset();
    backend.mPace = ServerPace();
    return true;
  }
  bool reported = backend.mReportedAt != TimePoint() &&
                  aNow - backend.mReportedAt < kReportedContentLife;
  bool changed =
    !reported &&
    ApplyEntryChanges(before.mModels, aEntry.mModels, backend.mModels);
  return changed || before.mDraining != aEntry.mDraining;
}

void
ServerView::Remove(const std::string& aId, TimePoint aNow)
{
  auto found = mBackends.find(aId);
  if (found != mBackends.end()) {
    mVersions.OnUnlisted(found->second.mEntry, aNow);
    mLives.OnUnlisted(aId, aNow);
    mBackends.erase(found);
  }
}

bool
ServerView::PutContent(const std::string& aId,
                       int64_t aStartTime,
                       int64_t aOrderCount,
                       const HeldModels& aModels,
                       TimePoint aNow)
{
  Backend* backend = Find(aId);
  if (!backend || backend->mEntry.mStartTime != aStartTime ||
      aOrderCount < backend->mOrderCount) {
    return false;
  }
  mLives.OnOrderCount(aId, aOrderCount, aNow);
  bool changed = aModels != backend->mModels;
  backend->mOrderCount = aOrderCount;
  backend->mModels = aModels;
  backend->mReportedAt = aNow;
  return changed;
}

Backend*
ServerView::Find(const std::string& aId)
{
  auto found = mBackends.find(aId);
  return found == mBackends.end() ? nullptr : &found->second;
}

bool
ServerView::HasVersion(const std::string& aService,
                       const std::string& aVersion,
                       const std::set<std::string>& aExcludedZones) const
{
  return std::any_of(
    mBackends.begin(), mBackends.end(), [&](const auto& aEntry) {
      const BackendEntry& entry = aEntry.second.mEntry;
      return entry.mService == aService && entry.mVersion == aVersion &&
             !entry.mDraining && !aExcludedZones.count(entry.mZone);
    });
}

bool
ServerView::IsNear(const std::string& aId, const std::string& aZone) const
{
  auto found = mBackends.find(aId);
  if (found != mBackends.end() && found->second.mEntry.mZone == aZone) {
    return true;
  }
  return std::none_of(
    mBackends.begin(), mBackends.end(), [&aZone](const auto& aEntry) {
      return aEntry.second.mEntry.mZone == aZone;
    });
}

void
ServerView::OnRequestBegan(const std::string& aId,
                           const std::string& aName,
                           TimePoint aNow)
{
  Backend* backend = Find(aId);
  if (!backend) {
    return;
  }
  ++backend->mOwnRequests[aName];
  SpendRatePermit(*backend, aNow);
  // Also while it is warm: it may turn out to be cold within the same second.
  if (ColdSpecOf(backend->mEntry.mService).mPerSecond > 0) {
    mColdLimit.Spend(aId, aNow);
  }
}

void
ServerView::OnRequestEnded(const std::string& aId, const std::string& aName)
{
  Backend* backend = Find(aId);
  if (!backend) {
    return;
  }
  auto found = backend->mOwnRequests.find(aName);
  if (found != backend->mOwnRequests.end() && --found->second <= 0) {
    backend->mOwnRequests.erase(found);
  }
}

void
ServerView::OnSlotTaken(const std::string& aId, TimePoint aNow)
{
  RecordOwnChange(Find(aId), 1, aNow);
}

void
ServerView::OnSlotFreed(const std::string& aId, TimePoint aNow)
{
  RecordOwnChange(Find(aId), -1, aNow);
}

void
ServerView::OnPromptSent(const std::string& aId, double aTokens)
{
  if (Backend* backend = Find(aId)) {
    backend->mUnreadTokens += aTokens;
  }
}

void
ServerView::OnPromptRead(const std::string& aId, double aTokens)
{
  if (Backend* backend = Find(aId)) {
    // It may have been listed anew meanwhile.
    backend->mUnreadTokens = std::max(0.0, backend->mUnreadTokens - aTokens);
  }
}

void
ServerView::RecordOutcome(const std::string& aId,
                          ServerOutcome aOutcome,
                          TimePoint aNow)
{
  Backend* backend = Find(aId);
  if (!backend) {
    return;
  }
  double failed = aOutcome == ServerOutcome::Good ? 0 : 1;
  backend->mFailureShare += kSampleWeight * (failed - backend->mFailureShare);
  if (aOutcome != ServerOutcome::Broken) {
    backend->mConsecutiveFailures = 0;
    return;
  }
  int doublings = std::min(backend->mConsecutiveFailures++, kMaxDoublings);
  backend->mAvoidUntil = aNow + kFirstAvoidTime * (1 << doublings);
  backend->mVersionUnsureUntil = aNow + kRestartNoticeTime;
}

void
ServerView::OnRejectionLimit(const std::string& aId,
                             std::optional<double> aLimit,
                             TimePoint aAskedAt)
{
  if (Backend* backend = Find(aId)) {
    backend->mRejectionLimit.OnAnswer(aLimit, aAskedAt);
  }
}

void
ServerView::OnRateLimit(const std::string& aId,
                        std::optional<double> aLimit,
                        TimePoint aAskedAt)
{
  if (Backend* backend = Find(aId)) {
    backend->mRateLimit.OnAnswer(aLimit, aAskedAt);
    if (!backend->mRateLimit) {
      backend->mRatePermits.clear();
    }
  }
}

void
ServerView::OnRatePermit(const std::string& aId, TimePoint aAt)
{
  if (Backend* backend = Find(aId)) {
    auto& permits = backend->mRatePermits;
    permits.insert(std::upper_bound(permits.begin(), permits.end(), aAt), aAt);
  }
}

size_t
ServerView::RateLimitedServers() const
{
  return static_cast<size_t>(
    std::count_if(mBackends.begin(), mBackends.end(), [](const auto& aEntry) {
      return static_cast<bool>(aEntry.second.mRateLimit);
    }));
}

void
ServerView::OnRejected(const std::string& aId, int aInstances, TimePoint aNow)
{
  Backend* backend = Find(aId);
  if (!backend) {
    return;
  }
  if (!backend->mRejectionLimit) {
    if (ReportsPace(backend->mEntry.mService)) {
      backend->mFullUntil = aNow + kRejectedTime;
    }
    return;
  }
  double seconds = std::max(1.0, aInstances / *backend->mRejectionLimit);
  backend->mFullUntil =
    aNow + Millis(static_cast<int64_t>(seconds * Millis(Seconds(1)).count()));
}

void
ServerView::OnLoadReport(const std::string& aId,
                         const ServerLoadReport& aReport,
                         TimePoint aAt)
{
  Backend* backend = Find(aId);
  if (!backend || (backend->mLoadReport && aAt < backend->mLoadReportAt)) {
    return;
  }
  backend->mLoadReport = aReport;
  backend->mLoadReportAt = aAt;
  if (aReport.mPace) {
    mPacedServices.insert(backend->mEntry.mService);
    backend->mPace.Record(*aReport.mPace, aAt);
  }
}

void
ServerView::OnAddressReused(const std::string& aId, Millis aFor, TimePoint aNow)
{
  if (Backend* backend = Find(aId)) {
    backend->mAddressReusedUntil = aNow + aFor;
  }
}

void
ServerView::PutPeerRequests(const std::string& aPeer, InFlightCounts aCounts)
{
  InFlightCounts& counts = mPeerCounts[aPeer];
  AddPeerRequests(counts, -1);
  counts = std::move(aCounts);
  AddPeerRequests(counts, 1);
}

void
ServerView::PutPeerRequestsIn(const std::string& aZone,
                              const std::string& aPeer,
                              const InFlightCounts& aCounts)
{
  InFlightCounts counts = aCounts;
  for (const auto& [id, models] : mPeerCounts[aPeer]) {
    const Backend* backend = Find(id);
    if (backend && backend->mEntry.mZone != aZone) {
      counts[id] = models;
    }
  }
  PutPeerRequests(aPeer, std::move(counts));
}

void
ServerView::ForgetPeer(const std::string& aPeer)
{
  auto found = mPeerCounts.find(aPeer);
  if (found != mPeerCounts.end()) {
    AddPeerRequests(found->second, -1);
    mPeerCounts.erase(found);
  }
}

void
ServerView::AddPeerRequests(const InFlightCounts& aCounts, int aSign)
{
  for (const auto& [id, models] : aCounts) {
    Backend* backend = Find(id);
    if (!backend) {
      continue;
    }
    for (const auto& [model, count] : models) {
      auto at = backend->mPeerRequests.emplace(model, 0).first;
      at->second += aSign * count;
      if (at->second <= 0) {
        backend->mPeerRequests.erase(at);
      }
    }
  }
}

} // namespace caraway
