#include "decide/WaitQueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/EraseIf.h"

namespace caraway {

namespace {

constexpr Millis kMinRetry{ 200 };
constexpr Millis kMaxRetry{ 120000 };
constexpr Millis kEarlyTolerance{ 200 };     // callers' timers may run fast
constexpr double kArrivalWindowSeconds = 10; // decay time constant
constexpr double kNegligibleRate = 0.01;     // tokens/s
constexpr double kUnlimited = std::numeric_limits<double>::max();

Millis
TimeFor(double aTokens, double aRate)
{
  return aRate <= 0 ? Millis(0)
                    : Millis(static_cast<int64_t>(aTokens / aRate * 1000));
}

} // namespace

WaitQueue::WaitQueue(WaitQueueLimits aLimits)
  : mLimits(aLimits)
{
}

size_t
WaitQueue::Size() const
{
  size_t size = 0;
  for (const ClassQueue& classQueue : mClasses) {
    size += classQueue.mSize;
  }
  return size;
}

RequestClass
WaitQueue::MostUrgent() const
{
  for (int index = 0; index < kRequestClassCount - 1; ++index) {
    if (mClasses[index].mSize > 0) {
      return static_cast<RequestClass>(index);
    }
  }
  return RequestClass::Batch;
}

// Tokens that will be served before aItem: all of the more urgent classes,
// those of its own tenant, and of each other tenant in its class no more than
// as many as its own, since tenants are served evenly by tokens.
double
WaitQueue::TokensAhead(const QueuedRequest& aItem, TimePoint aUntil) const
{
  int ownClass = static_cast<int>(aItem.mClass);
  double work = 0;
  for (int i = 0; i < ownClass; ++i) {
    for (const auto& tenantQueue : mClasses[i].mTenantQueues) {
      work += tenantQueue.second.mTokens;
    }
    work += mClasses[i].mRetrySchedule.OthersTokens("", aUntil, kUnlimited);
  }
  const TenantQueues& tenantQueues = mClasses[ownClass].mTenantQueues;
  auto tenantQueue = tenantQueues.find(aItem.mTenant);
  double ownTokens =
    tenantQueue == tenantQueues.end() ? 0 : tenantQueue->second.mTokens;
  const RetrySchedule& retries = mClasses[ownClass].mRetrySchedule;
  ownTokens += retries.Tokens(aItem.mTenant, aUntil);
  work += ownTokens;
  for (const auto& other : tenantQueues) {
    if (other.first != aItem.mTenant) {
      work += std::min(other.second.mTokens, ownTokens + aItem.mTokens);
    }
  }
  return work +
         retries.OthersTokens(aItem.mTenant, aUntil, ownTokens + aItem.mTokens);
}

void
WaitQueue::ArrivalRate::Add(double aTokens, TimePoint aNow)
{
  mRate = At(aNow) + aTokens / kArrivalWindowSeconds;
  mAt = aNow;
}

double
WaitQueue::ArrivalRate::At(TimePoint aNow) const
{
  double seconds = std::chrono::duration<double>(aNow - mAt).count();
  return mRate * std::exp(-std::max(0.0, seconds) / kArrivalWindowSeconds);
}

// Each tenant listed takes a part of the fair rate, so those that no longer
// send must go.
void
WaitQueue::PruneArrivals(ClassQueue& aClass, TimePoint aNow)
{
  EraseIf(aClass.mArrivals, [aNow](const auto& aArrivals) {
    return aArrivals.second.At(aNow) < kNegligibleRate;
  });
}

// Service rate that remains for aItem. More urgent requests keep arriving while
// it waits, and other tenants of its class keep being served. Without this a
// briefing would be queued for a minute for a slot that later chat requests
// take, and be refused at its deadline instead of at once.
double
WaitQueue::AvailableRate(const QueuedRequest& aItem,
                         double aRate,
                         TimePoint aNow) const
{
  constexpr double kMinRateFraction = 0.02;
  int ownClass = static_cast<int>(aItem.mClass);
  if (aItem.mClass == RequestClass::Urgent) {
    // Nothing overtakes a bulletin. Refusing one on an estimate costs more
    // than letting it wait until its deadline.
    return aRate;
  }
  double left = aRate;
  for (int i = 0; i < ownClass; ++i) {
    for (const auto& arrivals : mClasses[i].mArrivals) {
      left -= arrivals.second.At(aNow);
    }
  }
  // A tenant with nothing queued is served after at most one request of each
  // other tenant, whatever they send meanwhile.
  const auto& tenantArrivals = mClasses[ownClass].mArrivals;
  if (mClasses[ownClass].mTenantQueues.count(aItem.mTenant) == 0) {
    return std::max(left, aRate * kMinRateFraction);
  }
  double fairRate =
    left / static_cast<double>(std::max<size_t>(1, tenantArrivals.size()));
  double otherTenantsRate = 0;
  for (const auto& arrivals : tenantArrivals) {
    if (arrivals.first != aItem.mTenant) {
      otherTenantsRate +=
        std::min(std::max(0.0, fairRate), arrivals.second.At(aNow));
    }
  }
  return std::max(left - otherTenantsRate, aRate * kMinRateFraction);
}

Millis
WaitQueue::PredictWait(const QueuedRequest& aItem,
                       double aRate,
                       TimePoint aNow,
                       TimePoint aUntil) const
{
  if (aRate <= 0) {
    return Millis(0);
  }
  return TimeFor(TokensAhead(aItem, aUntil), AvailableRate(aItem, aRate, aNow));
}

// A tenant that returns after a pause starts level with the others: with credit
// from the pause it could starve them.
double
WaitQueue::ServedTokens(ClassQueue& aClass, const std::string& aTenant) const
{
  auto served = aClass.mServedTokens.find(aTenant);
  double known = served == aClass.mServedTokens.end() ? 0 : served->second;
  return std::max(known, aClass.mVirtualTime);
}

void
WaitQueue::PruneServedTokens(ClassQueue& aClass)
{
  EraseIf(aClass.mServedTokens, [&aClass](const auto& aServed) {
    return aServed.second <= aClass.mVirtualTime &&
           aClass.mTenantQueues.count(aServed.first) == 0;
  });
}

// Reserves a retry for when everything queued or reserved ahead of aItem will
// have been served.
WaitRefusal
WaitQueue::Refuse(const QueuedRequest& aItem,
                  ErrorKind aKind,
                  double aRate,
                  Millis aReadyIn,
                  TimePoint aNow)
{
  ClassQueue& classQueue = mClasses[static_cast<int>(aItem.mClass)];
  // A retry before its time can't be distinguished from the same request of
  // another caller, so it gets a second reservation. If the first one then goes
  // unused, that lowers RetrySchedule::ReturnProbability. If it got the time of
  // the first, all callers with the same request would retry at once for the
  // capacity of one.
  Millis wait =
    std::max(PredictWait(aItem, aRate, aNow, TimePoint::max()), aReadyIn);
  if (wait <= kMaxRetry) {
    classQueue.mRetrySchedule.Add(aItem.mTenant,
                                  aItem.mRequestDigest,
                                  aItem.mTokens,
                                  aNow + std::max(wait, kMinRetry));
  }
  return { aKind, std::clamp(wait, kMinRetry, kMaxRetry) };
}

std::optional<WaitRefusal>
WaitQueue::Offer(const QueuedRequest& aItem,
                 double aRate,
                 Millis aReadyIn,
                 TimePoint aNow)
{
  ClassQueue& classQueue = mClasses[static_cast<int>(aItem.mClass)];
  classQueue.mRetrySchedule.Expire(aNow);
  // A retry at its given time uses its reservation. A new request may not use
  // capacity reserved for retries that are due before it would be served.
  auto due =
    classQueue.mRetrySchedule.FirstDue(aItem.mTenant, aItem.mRequestDigest);
  bool isRetry = due && *due <= aNow + kEarlyTolerance;
  if (isRetry) {
    classQueue.mRetrySchedule.Consume(
      aItem.mTenant, aItem.mRequestDigest, aNow);
  }
  bool reserved = isRetry || aItem.mClass == RequestClass::Urgent;
  TimePoint until = reserved ? aNow : aItem.mStartBy;
  double returnProbability =
    reserved ? 0 : classQueue.mRetrySchedule.ReturnProbability(aItem.mTenant);
  PruneArrivals(classQueue, aNow);
  auto budget = std::chrono::duration_cast<Millis>(aItem.mStartBy - aNow);
  // A new request queues behind the expected retries, which arrive with their
  // whole waiting time left. The likelier they are, the less it may wait.
  Millis allowedWait(static_cast<int64_t>(static_cast<double>(budget.count()) *
                                          (1 - returnProbability / 2)));
  Millis wait = std::max(PredictWait(aItem, aRate, aNow, until), aReadyIn);
  size_t tenantLimit = static_cast<size_t>(static_cast<double>(mLimits.mItems) *
                                           mLimits.mMaxTenantFraction);
  auto tenantQueue = classQueue.mTenantQueues.find(aItem.mTenant);
  bool tenantFull = tenantQueue != classQueue.mTenantQueues.end() &&
                    tenantQueue->second.mItems.size() >= tenantLimit;
  if (classQueue.mSize >= mLimits.mItems || tenantFull) {
    return Refuse(aItem, ErrorKind::QueueFull, aRate, aReadyIn, aNow);
  }
  if (wait > allowedWait) {
    return Refuse(aItem, ErrorKind::DeadlineUnmeetable, aRate, aReadyIn, aNow);
  }
  if (tenantQueue == classQueue.mTenantQueues.end()) {
    classQueue.mServedTokens[aItem.mTenant] =
      ServedTokens(classQueue, aItem.mTenant);
  }
  classQueue.mArrivals[aItem.mTenant].Add(aItem.mTokens, aNow);
  TenantQueue& ownQueue = classQueue.mTenantQueues[aItem.mTenant];
  ownQueue.mItems.emplace(aItem.mStartBy, aItem);
  ownQueue.mTokens += aItem.mTokens;
  ++classQueue.mSize;
  return std::nullopt;
}

// Removes an item. Returns the same tenant's queue, or the next tenant's if it
// is empty.
WaitQueue::TenantQueues::iterator
WaitQueue::Remove(ClassQueue& aClass,
                  TenantQueues::iterator aQueue,
                  std::multimap<TimePoint, QueuedRequest>::iterator aItem)
{
  aQueue->second.mTokens -= aItem->second.mTokens;
  aQueue->second.mItems.erase(aItem);
  --aClass.mSize;
  return aQueue->second.mItems.empty() ? aClass.mTenantQueues.erase(aQueue)
                                       : aQueue;
}

std::optional<QueuedRequest>
WaitQueue::Next(RequestClass aClassLimit)
{
  for (int i = 0; i <= static_cast<int>(aClassLimit); ++i) {
    ClassQueue& classQueue = mClasses[i];
    if (classQueue.mSize == 0) {
      continue;
    }
    auto least =
      std::min_element(classQueue.mTenantQueues.begin(),
                       classQueue.mTenantQueues.end(),
                       [&](const auto& aLeft, const auto& aRight) {
                         return classQueue.mServedTokens[aLeft.first] <
                                classQueue.mServedTokens[aRight.first];
                       });
    auto first = least->second.mItems.begin();
    QueuedRequest item = first->second;
    double& served = classQueue.mServedTokens[item.mTenant];
    classQueue.mVirtualTime = served;
    served += item.mTokens;
    Remove(classQueue, least, first);
    PruneServedTokens(classQueue);
    return item;
  }
  return std::nullopt;
}

std::vector<QueuedRequest>
WaitQueue::Expire(TimePoint aNow)
{
  std::vector<QueuedRequest> expired;
  for (ClassQueue& classQueue : mClasses) {
    for (auto tenantQueue = classQueue.mTenantQueues.begin();
         tenantQueue != classQueue.mTenantQueues.end();) {
      auto first = tenantQueue->second.mItems.begin();
      if (first->first > aNow) {
        ++tenantQueue;
        continue;
      }
      expired.push_back(first->second);
      tenantQueue = Remove(classQueue, tenantQueue, first);
    }
  }
  return expired;
}

bool
WaitQueue::Withdraw(uint64_t aId)
{
  for (ClassQueue& classQueue : mClasses) {
    for (auto tenantQueue = classQueue.mTenantQueues.begin();
         tenantQueue != classQueue.mTenantQueues.end();
         ++tenantQueue) {
      auto& items = tenantQueue->second.mItems;
      for (auto item = items.begin(); item != items.end(); ++item) {
        if (item->second.mId == aId) {
          Remove(classQueue, tenantQueue, item);
          return true;
        }
      }
    }
  }
  return false;
}

} // namespace caraway
