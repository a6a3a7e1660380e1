#include "entry/LoadScheduler.h"

#include <algorithm>

#include "entry/LoadMessages.h"
#include "entry/OrderLimits.h"
#include "platform/OrderMessage.h"

namespace caraway {

namespace {

constexpr Millis kOrderRetry{ 25 };

// An unload waits for its runs, which take up to seconds: the longer it has
// lasted, the less is lost by asking later.
constexpr Millis kMostBusyDelay{ 100 };

Millis
BusyDelay(int aTimes)
{
  return std::min(kOrderRetry * aTimes, kMostBusyDelay);
}

constexpr int kMostUnanswered = 4; // then another server is tried

// A server is asked whether a load has ended so long after it should have,
// and then as often: reports are a hundred milliseconds old, and a report
// costs an eighth of a call to the store, which tells it later.
constexpr Millis kPollAfter{ 120 };

// A server's timers run a little late, as all do; who comes too early is sent
// a second time.
constexpr Millis kLoadMargin{ 10 };

// A pulse may be lost, so two of them are waited for; in a large fleet, where
// pulses are rare, no longer than a load takes.
constexpr int kSettleRounds = 2;

constexpr Millis kMostSettle{ 1000 };

} // namespace

// The orders of one job, one after the other, and what becomes of them.

LoadScheduler::Job*
LoadScheduler::Find(const std::string& aServer, uint64_t aId)
{
  auto found = mJobs.find(aServer);
  bool same = found != mJobs.end() && found->second.mId == aId;
  return same ? &found->second : nullptr;
}

void
LoadScheduler::StartJob(Job aJob)
{
  Backend* backend = mState.mServers.Find(aJob.mServer);
  TimePoint now = mState.Now();
  aJob.mStartTime = backend->mEntry.mStartTime;
  aJob.mBegan = now;
  aJob.mExpected = now + aJob.mUnload + aJob.mLoad;
  aJob.mId = ++mNextJob;
  if (aJob.mSource == WeightSource::Store) {
    mStoreLoads.Began(aJob.mServer, aJob.mUnload + aJob.mLoad, now);
    SendStoreLoad(aJob.mServer, aJob.mUnload + aJob.mLoad);
  }
  const ModelOrder& first = aJob.mSteps.front();
  mState.mLog.Line("place_decided")
    .Text("server", aJob.mServer)
    .Text("model", aJob.mWant.mModel)
    .Text("adapter", aJob.mWant.mAdapter)
    .Text("evict", first.mLoad ? "" : first.mModel + "/" + first.mAdapter)
    .Count("source", static_cast<int>(aJob.mSource))
    .Count("orders", mInventories.Of(aJob.mServer).Orders())
    .Number("rate", mState.mDemand.Rate(aJob.mWant.mModel, now))
    .Count("priority", aJob.mWant.mPriority)
    .Ms("expected_ms", aJob.mUnload + aJob.mLoad);
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  // That it loads now; with an unload first, that one's end tells it.
  bool tell = first.mLoad && first.mAdapter.empty();
  backend->mLoadingUntil = aJob.mExpected;
  mJobs[server] = std::move(aJob);
  if (tell) {
    mInventories.Tell(server);
  }
  SendStep(server, id);
}

void
LoadScheduler::SendStep(const std::string& aServer, uint64_t aId)
{
  Job* job = Find(aServer, aId);
  if (!job) {
    return;
  }
  Backend* backend = mState.mServers.Find(aServer);
  if (!backend || backend->mEntry.mStartTime != job->mStartTime ||
      backend->mEntry.mDraining) {
    EndJob(aServer, "server gone");
    return;
  }
  // Looked at for each order: a holder that was suspended has lost its lease.
  if (!mLease.MayAct()) {
    EndJob(aServer, "lease ended");
    return;
  }
  if (++job->mTries > kMaxOrderAttempts) {
    EndJob(aServer, "too many tries");
    return;
  }
  ServerInventory& account = mInventories.Of(aServer);
  if (!account.Known()) {
    Resync(*job);
    return;
  }
  ModelOrder& order = job->mSteps.front();
  // A report may have come since, asked for by others than this job.
  if (account.Holds(order.mModel, order.mAdapter) == order.mLoad) {
    EndJob(aServer, order.mLoad ? "held already" : "planned anew");
    mChanged();
    return;
  }
  const EngineSpec* engine = EngineOf(job->mWant.mService);
  if (order.mLoad && (!engine || !account.Fits(*engine, order, mState.Now()))) {
    EndJob(aServer, "no room any more");
    return;
  }
  order.mOrders = account.Orders();
  order.mHolder = mState.mSettings.mName;
  order.mToken = mLease.Token();
  wire::OrderCall call =
    wire::WriteOrder(order, backend->mEntry.mAddress, aServer);
  OutboundRequest request;
  request.mAddress = backend->mEntry.mAddress;
  request.mPeer = aServer;
  request.mHead = std::move(call.mHead);
  request.mBody = std::move(call.mBody);
  StartBufferedCall(mState.mReactor,
                    mState.mServerPool,
                    std::move(request),
                    kOrderTime,
                    [this, aServer, aId](BufferedAnswer& aAnswer) {
                      OnAnswer(
                        aServer, aId, wire::ReadOrderAnswer(aAnswer.mStatus));
                    });
}

void
LoadScheduler::OnAnswer(const std::string& aServer,
                        uint64_t aId,
                        OrderAnswer aAnswer)
{
  Job* job = Find(aServer, aId);
  if (!job) {
    return;
  }
  mState.mMetrics.Count("caraway_orders_total",
                        "answer=\"" +
                          std::to_string(static_cast<int>(aAnswer)) + "\"");
  const ModelOrder& step = job->mSteps.front();
  ServerInventory& account = mInventories.Of(aServer);
  switch (aAnswer) {
    case OrderAnswer::Accepted:
      OnAccepted(*job, false);
      break;
    case OrderAnswer::Holds:
      // An adapter's unload is done at once, and counts; what was so already
      // doesn't.
      if (!step.mLoad && !step.mAdapter.empty()) {
        OnAccepted(*job, true);
      } else {
        account.Forget();
        Resync(*job);
      }
      break;
    case OrderAnswer::Busy:
      ++job->mBusy;
      // An unload of this job's may still wait for its runs; else somebody
      // else's order was accepted, or is under way.
      if (!job->mCounted) {
        account.Forget();
      }
      Retry(*job, BusyDelay(job->mBusy));
      break;
    case OrderAnswer::Unknown:
      // Sent again under the same count: only one of the two can take effect.
      mState.mLog.Line("order_unanswered")
        .Text("server", aServer)
        .Text("model", step.mModel)
        .Count("try", job->mTries);
      job->mCounted = false;
      account.OnUnanswered(step, mState.Now());
      mState.mServers.Heard(aServer, ServerOutcome::Broken, mState.Now());
      if (++job->mUnanswered >= kMostUnanswered) {
        EndJob(aServer, "no answer");
      } else {
        Retry(*job, kOrderRetry * 4);
      }
      break;
    case OrderAnswer::Fenced:
    case OrderAnswer::WrongServer:
    case OrderAnswer::Refused:
      EndJob(aServer, "order refused");
      break;
  }
}

void
LoadScheduler::OnAccepted(Job& aJob, bool aDone)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  ModelOrder step = aJob.mSteps.front();
  aJob.mSteps.pop_front();
  aJob.mTries = 0;
  aJob.mCounted = true;
  mInventories.Of(server).OnAccepted(step, aDone);
  if (step.mLoad) {
    mInventories.Put(server);
  } else {
    mInventories.Show(server);
    mChanged(); // may end the job
  }
  Job* job = Find(server, id);
  if (!job) {
    return;
  }
  if (job->mSteps.empty()) {
    AfterLoadOrder(*job);
    return;
  }
  // An adapter in use goes when its requests have ended; until a report shows
  // that, its place isn't free. A model's unload takes a moment in which the
  // server refuses other orders.
  bool adapter = !step.mAdapter.empty();
  if (adapter && !aDone) {
    mInventories.Of(server).Forget();
  }
  Retry(*job, adapter ? Millis(0) : kUnloadTime);
}

