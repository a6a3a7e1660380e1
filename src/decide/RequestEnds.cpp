#include "decide/RequestEnds.h"

#include <algorithm>
#include <tuple>

#include "base/EraseIf.h"

namespace caraway {

namespace {

// Limits of memory, as callers choose the requests.
constexpr size_t kMaxRequests = 2048;
constexpr size_t kMaxEndsOfRequest = 8;
constexpr size_t kMaxLives = 1024;

// Callers repeat a request within its deadline.
constexpr Seconds kMemory{ 120 };
constexpr Seconds kMemoryOfRefused{ 600 };

// Two instances' times of the same moment differ by this at most, as a rule.
constexpr Millis kClockSlack{ 5 };

// A server that sends something later than kSettleTime after one of its
// connections ended has not ended. What it sends later than kBackTime after may
// be its next process's.
constexpr Millis kSettleTime{ 100 };
constexpr Millis kBackTime{ 400 };

constexpr Seconds kMemoryOfLives{ 60 };

// Leaves room, so that not each new entry looks through all.
template<typename Times>
void
KeepLatest(Times& aTimes, TimePoint aNow)
{
  if (aTimes.size() <= kMaxLives) {
    return;
  }
  EraseIf(aTimes, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kMemoryOfLives;
  });
  while (aTimes.size() > kMaxLives) {
    aTimes.erase(aTimes.begin());
  }
}

} // namespace

bool
RequestEnds::Counts(const RunEnd& aEnd, const Request& aRequest) const
{
  auto alive = mAliveAt.find(aEnd.mLife);
  bool lives = alive != mAliveAt.end() && aEnd.mEndedAt <= alive->second;
  return !lives && aEnd.mEndedAt > aRequest.mServedAt;
}

bool
RequestEnds::OnEnd(const RunEnd& aEnd, TimePoint aNow)
{
  auto found = mRequests.find(aEnd.mRequest);
  if (found == mRequests.end()) {
    if (!Counts(aEnd, Request())) {
      return false;
    }
    if (mRequests.size() >= kMaxRequests) {
      Evict();
    }
    found = mRequests.emplace(aEnd.mRequest, Request()).first;
  }
  Request& request = found->second;
  if (!Counts(aEnd, request) ||
      !request.mEnds.emplace(aEnd.mLife, aEnd).second) {
    return false;
  }
  if (request.mEnds.size() > kMaxEndsOfRequest) {
    request.mEnds.erase(std::min_element(
      request.mEnds.begin(), request.mEnds.end(), [](auto& aOne, auto& aTwo) {
        return aOne.second.mEndedAt < aTwo.second.mEndedAt;
      }));
  }
  mEndedAt.emplace(aEnd.mLife, aEnd.mEndedAt);
  KeepLatest(mEndedAt, aNow);
  return true;
}

bool
RequestEnds::OnServed(const std::string& aRequest, TimePoint aAt)
{
  auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return false;
  }
  Request& request = found->second;
  size_t before = request.mEnds.size();
  request.mServedAt = std::max(request.mServedAt, aAt);
  EraseIf(request.mEnds,
          [&](const auto& aEnd) { return !Counts(aEnd.second, request); });
  return request.mEnds.size() < before;
}

bool
RequestEnds::OnBytes(const std::string& aLife,
                     TimePoint aSentAt,
                     TimePoint aNow)
{
  auto ended = mEndedAt.find(aLife);
  if (ended == mEndedAt.end()) {
    return false;
  }
  TimePoint at = ended->second;
  bool later = aSentAt > at || aNow >= at + kSettleTime;
  if (!later || aNow > at + kBackTime) {
    return false;
  }
  OnAlive(aLife, aNow);
  return true;
}

void
RequestEnds::OnAlive(const std::string& aLife, TimePoint aAt)
{
  TimePoint& alive = mAliveAt[aLife];
  alive = std::max(alive, aAt);
  KeepLatest(mAliveAt, aAt);
  mEndedAt.erase(aLife);
  for (auto& [name, request] : mRequests) {
    auto end = request.mEnds.find(aLife);
    if (end != request.mEnds.end() && !Counts(end->second, request)) {
      request.mEnds.erase(end);
    }
  }
}

