#include "decide/ServerView.h"

#include <algorithm>

#include "decide/RateReservations.h"

namespace caraway {

namespace {

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

void
RecordOwnChange(Backend* aBackend, int aChange, TimePoint aNow)
{
  if (!aBackend || !aBackend->mLoadReport) {
    return;
  }
  auto& changes = aBackend->mOwnChanges;
  while (!changes.empty() &&
         aNow - changes.front().first > Backend::kReportedLoadLife) {
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

} // namespace

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
