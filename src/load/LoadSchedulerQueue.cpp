#include "load/LoadScheduler.h"

#include <algorithm>

namespace caraway {

namespace {

// Queued requests are reconsidered on every change, and at this interval
// because some conditions depend on time alone.
constexpr Millis kMaxScheduleGap{ 100 };

} // namespace

// The order of the queued loads, and which of them can begin.

// Starts the queued requests that can start now, in order of priority.
void
LoadScheduler::ScheduleQueued()
{
  TimePoint now = mState.Now();
  if (!mLease.Holds()) {
    mQueue.clear();
    mClaims.Forget(now);
    return;
  }
  if (!mPacer.MayBegin(now)) {
    return;
  }
  DropGivenUp();
  bool due = mScheduleDue || now - mScheduledAt >= kMaxScheduleGap;
  if (!mLease.MayAct() || !due || mQueue.empty()) {
    return;
  }
  mScheduleDue = false;
  mScheduledAt = now;
  std::map<std::pair<std::string, std::string>, ZoneCopies> copies;
  std::vector<std::pair<LoadPriorityKey, PendingLoad*>> ranked;
  for (auto& [key, queued] : mQueue) {
    const LoadRequest& request = queued.mRequest;
    auto [at, added] =
      copies.try_emplace({ request.mService, request.mVersion });
    if (added) {
      at->second = CopiesOf(request);
    }
    ranked.emplace_back(RankLoad(PriorityFactsOf(queued, at->second), now),
                        &queued);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<PendingLoad*> inOrder;
  for (const auto& [rank, queued] : ranked) {
    inOrder.push_back(queued);
  }
  for (const Key& key : StartQueued(inOrder)) {
    mQueue.erase(key);
  }
  mPacer.OnPass(now, mState.Now());
}

void
LoadScheduler::DropGivenUp()
{
  for (auto at = mQueue.begin(); at != mQueue.end();) {
    if (at->second.mQueued.GivenUp(mState.Now())) {
      LogDropped(at->second);
      at = mQueue.erase(at);
    } else {
      ++at;
    }
  }
}

// Returns the loads that need not stay queued. The facts are collected anew
// only once a load has begun: they take longer than a placement, and a queue
// may be long.
std::vector<LoadScheduler::Key>
LoadScheduler::StartQueued(const std::vector<PendingLoad*>& aRanked)
{
  std::vector<Key> started;
  PlacementFacts* facts = nullptr;
  FreeServers free;
  uint64_t changes = mJobChanges;
  for (const PendingLoad* queued : aRanked) {
    const LoadRequest& request = queued->mRequest;
    if (!facts || facts->mService != request.mService ||
        changes != mJobChanges) {
      facts = &FactsFor(request.mService);
      free = FreeServersOf(*facts);
      changes = mJobChanges;
    }
    LoadPatience patience = PatienceFor(*queued, mState.Now());
    if (!free.empty() && TryStartModel(*queued, patience, free, *facts)) {
      started.push_back(KeyOf(request));
    }
  }
  return started;
}

void
LoadScheduler::LogDropped(const PendingLoad& aPending)
{
  const LoadRequest& request = aPending.mRequest;
  mState.mLog.Line("load_dropped")
    .Text("model", request.mModel)
    .Text("adapter", request.mAdapter)
    .Count("priority", request.mPriority)
    .Flag("extra", request.mExtraReplica)
    .Count("queued", static_cast<int64_t>(mQueue.size()))
    .Ms("store_wait_ms", mStoreLoads.Wait(mState.Now()))
    .Ms("asked_ms", mState.AgeOf(aPending.mQueued.AskedAt()))
    .Ms("waited_ms", mState.AgeOf(aPending.mQueued.Since()));
}

size_t
LoadScheduler::Overdue() const
{
  return static_cast<size_t>(
    std::count_if(mQueue.begin(), mQueue.end(), [this](const auto& aEntry) {
      const PendingLoad& pending = aEntry.second;
      return !pending.mRequest.mExtraReplica &&
             pending.mQueued.Overdue(mState.Now());
    }));
}

LoadPatience
LoadScheduler::PatienceFor(const PendingLoad& aPending, TimePoint aNow)
{
  TimePoint needBy = aPending.mQueued.FirstNeedBy().value_or(aNow);
  return PatienceOf(aPending.mRequest.mPurpose,
                    std::chrono::duration_cast<Millis>(needBy - aNow));
}

LoadPriorityFacts
LoadScheduler::PriorityFactsOf(const PendingLoad& aPending,
                               const ZoneCopies& aCopies) const
{
  TimePoint now = mState.Now();
  LoadPriorityFacts facts;
  facts.mRate = mState.mDemand.Rate(aPending.mRequest.mModel, now);
  facts.mPriority = aPending.mRequest.mPriority;
  // The lowest priority is that of a replica that no request waits for; one
  // that is needed because requests already wait has priority 0.
  facts.mHasWaiters = aPending.mRequest.mPriority < kLowestPriority;
  facts.mSince = aPending.mQueued.Since();
  facts.mLoad = ShortestLoadTime(aPending.mRequest, aCopies);
  facts.mNeedBy = aPending.mQueued.NeedBy();
  facts.mPurpose = aPending.mRequest.mPurpose;
  facts.mDemand = aPending.mQueued.Demand(now);
  // The first patient caller decides while its load can still be in time.
  auto first = aPending.mQueued.FirstNeedBy();
  bool firstOnTime = first && now + facts.mLoad <= *first;
  if (facts.mPurpose == LoadPurpose::Patient && firstOnTime) {
    facts.mNeedBy = std::min(facts.mNeedBy, *first);
  }
  UrgentRates urgent =
    mState.mDemand.Urgent().RatesOf(aPending.mRequest.mModel, mZone, now);
  facts.mUrgentRate = std::max(urgent.mFleet, urgent.mRecent);
  return facts;
}

// Servers of this zone that accept orders now. Under overload there is none
// most of the time, and planning a placement for each queued request would use
// up the instance's share of a core.
LoadScheduler::FreeServers
LoadScheduler::FreeServersOf(const PlacementFacts& aFacts) const
{
  FreeServers free;
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mService == aFacts.mService &&
        backend.mEntry.mZone == aFacts.mZone && !backend.mEntry.mDraining &&
        !aFacts.mBusy.count(id) && !aFacts.mAvoid.count(id)) {
      free.push_back(&backend);
    }
  }
  return free;
}