TimePoint
RequestEnds::LastOf(const Request& aRequest)
{
  TimePoint last = aRequest.mServedAt;
  for (const auto& [life, end] : aRequest.mEnds) {
    last = std::max(last, end.mEndedAt);
  }
  return last;
}

TimePoint
RequestEnds::ForgottenAt(const Request& aRequest)
{
  bool refused = CountOf(aRequest) >= kMost;
  return LastOf(aRequest) + (refused ? kMemoryOfRefused : kMemory);
}

void
RequestEnds::ForgetOld(TimePoint aNow)
{
  EraseIf(mRequests, [aNow](const auto& aEntry) {
    return aNow >= ForgottenAt(aEntry.second);
  });
  for (auto* times : { &mEndedAt, &mAliveAt }) {
    EraseIf(*times, [aNow](const auto& aEntry) {
      return aNow - aEntry.second > kMemoryOfLives;
    });
  }
}

// Those that count for least, and of those the oldest. Several at a time, as
// finding them takes a look at all.
void
RequestEnds::Evict()
{
  std::vector<std::tuple<int, TimePoint, std::string>> order;
  for (const auto& [name, request] : mRequests) {
    order.emplace_back(CountOf(request), LastOf(request), name);
  }
  std::sort(order.begin(), order.end());
  order.resize(kMaxRequests / 4);
  for (const auto& entry : order) {
    mRequests.erase(std::get<2>(entry));
  }
}

// Runs count one after the other if each was sent once the server of the one
// before had ended: by the times, or because its sender knew of that end.
int
RequestEnds::CountOf(const Request& aRequest)
{
  std::vector<const RunEnd*> ends;
  for (const auto& [life, end] : aRequest.mEnds) {
    ends.push_back(&end);
  }
  std::sort(
    ends.begin(), ends.end(), [](const RunEnd* aOne, const RunEnd* aTwo) {
      return aOne->mEndedAt < aTwo->mEndedAt;
    });
  int count = 0;
  int known = 0;
  TimePoint last{};
  for (const RunEnd* end : ends) {
    if (count == 0 || end->mSentAt + kClockSlack >= last) {
      ++count;
      last = end->mEndedAt;
    }
    known = std::max(known, end->mBefore + 1);
  }
  int all = static_cast<int>(ends.size());
  return std::max(count, std::min(known, all));
}

int
RequestEnds::Count(const std::string& aRequest) const
{
  auto found = mRequests.find(aRequest);
  return found == mRequests.end() ? 0 : CountOf(found->second);
}

std::optional<TimePoint>
RequestEnds::RefusedUntil(const std::string& aRequest) const
{
  auto found = mRequests.find(aRequest);
  if (found == mRequests.end() || CountOf(found->second) < kMost) {
    return std::nullopt;
  }
  return ForgottenAt(found->second);
}

size_t
RequestEnds::Refused() const
{
  return static_cast<size_t>(
    std::count_if(mRequests.begin(), mRequests.end(), [](const auto& aEntry) {
      return CountOf(aEntry.second) >= kMost;
    }));
}

std::vector<RunEnd>
RequestEnds::Latest(size_t aMost) const
{
  std::vector<std::pair<bool, const RunEnd*>> order;
  for (const auto& [name, request] : mRequests) {
    bool refused = CountOf(request) >= kMost;
    for (const auto& [life, end] : request.mEnds) {
      order.emplace_back(refused, &end);
    }
  }
  std::stable_sort(
    order.begin(), order.end(), [](const auto& aOne, const auto& aTwo) {
      return std::make_tuple(aOne.first, aOne.second->mEndedAt) >
             std::make_tuple(aTwo.first, aTwo.second->mEndedAt);
    });
  order.resize(std::min(order.size(), aMost));
  std::vector<RunEnd> ends;
  for (const auto& entry : order) {
    ends.push_back(*entry.second);
  }
  return ends;
}

} // namespace caraway