void
LoadScheduler::AfterLoadOrder(Job& aJob)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  aJob.mLoading = true;
  aJob.mExpected = mState.Now() + aJob.mLoad;
  if (Backend* backend = mState.mServers.Find(server)) {
    backend->mLoadingUntil = aJob.mExpected;
  }
  if (aJob.mSource == WeightSource::Store) {
    mState.mReactor.After(aJob.mLoad + kPollAfter,
                          [this, server, id] { PollLoaded(server, id); });
    return;
  }
  // Servers don't tell when an adapter has come, and their reports tell of a
  // model only a fifth of a second late: a quarter of what its load takes.
  bool adapter = !aJob.mWant.mAdapter.empty();
  mState.mReactor.After(aJob.mLoad + (adapter ? Millis(0) : kLoadMargin),
                        [this, server, id] { AssumeLoaded(server, id); });
}

// What comes from a server's own memory or disk comes in the time that the
// configuration names. Should it be late, a request finds it missing and is
// sent again.
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
  mInventories.Show(aServer);
  EndJob(aServer, job->mWant.mAdapter.empty() ? "loaded" : "adapter loaded");
  mChanged();
}

void
LoadScheduler::Retry(Job& aJob, Millis aDelay)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  mState.mReactor.After(aDelay, [this, server, id] { SendStep(server, id); });
}

