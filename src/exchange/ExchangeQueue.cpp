// ExchangeQueue.cpp: the order in which a request gets a slot, and its refusal
// where none would come free in time. Only for services whose servers report
// their pace.
#include "exchange/Exchange.h"

#include <algorithm>

#include "exchange/ExchangeTimes.h"

namespace caraway {

// A stream that goes on elsewhere doesn't queue: its caller waits for the next
// event.
bool
Exchange::InOrder() const
{
  return !mStreaming && mConfig && OnEngine() &&
         mState.mServers.ReportsPace(mService);
}

std::string
Exchange::Pool() const
{
  std::string pool = mService + " " + FullName() + " " + mVersion.value_or("");
  if (mRegions.Restricts()) {
    for (const std::string& zone :
         mRegions.ExcludedZones(mState.mServers.Zones())) {
      pool += "\n" + zone;
    }
  }
  return pool;
}

WaitingRequest
Exchange::ToWaitingRequest() const
{
  WaitingRequest request;
  request.mPool = Pool();
  request.mClass = mPriority;
  request.mTenant = mTenant;
  const TenantLimit* tenant = mConfig->Tenant(mTenant);
  if (mFacts.mPromptTokens) {
    request.mTokens = *mFacts.mPromptTokens + mFacts.mOutputTokens.value_or(0);
  } else if (tenant) {
    request.mTokens = tenant->mDefaultTokens;
  }
  request.mArrived = mArrived;
  request.mStartBy = mFirstByteBy;
  request.mTarget = mRoute->mTarget;
  return request;
}

// Instances don't know of each other's queues, so the order of one queue alone
// doesn't put an urgent request before a less urgent one of another instance.
// Therefore less urgent classes leave alone those servers that seem just full,
// where by chance there is a slot.
bool
Exchange::LeavesReserve() const
{
  if (!InOrder()) {
    return false;
  }
  int mostUrgent = mPriority;
  for (const RouteSpec& route : mConfig->mRoutes) {
    bool same = std::any_of(
      route.mSplit.begin(), route.mSplit.end(), [this](const auto& aPart) {
        return aPart.mService == mService;
      });
    mostUrgent = same ? std::min(mostUrgent, route.mPriority) : mostUrgent;
  }
  return mostUrgent < mPriority &&
         !mState.mDispatchOrder.Starved(ToWaitingRequest(), mState.Now());
}

// Classes that leave a reserve find a slot more seldom.
std::string
Exchange::ContentionKey(bool aReserved) const
{
  return Pool() + (aReserved ? " r" : "");
}

SlotFacts
Exchange::ToSlotFacts(const ServerChoice& aChoice, DispatchPass& aPass)
{
  auto [runTime, isNew] = aPass.mRunTime.try_emplace(mService);
  if (isNew) {
    runTime->second =
      mState.mSlotForecast.RunTime(mService, mState.mRunTimes, mState.Now());
  }
  SlotFacts facts;
  facts.mSlots = aChoice.mSlots;
  facts.mRunTime = runTime->second;
  facts.mAhead = aPass.mAhead[Pool()];
  facts.mInstances = mState.mInstances;
  return facts;
}

// Returns false if the request goes on to wait.
bool
Exchange::RefuseByForecast(const ServerChoice& aChoice, DispatchPass& aPass)
{
  SlotForecast& forecast = mState.mSlotForecast;
  TimePoint now = mState.Now();
  std::string contention = ContentionKey(LeavesReserve());
  SlotFacts facts = ToSlotFacts(aChoice, aPass);
  forecast.OnWaiting(contention, facts, now);
  auto times = forecast.Expect(contention, facts, now);
  Millis earliest = times ? times->mEarliest : Millis(0);
  if (now + earliest + kServiceTime <= mFirstByteBy) {
    ++aPass.mAhead[Pool()];
    return false;
  }
  Millis retry =
    times ? forecast.ReserveRetry(contention, *times, facts, now) : Millis(0);
  if (now + kServiceTime > mFirstByteBy) {
    RefuseUnmeetable(retry, aChoice);
    return true;
  }
  mState.mLog.Line("slot_too_late")
    .Text("id", mFacts.mId)
    .Text("model", mFacts.mModel)
    .Count("class", mPriority)
    .Count("ahead", facts.mAhead)
    .Count("slots", facts.mSlots)
    .Ms("run_ms", facts.mRunTime)
    .Ms("earliest_ms", earliest)
    .Ms("likely_ms", times->mLikely)
    .Ms("left_ms", std::chrono::duration_cast<Millis>(mFirstByteBy - now));
  mState.mMetrics.Count("caraway_refused_by_forecast_total",
                        "class=\"" + std::to_string(mPriority) + "\"");
  Refuse(ErrorKind::NoCapacity,
         SpreadRetry(retry),
         "no slot would come free in time");
  return true;
}

// Called as the request is sent to a server.
void
Exchange::RecordInOrder()
{
  if (!InOrder()) {
    return;
  }
  TimePoint now = mState.Now();
  mState.mDispatchOrder.OnDispatched(ToWaitingRequest(), now);
  mState.mSlotForecast.OnSent(mService, mRoute->mName, now);
  for (bool reserved : { false, true }) {
    mState.mSlotForecast.OnSlotTaken(ContentionKey(reserved), now);
  }
}

void
Exchange::RecordRejection()
{
  if (!InOrder()) {
    return;
  }
  for (bool reserved : { false, true }) {
    mState.mSlotForecast.OnRejected(ContentionKey(reserved), mState.Now());
  }
  mState.mDispatchOrder.OnRejected(ToWaitingRequest(), mState.Now());
}

} // namespace caraway
