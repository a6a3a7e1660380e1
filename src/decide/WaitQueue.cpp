#include "decide/WaitQueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace caraway {

namespace {

constexpr Millis kLeastRetry{ 200 };
constexpr Millis kMostRetry{ 120000 };
constexpr Millis kEarly{ 200 };       // what a caller's timer may be off by
constexpr double kArrivalMemory = 10; // seconds
constexpr double kAll = std::numeric_limits<double>::max();

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
  for (const ClassLines& one : mClasses) {
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
WaitQueue::WorkBefore(const WaitItem& aItem, TimePoint aUntil) const
{
  int own = static_cast<int>(aItem.mClass);
  double work = 0;
  for (int i = 0; i < own; ++i) {
    for (const auto& line : mClasses[i].mLines) {
      work += line.second.mTokens;
    }
    work += mClasses[i].mReturns.OthersTokens("", aUntil, kAll);
  }
  const Lines& lines = mClasses[own].mLines;
  auto line = lines.find(aItem.mTenant);
  double mine = line == lines.end() ? 0 : line->second.mTokens;
  const RetrySchedule& returns = mClasses[own].mReturns;
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
  mRate = At(aNow) + aTokens / kArrivalMemory;
  mAt = aNow;
}

double
WaitQueue::ArrivalRate::At(TimePoint aNow) const
{
  double seconds = std::chrono::duration<double>(aNow - mAt).count();
  return mRate * std::exp(-std::max(0.0, seconds) / kArrivalMemory);
}

// What is waiting isn't all that will be served first: more urgent requests
// keep arriving, and other tenants of the class keep taking their turns.
// Without this a briefing is let in to wait a minute for a place that the chat
// still to come will have, and is refused at its deadline instead of at once.
double
WaitQueue::RateLeftFor(const WaitItem& aItem,
                       double aRate,
                       TimePoint aNow) const
{
  constexpr double kLeastPart = 0.02;
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
    return std::max(left, aRate * kLeastPart);
  }
  double turn = left / static_cast<double>(std::max<size_t>(1, peers.size()));
  double taken = 0;
  for (const auto& arrivals : peers) {
    if (arrivals.first != aItem.mTenant) {
      taken += std::min(std::max(0.0, turn), arrivals.second.At(aNow));
    }
  }
  return std::max(left - taken, aRate * kLeastPart);
}

Millis
WaitQueue::Predict(const WaitItem& aItem,
                   double aRate,
                   TimePoint aNow,
                   TimePoint aUntil) const
{
  if (aRate <= 0) {
    return Millis(0);
  }
  return TimeFor(WorkBefore(aItem, aUntil), RateLeftFor(aItem, aRate, aNow));
}

// A tenant that comes back begins level with the others: credit saved up while
// it was away would let it shut them out.
double
WaitQueue::Served(ClassLines& aClass, const std::string& aTenant) const
{
  auto served = aClass.mServed.find(aTenant);
  double known = served == aClass.mServed.end() ? 0 : served->second;
  return std::max(known, aClass.mVirtualTime);
}

void
WaitQueue::ForgetBehind(ClassLines& aClass)
{
  for (auto served = aClass.mServed.begin(); served != aClass.mServed.end();) {
    bool behind = served->second <= aClass.mVirtualTime &&
                  aClass.mLines.count(served->first) == 0;
    served = behind ? aClass.mServed.erase(served) : std::next(served);
  }
}

// Books its return for when all that waits or is booked before it will have
// been served.
WaitRefusal
WaitQueue::Refuse(const WaitItem& aItem,
                  ErrorKind aKind,
                  double aRate,
                  Millis aReadyIn,
                  TimePoint aNow)
{
  ClassLines& own = mClasses[static_cast<int>(aItem.mClass)];
  // One that comes before its time can't be told from another that asks the
  // same. It gets a second booking; that nobody comes for the first is learnt
  // (RetrySchedule::Likely). Told the first's time, all alike would come at
  // once to the room of one.
  Millis wait =
    std::max(Predict(aItem, aRate, aNow, TimePoint::max()), aReadyIn);
  if (wait <= kMostRetry) {
    own.mReturns.Add(aItem.mTenant,
                     aItem.mLike,
                     aItem.mTokens,
                     aNow + std::max(wait, kLeastRetry));
  }
  return { aKind, std::clamp(wait, kLeastRetry, kMostRetry) };
}

std::optional<WaitRefusal>
WaitQueue::Offer(const WaitItem& aItem,
                 double aRate,
                 Millis aReadyIn,
                 TimePoint aNow)
{
  ClassLines& own = mClasses[static_cast<int>(aItem.mClass)];
  own.mReturns.Forget(aNow);
  // One that comes back when it was told to has its room; what is new may not
  // have the room of those that will come back before it would be served.
  auto due = own.mReturns.Due(aItem.mTenant, aItem.mLike);
  bool returns = due && *due <= aNow + kEarly;
  if (returns) {
    own.mReturns.Use(aItem.mTenant, aItem.mLike);
  }
  bool roomed = returns || aItem.mClass == RequestClass::Urgent;
  TimePoint until = roomed ? aNow : aItem.mStartBy;
  double likely = roomed ? 0 : own.mReturns.Likely(aItem.mTenant);
  auto patience = std::chrono::duration_cast<Millis>(aItem.mStartBy - aNow);
  // Behind those that will come back with all of their patience.
  Millis within(static_cast<int64_t>(static_cast<double>(patience.count()) *
                                     (1 - likely / 2)));
  Millis wait = std::max(Predict(aItem, aRate, aNow, until), aReadyIn);
  size_t most = static_cast<size_t>(static_cast<double>(mLimits.mItems) *
                                    mLimits.mTenantPart);
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
    own.mServed[aItem.mTenant] = Served(own, aItem.mTenant);
  }
  own.mArrivals[aItem.mTenant].Add(aItem.mTokens, aNow);
  TenantLine& mine = own.mLines[aItem.mTenant];
  mine.mItems.emplace(aItem.mStartBy, aItem);
  mine.mTokens += aItem.mTokens;
  ++own.mSize;
  return std::nullopt;
}

// Takes one item out; the line after, or the same if it goes on.
WaitQueue::Lines::iterator
WaitQueue::Leave(ClassLines& aClass,
                 Lines::iterator aLine,
                 std::multimap<TimePoint, WaitItem>::iterator aItem)
{
  aLine->second.mTokens -= aItem->second.mTokens;
  aLine->second.mItems.erase(aItem);
  --aClass.mSize;
  return aLine->second.mItems.empty() ? aClass.mLines.erase(aLine) : aLine;
}

std::optional<WaitItem>
WaitQueue::Next(RequestClass aClassLimit)
{
  for (int i = 0; i <= static_cast<int>(aClassLimit); ++i) {
    ClassLines& own = mClasses[i];
    if (own.mSize == 0) {
      continue;
    }
    auto least = std::min_element(own.mLines.begin(),
                                  own.mLines.end(),
                                  [&](const auto& aLeft, const auto& aRight) {
                                    return own.mServed[aLeft.first] <
                                           own.mServed[aRight.first];
                                  });
    auto first = least->second.mItems.begin();
    WaitItem item = first->second;
    double& served = own.mServed[item.mTenant];
    own.mVirtualTime = served;
    served += item.mTokens;
    Leave(own, least, first);
    ForgetBehind(own);
    return item;
  }
  return std::nullopt;
}

std::vector<WaitItem>
WaitQueue::Expire(TimePoint aNow)
{
  std::vector<WaitItem> expired;
  for (ClassLines& own : mClasses) {
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
  for (ClassLines& own : mClasses) {
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