LoadScheduler::ZoneCopies
LoadScheduler::CopiesOf(const LoadRequest& aRequest) const
{
  ZoneCopies copies;
  for (const auto& [id, backend] : mState.mServers.All()) {
    const BackendEntry& entry = backend.mEntry;
    if (entry.mService != aRequest.mService || entry.mZone != mZone ||
        entry.mDraining || !aRequest.Fits(entry.mVersion)) {
      continue;
    }
    copies.mOnDisk.insert(entry.mOnDisk.begin(), entry.mOnDisk.end());
    for (const std::string& model : entry.mInMemory) {
      if (!entry.mOnDisk.count(model)) {
        copies.mInMemory.insert(model);
      }
    }
  }
  return copies;
}

// The load time from the nearest copy of the weights in this zone, without any
// waiting time.
Millis
LoadScheduler::ShortestLoadTime(const LoadRequest& aRequest,
                                const ZoneCopies& aCopies) const
{
  const EngineSpec* engine = EngineOf(aRequest.mService);
  if (!engine || !aRequest.mAdapter.empty()) {
    return Millis(0);
  }
  auto model = engine->mModels.find(aRequest.mModel);
  if (model == engine->mModels.end()) {
    return Millis(0);
  }
  Millis least = model->second.mLoad;
  if (aCopies.mOnDisk.count(aRequest.mModel)) {
    least = std::min(least, model->second.mDisk);
  }
  if (aCopies.mInMemory.count(aRequest.mModel)) {
    least = std::min(least, model->second.mWarm);
  }
  return least;
}

} // namespace caraway
