#include "decide/WaitQueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caraway {

namespace {

constexpr Millis kMinRetry{ 200 };
constexpr Millis kMaxRetry{ 120000 };
constexpr Millis kEarlyTolerance{ 200 }; // what a caller's timer may be off by
constexpr double kArrivalWindowSeconds = 10; // seconds
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

// Work that will be served before aItem: all of the more urgent classes; of
// its own class its tenant's, and of the other tenants' no more than as much
// as its own, since they take turns by tokens.
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

// What is waiting isn't all that will be served first: more urgent requests
// keep arriving, and other tenants of the class keep taking their turns.
// Without this a briefing is let in to wait a minute for a place that the chat
// still to come will have, and is refused at its deadline instead of at once.
double
WaitQueue::AvailableRate(const QueuedRequest& aItem,
                         double aRate,
                         TimePoint aNow) const
{
  constexpr double kMinRateFraction = 0.02;
  int ownClass = static_cast<int>(aItem.mClass);
  if (aItem.mClass == RequestClass::Urgent) {
    // Nothing passes a bulletin. Refusing one on a guess costs more than
    // letting it wait until its time.
    return aRate;
  }
  double left = aRate;
  for (int i = 0; i < ownClass; ++i) {
    for (const auto& arrivals : mClasses[i].mArrivals) {
      left -= arrivals.second.At(aNow);
    }
  }
  // With nothing of its own waiting, its turn comes after one of each other
  // tenant's at most, whatever they send meanwhile.
  const auto& peers = mClasses[ownClass].mArrivals;
  if (mClasses[ownClass].mTenantQueues.count(aItem.mTenant) == 0) {
    return std::max(left, aRate * kMinRateFraction);
  }
  double fairRate =
    left / static_cast<double>(std::max<size_t>(1, peers.size()));
  double peerRate = 0;
  for (const auto& arrivals : peers) {
    if (arrivals.first != aItem.mTenant) {
      peerRate += std::min(std::max(0.0, fairRate), arrivals.second.At(aNow));
    }
  }
  return std::max(left - peerRate, aRate * kMinRateFraction);
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

// A tenant that comes back begins level with the others: credit saved up while
// it was away would let it shut them out.
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
  for (auto served = aClass.mServedTokens.begin();
       served != aClass.mServedTokens.end();) {
    bool notAhead = served->second <= aClass.mVirtualTime &&
                    aClass.mTenantQueues.count(served->first) == 0;
    served = notAhead ? aClass.mServedTokens.erase(served) : std::next(served);
  }
}

// Books its return for when all that waits or is booked before it will have
// been served.
WaitRefusal
WaitQueue::Refuse(const QueuedRequest& aItem,
                  ErrorKind aKind,
                  double aRate,
                  Millis aReadyIn,
                  TimePoint aNow)
{
  ClassQueue& classQueue = mClasses[static_cast<int>(aItem.mClass)];
  // One that comes before its time can't be told from another that asks the
  // same. It gets a second booking; that nobody comes for the first is learnt
  // (RetrySchedule::ReturnProbability). Told the first's time, all alike would
  // come at once to the room of one.
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
  // One that comes back when it was told to has its room; what is new may not
  // have the room of those that will come back before it would be served.
  auto due =
    classQueue.mRetrySchedule.FirstDue(aItem.mTenant, aItem.mRequestDigest);
  bool isRetry = due && *due <= aNow + kEarlyTolerance;
  if (isRetry) {
    classQueue.mRetrySchedule.Consume(aItem.mTenant, aItem.mRequestDigest);
  }
  bool reserved = isRetry || aItem.mClass == RequestClass::Urgent;
  TimePoint until = reserved ? aNow : aItem.mStartBy;
  double likely =
    reserved ? 0 : classQueue.mRetrySchedule.ReturnProbability(aItem.mTenant);
  auto budget = std::chrono::duration_cast<Millis>(aItem.mStartBy - aNow);
  // Behind those that will come back with all of their patience.
  Millis allowedWait(static_cast<int64_t>(static_cast<double>(budget.count()) *
                                          (1 - likely / 2)));
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
  TenantQueue& tenantItems = classQueue.mTenantQueues[aItem.mTenant];
  tenantItems.mItems.emplace(aItem.mStartBy, aItem);
  tenantItems.mTokens += aItem.mTokens;
  ++classQueue.mSize;
  return std::nullopt;
}

// Takes one item out; the line after, or the same if it goes on.
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
