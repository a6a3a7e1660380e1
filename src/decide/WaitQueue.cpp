#include "decide/WaitQueue.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Millis kLeastRetry{ 200 };
constexpr Millis kMostRetry{ 30000 };

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
  return mSize;
}

bool
WaitQueue::Waiting(RequestClass aClass) const
{
  return !mLines[static_cast<int>(aClass)].empty();
}

// Work that will be served before aItem: all of the more urgent classes; of
// its own class its tenant's, and of the other tenants' no more than as much
// as its own, since they take turns by tokens.
double
WaitQueue::WorkBefore(const WaitItem& aItem) const
{
  int own = static_cast<int>(aItem.mClass);
  double work = 0;
  for (int i = 0; i < own; ++i) {
    for (const auto& line : mLines[i]) {
      work += line.second.mTokens;
    }
  }
  auto line = mLines[own].find(aItem.mTenant);
  double mine = line == mLines[own].end() ? 0 : line->second.mTokens;
  work += mine;
  for (const auto& other : mLines[own]) {
    if (other.first != aItem.mTenant) {
      work += std::min(other.second.mTokens, mine + aItem.mTokens);
    }
  }
  return work;
}

Millis
WaitQueue::Predict(const WaitItem& aItem, double aRate) const
{
  return TimeFor(WorkBefore(aItem), aRate);
}

WaitQueue::TenantLine&
WaitQueue::LineFor(const WaitItem& aItem)
{
  int own = static_cast<int>(aItem.mClass);
  auto inserted = mLines[own].emplace(aItem.mTenant, TenantLine());
  if (inserted.second) {
    // A tenant that comes back begins level with the others: credit saved up
    // while it was away would let it shut them out.
    inserted.first->second.mServed = mVirtualTime[own];
  }
  return inserted.first->second;
}

std::optional<WaitRefusal>
WaitQueue::Offer(const WaitItem& aItem,
                 double aRate,
                 Millis aReadyIn,
                 TimePoint aNow)
{
  Millis wait = std::max(Predict(aItem, aRate), aReadyIn);
  Millis retry = std::clamp(wait, kLeastRetry, kMostRetry);
  size_t most = static_cast<size_t>(static_cast<double>(mLimits.mItems) *
                                    mLimits.mTenantPart);
  auto waiting = mWaitingOf.find(aItem.mTenant);
  bool tenantFull = waiting != mWaitingOf.end() && waiting->second >= most;
  if (mSize >= mLimits.mItems || tenantFull) {
    return WaitRefusal{ ErrorKind::QueueFull, retry };
  }
  if (aNow + wait > aItem.mStartBy) {
    return WaitRefusal{ ErrorKind::DeadlineUnmeetable, retry };
  }
  TenantLine& line = LineFor(aItem);
  line.mItems.emplace(aItem.mStartBy, aItem);
  line.mTokens += aItem.mTokens;
  ++mWaitingOf[aItem.mTenant];
  ++mSize;
  return std::nullopt;
}

void
WaitQueue::Drop(Lines& aLines, Lines::iterator aLine)
{
  if (aLine->second.mItems.empty()) {
    aLines.erase(aLine);
  }
}

std::optional<WaitItem>
WaitQueue::Next(RequestClass aClassLimit, TimePoint aNow)
{
  (void)aNow;
  for (int i = 0; i <= static_cast<int>(aClassLimit); ++i) {
    Lines& lines = mLines[i];
    if (lines.empty()) {
      continue;
    }
    auto least = std::min_element(
      lines.begin(), lines.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mServed < aRight.second.mServed;
      });
    TenantLine& line = least->second;
    WaitItem item = line.mItems.begin()->second;
    line.mItems.erase(line.mItems.begin());
    mVirtualTime[i] = line.mServed;
    line.mServed += item.mTokens;
    line.mTokens -= item.mTokens;
    --mWaitingOf[item.mTenant];
    --mSize;
    Drop(lines, least);
    return item;
  }
  return std::nullopt;
}

std::vector<WaitItem>
WaitQueue::Expire(TimePoint aNow)
{
  std::vector<WaitItem> expired;
  for (Lines& lines : mLines) {
    for (auto line = lines.begin(); line != lines.end();) {
      auto& items = line->second.mItems;
      while (!items.empty() && items.begin()->first <= aNow) {
        expired.push_back(items.begin()->second);
        line->second.mTokens -= items.begin()->second.mTokens;
        --mWaitingOf[line->first];
        --mSize;
        items.erase(items.begin());
      }
      line = items.empty() ? lines.erase(line) : std::next(line);
    }
  }
  return expired;
}

bool
WaitQueue::Withdraw(uint64_t aId)
{
  for (Lines& lines : mLines) {
    for (auto line = lines.begin(); line != lines.end(); ++line) {
      auto& items = line->second.mItems;
      for (auto item = items.begin(); item != items.end(); ++item) {
        if (item->second.mId != aId) {
          continue;
        }
        line->second.mTokens -= item->second.mTokens;
        --mWaitingOf[line->first];
        --mSize;
        items.erase(item);
        Drop(lines, line);
        return true;
      }
    }
  }
  return false;
}

} // namespace caraway