void
LoadScheduler::OnChanged()
{
  mScheduleDue = true;
  std::vector<std::string> loaded;
  std::vector<std::string> lost;
  for (const auto& [server, job] : mJobs) {
    Backend* backend = mState.mServers.Find(server);
    if (!backend || backend->mEntry.mStartTime != job.mStartTime) {
      lost.push_back(server);
    } else if (job.mLoading && job.mWant.mAdapter.empty() &&
               backend->Holds(job.mWant.mModel, "")) {
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
    .Text("model", found->second.mWant.mModel)
    .Text("adapter", found->second.mWant.mAdapter)
    .Text("why", aWhy)
    .Count("busy", found->second.mBusy)
    .Ms("took_ms", mState.AgeOf(found->second.mBegan));
  const Job& job = found->second;
  Backend* backend = mState.mServers.Find(aServer);
  bool there = backend && backend->Holds(job.mWant.mModel, job.mWant.mAdapter);
  if (job.mSource == WeightSource::Store) {
    mStoreLoads.Ended(aServer, there, mState.Now());
    SendStoreLoad(aServer, Millis(0));
  }
  if (backend) {
    backend->mLoadingUntil = mState.Now();
  }
  // An order may still be under way, or come late.
  if (backend && !there) {
    mInventories.Of(aServer).Forget();
  }
  if (there && job.mWant.mAdapter.empty()) {
    Settle(aServer, job.mWant.mModel);
  }
  mScheduleDue = true;
  mJobs.erase(found);
}

// Requests that waited for a model at other instances show in the counts of
// what is under way only with those instances' next pulses. Without this a
// model that nobody seemed to use makes way for the next load as soon as it has
// come.
void
LoadScheduler::Settle(const std::string& aServer, const std::string& aModel)
{
  TimePoint now = mState.Now();
  for (auto at = mRecentlyLoaded.begin(); at != mRecentlyLoaded.end();) {
    at = now < at->second ? std::next(at) : mRecentlyLoaded.erase(at);
  }
  mRecentlyLoaded[{ aServer, aModel }] =
    now + std::min(mPeers.HeartbeatInterval() * kSettleRounds, kMostSettle);
}

} // namespace caraway
