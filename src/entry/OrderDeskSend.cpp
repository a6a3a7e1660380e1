#include "entry/OrderDesk.h"

#include <algorithm>

#include "entry/OrderNotes.h"
#include "entry/OrderTimes.h"
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
constexpr int kSettleTurns = 2;

constexpr Millis kMostSettle{ 1000 };

} // namespace

// The orders of one job, one after the other, and what becomes of them.

OrderDesk::Job*
OrderDesk::Find(const std::string& aServer, uint64_t aId)
{
  auto found = mJobs.find(aServer);
  bool same = found != mJobs.end() && found->second.mId == aId;
  return same ? &found->second : nullptr;
}

void
OrderDesk::StartJob(Job aJob)
{
  Backend* backend = mState.mServers.Find(aJob.mServer);
  TimePoint now = mState.Now();
  aJob.mBorn = backend->mEntry.mBorn;
  aJob.mBegan = now;
  aJob.mExpected = now + aJob.mUnload + aJob.mLoad;
  aJob.mId = ++mNextJob;
  if (aJob.mSource == WeightSource::Store) {
    mStoreLoads.Began(aJob.mServer, aJob.mExpected, now);
  }
  const ModelOrder& first = aJob.mSteps.front();
  mState.mLog.Line("place_decided")
    .Text("server", aJob.mServer)
    .Text("model", aJob.mWant.mModel)
    .Text("adapter", aJob.mWant.mAdapter)
    .Text("evict", first.mLoad ? "" : first.mModel + "/" + first.mAdapter)
    .Count("source", static_cast<int>(aJob.mSource))
    .Count("orders", backend->mOrders)
    .Number("rate", mState.mDemand.Rate(aJob.mWant.mModel, now))
    .Count("priority", aJob.mWant.mPriority)
    .Ms("expected_ms", aJob.mUnload + aJob.mLoad);
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  // That it loads now; with an unload first, that one's end tells it.
  bool tell = first.mLoad && first.mAdapter.empty();
  mJobs[server] = std::move(aJob);
  if (tell) {
    TellContent(*backend);
  }
  SendStep(server, id);
}

void
OrderDesk::SendStep(const std::string& aServer, uint64_t aId)
{
  Job* job = Find(aServer, aId);
  if (!job) {
    return;
  }
  Backend* backend = mState.mServers.Find(aServer);
  if (!backend || backend->mEntry.mBorn != job->mBorn ||
      backend->mEntry.mDraining) {
    EndJob(aServer, "server gone");
    return;
  }
  // Looked at for each order: a holder that was suspended has lost its lease.
  if (!mLease.MayAct()) {
    EndJob(aServer, "lease ended");
    return;
  }
  if (++job->mTries > kMostTries) {
    EndJob(aServer, "too many tries");
    return;
  }
  if (backend->mOrders < 0 || job->mNeedsReport) {
    Resync(*job);
    return;
  }
  ModelOrder order = job->mSteps.front();
  const EngineSpec* engine = EngineOf(job->mWant.mService);
  if (order.mLoad &&
      (!engine || !FitsNow(*engine, *backend, order.mModel, order.mAdapter))) {
    EndJob(aServer, "no room any more");
    return;
  }
  order.mOrders = backend->mOrders;
  order.mHolder = mState.mSettings.mName;
  order.mToken = mLease.Token();
  wire::OrderCall call =
    wire::WriteOrder(order, backend->mEntry.mAddress, aServer);
  OutRequest request;
  request.mAddress = backend->mEntry.mAddress;
  request.mPeer = aServer;
  request.mHead = std::move(call.mHead);
  request.mBody = std::move(call.mBody);
  CallForAnswer(mState.mReactor,
                mState.mServerPool,
                std::move(request),
                kOrderTime,
                [this, aServer, aId](ShortAnswer& aAnswer) {
                  OnAnswer(
                    aServer, aId, wire::ReadOrderAnswer(aAnswer.mStatus));
                });
}

void
OrderDesk::OnAnswer(const std::string& aServer,
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
  switch (aAnswer) {
    case OrderAnswer::Accepted:
      // An adapter in use goes when its requests have ended; until a report
      // shows that, its place isn't free.
      job->mNeedsReport = !step.mLoad && !step.mAdapter.empty();
      OnAccepted(*job);
      break;
    case OrderAnswer::Holds:
      // An adapter's unload is done at once, and counts; what was so already
      // doesn't.
      if (!step.mLoad && !step.mAdapter.empty()) {
        OnAccepted(*job);
      } else {
        Resync(*job);
      }
      break;
    case OrderAnswer::Busy:
      ++job->mBusy;
      // An unload of this job's may still wait for its runs. Any other order
      // under way changes what the server holds under the same count, and a
      // load beside it could take memory that isn't there.
      job->mNeedsReport = !job->mCounted;
      Retry(*job, job->mCounted ? BusyDelay(job->mBusy) : Millis(0));
      break;
    case OrderAnswer::Unknown:
      // Sent again under the same count: only one of the two can take effect.
      mState.mLog.Line("order_unanswered")
        .Text("server", aServer)
        .Text("model", step.mModel)
        .Count("try", job->mTries);
      job->mCounted = false;
      mState.mServers.Heard(aServer, ServerNews::Broken, mState.Now());
      if (++job->mUnanswered >= kMostUnanswered) {
        EndJob(aServer, "no answer");
      } else {
        Retry(*job, kOrderRetry * 4);
      }
      break;
    case OrderAnswer::Fenced:
    case OrderAnswer::NotIt:
    case OrderAnswer::Refused:
      EndJob(aServer, "order refused");
      break;
  }
}

