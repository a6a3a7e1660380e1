#include "load/LoadScheduler.h"

#include <algorithm>

#include "entry/ServerLimits.h"
#include "load/LoadMessages.h"
#include "load/OrderLimits.h"
#include "platform/OrderMessage.h"
#include "platform/RequestHead.h"

namespace caraway {

namespace {

constexpr Millis kOrderRetry{ 25 };

// An unload waits for the requests that use the model, which take up to
// seconds. The longer it has lasted, the less a longer retry interval costs.
constexpr Millis kMaxBusyDelay{ 100 };

Millis
BusyDelay(int aTimes)
{
  return std::min(kOrderRetry * aTimes, kMaxBusyDelay);
}

// A loaded store answers within this time, and a load takes longer. Where the
// store is down orders go on, as they do in a zone that is cut off from it.
constexpr Millis kRecordPatience{ 400 };

// Unanswered orders after which the job ends, so that another server is tried.
constexpr int kMaxUnanswered = 4;

} // namespace

// Sends the orders of a job one after the other and handles their answers.

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
  UrgentRates urgent =
    mState.mDemand.Urgent().RatesOf(aJob.mRequest.mModel, mZone, now);
  CountPurpose(aJob);
  mState.mLog.Line("place_decided")
    .Text("server", aJob.mServer)
    .Text("model", aJob.mRequest.mModel)
    .Text("adapter", aJob.mRequest.mAdapter)
    .Text("evict", first.mLoad ? "" : first.mModel + "/" + first.mAdapter)
    .Count("source", static_cast<int>(aJob.mSource))
    .Count("orders", mInventories.Of(aJob.mServer).OrderCount())
    .Number("rate", mState.mDemand.Rate(aJob.mRequest.mModel, now))
    .Count("priority", aJob.mRequest.mPriority)
    .Text("purpose", LoadPurposeName(aJob.mRequest.mPurpose))
    .Number("urgent_rate", urgent.mFleet)
    .Number("zone_urgent_rate", urgent.mZone)
    .Ms("expected_ms", aJob.mUnload + aJob.mLoad);
  if (const EngineSpec* engine = EngineOf(aJob.mRequest.mService)) {
    mInventories.LogContent(aJob.mServer, *engine);
  }
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  // Other instances are notified of the load now. If an unload comes first,
  // they are notified by the content that is sent when the unload is accepted.
  bool announce = first.mLoad && first.mAdapter.empty();
  backend->mLoadingUntil = aJob.mExpected;
  mJobs[server] = std::move(aJob);
  ++mJobChanges;
  if (announce) {
    mInventories.SendContent(server);
  }
  SendStep(server, id);
}

void
LoadScheduler::CountPurpose(const Job& aJob)
{
  std::string purpose = LoadPurposeName(aJob.mRequest.mPurpose);
  if (!purpose.empty()) {
    mState.mMetrics.Count("caraway_loads_by_purpose_total",
                          "purpose=\"" + purpose + "\"");
  }
}

// Whether the order has to wait until the store knows of those sent to the
// server before it that have no answer. Once the server has started again, they
// may come in a row, and if this instance and those it told are lost, its
// successor keeps room for one of which it doesn't know.
bool
LoadScheduler::AwaitsRecord(Job& aJob, const ModelOrder& aOrder)
{
  const LateOrders& late = mInventories.Of(aJob.mServer).Late();
  TimePoint now = mState.Now();
  bool recorded = !late.HasOthersSince(
    mLease.WrittenAt(), aJob.mStartTime, aOrder.mOrderCount);
  if (aJob.mRecordedBy == TimePoint()) {
    aJob.mRecordedBy = now + kRecordPatience;
  }
  if (recorded || now >= aJob.mRecordedBy || !mLease.RequestWrite()) {
    if (!recorded) {
      mState.mLog.Line("orders_unrecorded").Text("server", aJob.mServer);
    }
    aJob.mRecordedBy = TimePoint();
    return false;
  }
  --aJob.mAttempts;
  return true;
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
  if (backend->mRateLimit) {
    EndJob(aServer, "server has named a rate limit");
    return;
  }
  // Checked before each order: the lease may have expired while the process was
  // suspended.
  if (!mLease.MayAct()) {
    EndJob(aServer, "zone lease ended");
    return;
  }
  if (++job->mAttempts > kMaxOrderAttempts) {
    EndJob(aServer, "too many attempts at one order");
    return;
  }
  ServerInventory& inventory = mInventories.Of(aServer);
  if (!inventory.Known()) {
    Resync(*job);
    return;
  }
  ModelOrder& order = job->mSteps.front();
  // A report requested elsewhere may have changed the inventory since the job
  // was planned.
  if (inventory.Holds(order.mModel, order.mAdapter) == order.mLoad) {
    EndJob(aServer,
           order.mLoad ? "already loaded"
                       : "server content changed; placement planned again");
    mChanged();
    return;
  }
  const EngineSpec* engine = EngineOf(job->mRequest.mService);
  order.mOrderCount = inventory.OrderCount();
  order.mHolder = mState.mSettings.mName;
  order.mToken = mLease.Token();
  if (!engine || !inventory.Fits(*engine, order, mState.Now())) {
    EndJob(aServer, "no room on the server after this order");
    return;
  }
  if (AwaitsRecord(*job, order)) {
    Retry(*job, kOrderRetry);
    return;
  }
  wire::OrderCall call =
    wire::WriteOrder(order, backend->mEntry.mAddress, aServer);
  OutboundRequest request;
  request.mAddress = backend->mEntry.mAddress;
  request.mPeer = aServer;
  request.mHead = std::move(call.mHead);
  request.mBody = std::make_shared<const std::string>(std::move(call.mBody));
  inventory.OnSent(order, mState.Now());
  StartBufferedCall(
    mState.mReactor,
    mState.mServerPool,
    std::move(request),
    kOrderTimeout,
    [this,
     aServer,
     aId,
     order,
     startTime = job->mStartTime,
     sentAt = mState.Now()](BufferedAnswer& aAnswer) {
      if (aAnswer.mStatus > 0) {
        ApplyNamedLimits(
          mState, aServer, wire::ReadAnswerFacts(aAnswer.mHead), sentAt);
      }
      OrderAnswer answer = wire::ReadOrderAnswer(aAnswer.mStatus);
      mInventories.OnOrderAnswered(aServer, order, startTime, answer);
      OnAnswer(aServer, aId, answer);
    });
}

