#include "load/LoadScheduler.h"

#include <algorithm>

#include "base/EraseIf.h"

namespace caraway {

namespace {

// Time from the expected end of a load until the first report is requested:
// reports are about 100 ms old. Reports are used because one costs an eighth of
// a call to the object store, and the store shows the end of a load later.
constexpr Millis kFirstPollDelay{ 120 };

// The timers of servers run slightly late; a request that reaches the server
// before the load has ended is rejected and has to be sent again.
constexpr Millis kLoadMargin{ 10 };

// A loaded model is protected from eviction for two heartbeats, as one may be
// lost, but in a large fleet, where heartbeats are rare, not for longer than a
// load takes.
constexpr int kSettleRounds = 2;
constexpr Millis kMaxSettleTime{ 1000 };

} // namespace

// The end of a job: its load has ended, or its server or zone is gone.

void
LoadScheduler::OnLoadOrderAccepted(Job& aJob)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  aJob.mLoading = true;
  aJob.mExpected = mState.Now() + aJob.mLoad;
  if (Backend* backend = mState.mServers.Find(server)) {
    backend->mLoadingUntil = aJob.mExpected;
  }
  if (aJob.mSource == WeightSource::Store) {
    mState.mReactor.After(aJob.mLoad + kFirstPollDelay,
                          [this, server, id] { PollLoad(server, id); });
    return;
  }
  // Servers do not announce that an adapter is loaded, and their reports show a
  // loaded model a fifth of a second late, which is a quarter of its load time.
  bool adapter = !aJob.mRequest.mAdapter.empty();
  mState.mReactor.After(aJob.mLoad + (adapter ? Millis(0) : kLoadMargin),
                        [this, server, id] { AssumeLoaded(server, id); });
}

// A load from a server's own memory or disk is assumed to take the time that
// the configuration gives. If the load takes longer, the server rejects the
// request, which is sent again.
void
LoadScheduler::AssumeLoaded(const std::string& aServer, uint64_t aId)
{
  Job* job = Find(aServer, aId);
  if (!job) {
    return;
  }
  Backend* backend = mState.mServers.Find(aServer);
  if (!backend || backend->mEntry.mStartTime != job->mStartTime) {
    EndJob(aServer, "server gone");
    return;
  }
  mInventories.Of(aServer).OnLoadFinished();
  mInventories.ApplyAndSend(aServer);
  EndJob(aServer, job->mRequest.mAdapter.empty() ? "loaded" : "adapter loaded");
  mChanged();
}

// Ends what is planned for evacuated zones.
void
LoadScheduler::DropEvacuated()
{
  mClaims.ForgetZones(mState.mEvacuations.Zones());
  if (!Evacuated()) {
    return;
  }
  mQueue.clear();
  while (!mJobs.empty()) {
    std::string server = mJobs.begin()->first;
    EndJob(server, "zone evacuated");
  }
}

void
LoadScheduler::OnChanged()
{
  mScheduleDue = true;
  DropEvacuated();
  std::vector<std::string> loaded;
  std::vector<std::string> lost;
  for (const auto& [server, job] : mJobs) {
    Backend* backend = mState.mServers.Find(server);
    if (!backend || backend->mEntry.mStartTime != job.mStartTime) {
      lost.push_back(server);
    } else if (job.mLoading && job.mRequest.mAdapter.empty() &&
               backend->Holds(job.mRequest.mModel, "")) {
      loaded.push_back(server);
    }
  }
  for (const std::string& server : loaded) {
    EndJob(server, "loaded");
  }
  for (const std::string& server : lost) {
    EndJob(server, "server gone");
  }
}

void
LoadScheduler::EndJob(const std::string& aServer, const char* aWhy)
{
  auto found = mJobs.find(aServer);
  if (found == mJobs.end()) {
    return;
  }
  mState.mLog.Line("place_ended")
    .Text("server", aServer)
    .Text("model", found->second.mRequest.mModel)
    .Text("adapter", found->second.mRequest.mAdapter)
    .Text("why", aWhy)
    .Count("busy", found->second.mBusyAnswers)
    .Ms("took_ms", mState.AgeOf(found->second.mBegan));
  const Job& job = found->second;
  Backend* backend = mState.mServers.Find(aServer);
  bool held =
    backend && backend->Holds(job.mRequest.mModel, job.mRequest.mAdapter);
  if (job.mSource == WeightSource::Store) {
    mStoreLoads.Ended(aServer, held, mState.Now());
    SendStoreLoad(aServer, Millis(0));
  }
  if (backend) {
    backend->mLoadingUntil = mState.Now();
  }
  // An order of the job may still be in progress, or be carried out late.
  if (backend && !held) {
    mInventories.Of(aServer).MarkUnknown();
  }
  if (held && job.mRequest.mAdapter.empty()) {
    MarkRecentlyLoaded(job);
  }
  mScheduleDue = true;
  mJobs.erase(found);
  ++mJobChanges;
}

// Protects a model that has just been loaded from eviction. Requests that
// waited for it at other instances appear in the counts of requests in flight
// only with those instances' next heartbeats. Without the protection the model
// seems idle and is evicted by the next load as soon as it is loaded.
void
LoadScheduler::MarkRecentlyLoaded(const Job& aJob)
{
  TimePoint now = mState.Now();
  EraseIf(mRecentlyLoaded,
          [now](const auto& aEntry) { return now >= aEntry.second; });
  mRecentlyLoaded[{ aJob.mServer, aJob.mRequest.mModel }] =
    now + std::min(mPeers.HeartbeatInterval() * kSettleRounds, kMaxSettleTime);
}

} // namespace caraway