void
OrderDesk::OnAccepted(Job& aJob)
{
  Backend* backend = mState.mServers.Find(aJob.mServer);
  if (!backend) {
    EndJob(aJob.mServer, "server gone");
    return;
  }
  ModelOrder step = aJob.mSteps.front();
  aJob.mSteps.pop_front();
  aJob.mTries = 0;
  aJob.mCounted = true;
  HeldModels models = backend->mModels;
  if (!step.mLoad && step.mAdapter.empty()) {
    models.erase(step.mModel);
  } else if (!step.mLoad) {
    models[step.mModel].erase(step.mAdapter);
  }
  mState.mServers.PutContent(
    aJob.mServer, aJob.mBorn, backend->mOrders + 1, models, mState.Now());
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  if (!step.mLoad) {
    TellContent(*backend);
    mChanged(); // may end the job
  }
  Job* job = Find(server, id);
  if (job && job->mSteps.empty()) {
    AfterLoadOrder(*job);
  } else if (job) {
    // A server refuses the next order until it has carried out this one.
    Retry(*job, step.mAdapter.empty() ? kUnloadTime : Millis(0));
  }
}

void
OrderDesk::AfterLoadOrder(Job& aJob)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  aJob.mLoading = true;
  aJob.mExpected = mState.Now() + aJob.mLoad;
  if (aJob.mSource == WeightSource::Store) {
    mState.mReactor.After(aJob.mLoad + kPollAfter,
                          [this, server, id] { PollLoaded(server, id); });
    return;
  }
  // Servers don't tell when an adapter has come, and their reports tell of a
  // model only a fifth of a second late: a quarter of what its load takes.
  bool adapter = !aJob.mWant.mAdapter.empty();
  mState.mReactor.After(aJob.mLoad + (adapter ? Millis(0) : kLoadMargin),
                        [this, server, id] { TakeAsLoaded(server, id); });
}

// What comes from a server's own memory or disk comes in the time that the
// configuration names. Should it be late, a request finds it missing and is
// sent again.
void
OrderDesk::TakeAsLoaded(const std::string& aServer, uint64_t aId)
{
  Job* job = Find(aServer, aId);
  if (!job) {
    return;
  }
  Backend* backend = mState.mServers.Find(aServer);
  if (!backend || backend->mEntry.mBorn != job->mBorn) {
    EndJob(aServer, "server gone");
    return;
  }
  HeldModels models = backend->mModels;
  std::set<std::string>& adapters = models[job->mWant.mModel];
  if (!job->mWant.mAdapter.empty()) {
    adapters.insert(job->mWant.mAdapter);
  }
  mState.mServers.PutContent(
    aServer, job->mBorn, backend->mOrders, models, mState.Now());
  TellContent(*backend);
  EndJob(aServer, job->mWant.mAdapter.empty() ? "loaded" : "adapter loaded");
  mChanged();
}

void
OrderDesk::Retry(Job& aJob, Millis aDelay)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  mState.mReactor.After(aDelay, [this, server, id] { SendStep(server, id); });
}

void
OrderDesk::OnChanged()
{
  mPumpDue = true;
  std::vector<std::string> loaded;
  std::vector<std::string> lost;
  for (const auto& [server, job] : mJobs) {
    Backend* backend = mState.mServers.Find(server);
    if (!backend || backend->mEntry.mBorn != job.mBorn) {
      lost.push_back(server);
    } else if (job.mLoading && job.mWant.mAdapter.empty() &&
               backend->Holds(job.mWant.mModel, "")) {
      TellContent(*backend);
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
OrderDesk::EndJob(const std::string& aServer, const char* aWhy)
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
  mStoreLoads.Ended(aServer);
  const Job& job = found->second;
  Backend* backend = mState.mServers.Find(aServer);
  bool there = backend && backend->Holds(job.mWant.mModel, job.mWant.mAdapter);
  // An order may still be under way, or come late: what the server holds is
  // known only from its next report.
  if (backend && !there) {
    backend->mOrders = -1;
  }
  if (there && job.mWant.mAdapter.empty()) {
    Settle(aServer, job.mWant.mModel);
  }
  mPumpDue = true;
  mJobs.erase(found);
}

// Requests that waited for a model at other instances show in the counts of
// what is under way only with those instances' next pulses. Without this a
// model that nobody seemed to use made way for the next load as soon as it had
// come: one load of four was in vain.
void
OrderDesk::Settle(const std::string& aServer, const std::string& aModel)
{
  TimePoint now = mState.Now();
  for (auto at = mSettling.begin(); at != mSettling.end();) {
    at = now < at->second ? std::next(at) : mSettling.erase(at);
  }
  mSettling[{ aServer, aModel }] =
    now + std::min(mPeers.PulseGap() * kSettleTurns, kMostSettle);
}

// Another holder may have ordered since.
void
OrderDesk::ForgetCounts()
{
  if (mCountsToken == mLease.Token()) {
    return;
  }
  mCountsToken = mLease.Token();
  for (auto& [id, backend] : mState.mServers.All()) {
    backend.mOrders = -1;
  }
}

void
OrderDesk::TellContent(const Backend& aBackend)
{
  mPeers.SendNote("content", ContentJson(aBackend, LoadingFor(aBackend)));
}

} // namespace caraway