void
LoadScheduler::OnAnswer(const std::string& aServer,
                        uint64_t aId,
                        OrderAnswer aAnswer)
{
  Job* job = Find(aServer, aId);
  if (!job) {
    mState.mLog.Line("order_answered_after_job")
      .Text("server", aServer)
      .Count("answer", static_cast<int>(aAnswer));
    return;
  }
  mState.mMetrics.Count("caraway_orders_total",
                        "answer=\"" +
                          std::to_string(static_cast<int>(aAnswer)) + "\"");
  const ModelOrder& step = job->mSteps.front();
  ServerInventory& inventory = mInventories.Of(aServer);
  switch (aAnswer) {
    case OrderAnswer::Accepted:
      OnAccepted(*job, false);
      break;
    case OrderAnswer::AlreadyDone:
      // The unload of an idle adapter is done at once, and the server counts it
      // as an order. An order that found nothing to do has the same answer, and
      // is not counted: where another order may make that count right, with
      // another content, only a report can tell.
      if (!step.mLoad && !step.mAdapter.empty() &&
          !mInventories.OthersMayOrder(aServer)) {
        OnAccepted(*job, true);
      } else {
        inventory.MarkUnknown();
        Resync(*job);
      }
      break;
    case OrderAnswer::Busy:
      ++job->mBusyAnswers;
      // Either an unload of this job still waits for the model's requests, or
      // an order of another sender was accepted or is in progress.
      if (!job->mOnlyOwnOrders) {
        inventory.MarkUnknown();
      }
      Retry(*job, BusyDelay(job->mBusyAnswers));
      break;
    case OrderAnswer::Unknown:
      // Retried under the same count: only one of the two can take effect.
      mState.mLog.Line("order_unanswered")
        .Text("server", aServer)
        .Text("model", step.mModel)
        .Count("orders", step.mOrderCount)
        .Count("try", job->mAttempts);
      job->mOnlyOwnOrders = false;
      mInventories.SendContent(aServer); // with the order, for a successor
      mState.mServers.RecordOutcome(
        aServer, ServerOutcome::Broken, mState.Now());
      if (++job->mUnanswered >= kMaxUnanswered) {
        EndJob(aServer, "server did not answer orders");
      } else {
        Retry(*job, kOrderRetry * 4);
      }
      break;
    case OrderAnswer::Fenced:
    case OrderAnswer::WrongServer:
    case OrderAnswer::Refused:
      EndJob(aServer, "order rejected by the server");
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
  aJob.mAttempts = 0;
  // Of what is done at once the count isn't certain.
  aJob.mOnlyOwnOrders = !aDone;
  mInventories.Of(server).OnAccepted(step, aDone);
  if (step.mLoad) {
    mInventories.Apply(server);
  } else {
    mInventories.ApplyAndSend(server);
    mChanged(); // may end this job
  }
  Job* job = Find(server, id);
  if (!job) {
    return;
  }
  if (job->mSteps.empty()) {
    OnLoadOrderAccepted(*job);
    return;
  }
  // An adapter in use is unloaded when its requests have ended; its slot counts
  // as free only after a report shows that. A server rejects other orders while
  // it unloads a model.
  bool adapter = !step.mAdapter.empty();
  if (adapter && !aDone) {
    mInventories.Of(server).MarkUnknown();
  }
  Retry(*job, adapter ? Millis(0) : kUnloadTime);
}

void
LoadScheduler::Retry(Job& aJob, Millis aDelay)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  mState.mReactor.After(aDelay, [this, server, id] { SendStep(server, id); });
}

} // namespace caraway
