#include "decide/WaitQueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caraway {

namespace {

constexpr Millis kMinRetry{ 200 };
constexpr Millis kMaxRetry{ 120000 };
constexpr Millis kEarly{ 200 }; // what a caller's timer may be off by
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
  for (const ClassQueue& one : mClasses) {
    size += one.mSize;
  }
  return size;
}

RequestClass
WaitQueue::MostUrgent() const
{
  for (int one = 0; one < kRequestClassCount - 1; ++one) {
    if (mClasses[one].mSize > 0) {
      return static_cast<RequestClass>(one);
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
  int own = static_cast<int>(aItem.mClass);
  double work = 0;
  for (int i = 0; i < own; ++i) {
    for (const auto& line : mClasses[i].mLines) {
      work += line.second.mTokens;
    }
    work += mClasses[i].mRetrySchedule.OthersTokens("", aUntil, kUnlimited);
  }
  const Lines& lines = mClasses[own].mLines;
  auto line = lines.find(aItem.mTenant);
  double mine = line == lines.end() ? 0 : line->second.mTokens;
  const RetrySchedule& returns = mClasses[own].mRetrySchedule;
  mine += returns.Tokens(aItem.mTenant, aUntil);
  work += mine;
  for (const auto& other : lines) {
    if (other.first != aItem.mTenant) {
      work += std::min(other.second.mTokens, mine + aItem.mTokens);
    }
  }
  return work +
         returns.OthersTokens(aItem.mTenant, aUntil, mine + aItem.mTokens);
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
  int own = static_cast<int>(aItem.mClass);
  if (aItem.mClass == RequestClass::Urgent) {
    // Nothing passes a bulletin. Refusing one on a guess costs more than
    // letting it wait until its time.
    return aRate;
  }
  double left = aRate;
  for (int i = 0; i < own; ++i) {
    for (const auto& arrivals : mClasses[i].mArrivals) {
      left -= arrivals.second.At(aNow);
    }
  }
  // With nothing of its own waiting, its turn comes after one of each other
  // tenant's at most, whatever they send meanwhile.
  const auto& peers = mClasses[own].mArrivals;
  if (mClasses[own].mLines.count(aItem.mTenant) == 0) {
    return std::max(left, aRate * kMinRateFraction);
  }
  double turn = left / static_cast<double>(std::max<size_t>(1, peers.size()));
  double taken = 0;
  for (const auto& arrivals : peers) {
    if (arrivals.first != aItem.mTenant) {
      taken += std::min(std::max(0.0, turn), arrivals.second.At(aNow));
    }
  }
  return std::max(left - taken, aRate * kMinRateFraction);
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
WaitQueue::Served(ClassQueue& aClass, const std::string& aTenant) const
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
    bool behind = served->second <= aClass.mVirtualTime &&
                  aClass.mLines.count(served->first) == 0;
    served = behind ? aClass.mServedTokens.erase(served) : std::next(served);
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
  ClassQueue& own = mClasses[static_cast<int>(aItem.mClass)];
  // One that comes before its time can't be told from another that asks the
  // same. It gets a second booking; that nobody comes for the first is learnt
  // (RetrySchedule::ReturnProbability). Told the first's time, all alike would
  // come at once to the room of one.
  Millis wait =
    std::max(PredictWait(aItem, aRate, aNow, TimePoint::max()), aReadyIn);
  if (wait <= kMaxRetry) {
    own.mRetrySchedule.Add(aItem.mTenant,
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
  ClassQueue& own = mClasses[static_cast<int>(aItem.mClass)];
  own.mRetrySchedule.Forget(aNow);
  // One that comes back when it was told to has its room; what is new may not
  // have the room of those that will come back before it would be served.
  auto due = own.mRetrySchedule.Due(aItem.mTenant, aItem.mRequestDigest);
  bool returns = due && *due <= aNow + kEarly;
  if (returns) {
    own.mRetrySchedule.Use(aItem.mTenant, aItem.mRequestDigest);
  }
  bool roomed = returns || aItem.mClass == RequestClass::Urgent;
  TimePoint until = roomed ? aNow : aItem.mStartBy;
  double likely =
    roomed ? 0 : own.mRetrySchedule.ReturnProbability(aItem.mTenant);
  auto patience = std::chrono::duration_cast<Millis>(aItem.mStartBy - aNow);
  // Behind those that will come back with all of their patience.
  Millis within(static_cast<int64_t>(static_cast<double>(patience.count()) *
                                     (1 - likely / 2)));
  Millis wait = std::max(PredictWait(aItem, aRate, aNow, until), aReadyIn);
  size_t most = static_cast<size_t>(static_cast<double>(mLimits.mItems) *
                                    mLimits.mMaxTenantFraction);
  auto line = own.mLines.find(aItem.mTenant);
  bool tenantFull =
    line != own.mLines.end() && line->second.mItems.size() >= most;
  if (own.mSize >= mLimits.mItems || tenantFull) {
    return Refuse(aItem, ErrorKind::QueueFull, aRate, aReadyIn, aNow);
  }
  if (wait > within) {
    return Refuse(aItem, ErrorKind::DeadlineUnmeetable, aRate, aReadyIn, aNow);
  }
  if (line == own.mLines.end()) {
    own.mServedTokens[aItem.mTenant] = Served(own, aItem.mTenant);
  }
  own.mArrivals[aItem.mTenant].Add(aItem.mTokens, aNow);
  TenantQueue& mine = own.mLines[aItem.mTenant];
  mine.mItems.emplace(aItem.mStartBy, aItem);
  mine.mTokens += aItem.mTokens;
  ++own.mSize;
  return std::nullopt;
}

// Takes one item out; the line after, or the same if it goes on.
WaitQueue::Lines::iterator
WaitQueue::Leave(ClassQueue& aClass,
                 Lines::iterator aLine,
                 std::multimap<TimePoint, QueuedRequest>::iterator aItem)
{
  aLine->second.mTokens -= aItem->second.mTokens;
  aLine->second.mItems.erase(aItem);
  --aClass.mSize;
  return aLine->second.mItems.empty() ? aClass.mLines.erase(aLine) : aLine;
}

std::optional<QueuedRequest>
WaitQueue::Next(RequestClass aClassLimit)
{
  for (int i = 0; i <= static_cast<int>(aClassLimit); ++i) {
    ClassQueue& own = mClasses[i];
    if (own.mSize == 0) {
      continue;
    }
    auto least = std::min_element(own.mLines.begin(),
                                  own.mLines.end(),
                                  [&](const auto& aLeft, const auto& aRight) {
                                    return own.mServedTokens[aLeft.first] <
                                           own.mServedTokens[aRight.first];
                                  });
    auto first = least->second.mItems.begin();
    QueuedRequest item = first->second;
    double& served = own.mServedTokens[item.mTenant];
    own.mVirtualTime = served;
    served += item.mTokens;
    Leave(own, least, first);
    PruneServedTokens(own);
    return item;
  }
  return std::nullopt;
}

std::vector<QueuedRequest>
WaitQueue::Expire(TimePoint aNow)
{
  std::vector<QueuedRequest> expired;
  for (ClassQueue& own : mClasses) {
    for (auto line = own.mLines.begin(); line != own.mLines.end();) {
      auto first = line->second.mItems.begin();
      if (first->first > aNow) {
        ++line;
        continue;
      }
      expired.push_back(first->second);
      line = Leave(own, line, first);
    }
  }
  return expired;
}

bool
WaitQueue::Withdraw(uint64_t aId)
{
  for (ClassQueue& own : mClasses) {
    for (auto line = own.mLines.begin(); line != own.mLines.end(); ++line) {
      auto& items = line->second.mItems;
      for (auto item = items.begin(); item != items.end(); ++item) {
        if (item->second.mId == aId) {
          Leave(own, line, item);
          return true;
        }
      }
    }
  }
  return false;
}

} // namespace caraway
