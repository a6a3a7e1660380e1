// QueueBench: waiting times under a flood of briefings, WaitQueue against FIFO.
//
// One engine group of a given rate; three small tenants with bulletins and
// chat, one large tenant with briefings at several times the remaining rate.
// Paused clock, fixed seeds. A request that can't start in time is refused at
// once by prediction (WaitQueue) or at its deadline (FIFO).
#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decide/WaitQueue.h"

namespace {

using namespace caraway;

constexpr double kRate = 2000; // tokens/s over all engine slots
constexpr size_t kEngineSlots = 8;
constexpr Seconds kLength{ 300 };

struct Arrival
{
  TimePoint mAt;
  QueuedRequest mItem;
};

struct QueueOutcome
{
  std::vector<double> mWaits; // ms, of served requests
  int mLate = 0;              // refused at their deadline
  int mAtOnce = 0;            // refused on arrival
  int mRetried = 0;           // of those, retried at their retry-after time
  int mRetryRefused = 0;      // retried and refused again
  int mRetryServed = 0;       // retried and served
};

std::vector<Arrival>
GenerateArrivals(unsigned aSeed)
{
  std::mt19937 random(aSeed);
  std::vector<Arrival> all;
  uint64_t id = 0;
  auto stream = [&](const char* aTenant,
                    RequestClass aClass,
                    double aPerSecond,
                    double aTokens,
                    Millis aWithin) {
    std::exponential_distribution<double> gap(aPerSecond);
    TimePoint at = TimePoint(Seconds(1000));
    TimePoint end = at + kLength;
    while (at < end) {
      at += Micros(static_cast<int64_t>(gap(random) * 1e6));
      QueuedRequest item;
      item.mId = ++id;
      item.mRequestDigest = id;
      item.mTenant = aTenant;
      item.mClass = aClass;
      item.mTokens = aTokens;
      item.mArrived = at;
      item.mStartBy = at + aWithin;
      all.push_back({ at, item });
    }
  };
  for (const char* tenant : { "pass", "dune", "roads" }) {
    stream(tenant, RequestClass::Urgent, 0.5, 100, Millis(1400));
    stream(tenant, RequestClass::Interactive, 2, 100, Millis(1400));
  }
  stream("large", RequestClass::Batch, 3, 1500, Seconds(60));
  stream("large", RequestClass::Interactive, 20, 100, Millis(1400));
  std::sort(all.begin(), all.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mAt < aRight.mAt;
  });
  return all;
}

// aSlowed: the engine runs at a tenth of its speed in the middle third.
double
RateAt(TimePoint aNow, bool aSlowed)
{
  TimePoint begun = TimePoint(Seconds(1000));
  bool slow =
    aSlowed && aNow > begun + kLength / 3 && aNow < begun + kLength * 2 / 3;
  return slow ? kRate / 10 : kRate;
}

// Eight slots, like the engine's batch. The product reserves the last free slot
// for bulletins, and closes another one to batch work.
struct EngineSlots
{
  std::vector<TimePoint> mFree = std::vector<TimePoint>(kEngineSlots);
  std::vector<bool> mBatch = std::vector<bool>(kEngineSlots);

  size_t First() const
  {
    auto least = std::min_element(mFree.begin(), mFree.end());
    return static_cast<size_t>(least - mFree.begin());
  }
  int BusyAt(TimePoint aNow) const
  {
    return static_cast<int>(
      std::count_if(mFree.begin(), mFree.end(), [&](TimePoint aFree) {
        return aFree > aNow;
      }));
  }
  int BatchAt(TimePoint aNow) const
  {
    int count = 0;
    for (size_t i = 0; i < kEngineSlots; ++i) {
      count += mBatch[i] && mFree[i] > aNow ? 1 : 0;
    }
    return count;
  }
};

std::map<std::string, QueueOutcome>
RunQueue(const std::vector<Arrival>& aAll,
         bool aFair,
         bool aSlowed,
         bool aRetries = false)
{
  std::multimap<TimePoint, QueuedRequest> arrivals;
  for (const Arrival& arrival : aAll) {
    arrivals.emplace(arrival.mAt, arrival.mItem);
  }
  std::set<uint64_t> retried;
  std::map<std::string, QueueOutcome> outcomes;
  WaitQueue queue;
  std::deque<QueuedRequest> fifo;
  double learnedRate = 0;
  EngineSlots slots;
  auto key = [](const QueuedRequest& aItem) {
    return aItem.mTenant + " " + RequestClassName(aItem.mClass);
  };
  auto next = [&](TimePoint aNow) -> std::optional<QueuedRequest> {
    if (aFair) {
      for (const QueuedRequest& late : queue.Expire(aNow)) {
        ++outcomes[key(late)].mLate;
      }
      bool allowsBatch =
        slots.BatchAt(aNow) < static_cast<int>(kEngineSlots) - 2;
      if (slots.BusyAt(aNow) >= static_cast<int>(kEngineSlots) - 1) {
        return queue.Next(RequestClass::Urgent);
      }
      return queue.Next(allowsBatch ? RequestClass::Batch
                                    : RequestClass::Interactive);
    }
    while (!fifo.empty()) {
      QueuedRequest item = fifo.front();
      fifo.pop_front();
      if (item.mStartBy > aNow) {
        return item;
      }
      ++outcomes[key(item)].mLate;
    }
    return std::nullopt;
  };
  auto serve = [&](TimePoint aUntil) {
    for (;;) {
      size_t slot = slots.First();
      TimePoint now = slots.mFree[slot];
      if (now > aUntil) {
        return;
      }
      auto item = next(now);
      if (!item) {
        slots.mFree[slot] = aUntil + Micros(1);
        continue;
      }
      double wait =
        std::chrono::duration<double, std::milli>(now - item->mArrived).count();
      outcomes[key(*item)].mWaits.push_back(std::max(0.0, wait));
      outcomes[key(*item)].mRetryServed += retried.count(item->mId) ? 1 : 0;
      double rate = RateAt(now, aSlowed);
      learnedRate =
        learnedRate == 0 ? rate : learnedRate + 0.2 * (rate - learnedRate);
      double seconds = item->mTokens / (rate / kEngineSlots);
      slots.mFree[slot] = now + Micros(static_cast<int64_t>(seconds * 1e6));
      slots.mBatch[slot] = item->mClass == RequestClass::Batch;
    }
  };
  while (!arrivals.empty()) {
    TimePoint at = arrivals.begin()->first;
    QueuedRequest item = arrivals.begin()->second;
    arrivals.erase(arrivals.begin());
    serve(at);
    if (!aFair) {
      fifo.push_back(item);
      continue;
    }
    auto refusal = queue.Offer(item, learnedRate, Millis(0), at);
    if (!refusal) {
      continue;
    }
    QueueOutcome& outcome = outcomes[key(item)];
    ++outcome.mAtOnce;
    outcome.mRetryRefused += retried.count(item.mId) ? 1 : 0;
    if (aRetries && retried.insert(item.mId).second) {
      ++outcome.mRetried;
      Millis within = std::chrono::duration_cast<Millis>(item.mStartBy - at);
      item.mArrived = at + refusal->mRetryAfter;
      item.mStartBy = item.mArrived + within;
      arrivals.emplace(item.mArrived, item);
    }
  }
  serve(aAll.back().mAt + Seconds(60));
  return outcomes;
}

// Refused requests retry once at their retry-after time. aBursts: the large
// tenant sends only in the first 20 s of every 100 s; otherwise it sends all
// the time, and its retries add to the flood.
void
PrintRetries(const char* aName, bool aBursts, bool aSlowed)
{
  std::vector<Arrival> all = GenerateArrivals(1);
  if (aBursts) {
    auto quiet = [](const Arrival& aArrival) {
      auto since = aArrival.mAt - TimePoint(Seconds(1000));
      return aArrival.mItem.mTenant == "large" &&
             since % Seconds(100) > Seconds(20);
    };
    all.erase(std::remove_if(all.begin(), all.end(), quiet), all.end());
  }
  std::printf("%s: retried at the retry-after time, served on retry\n", aName);
  for (const auto& entry : RunQueue(all, true, aSlowed, true)) {
    const QueueOutcome& outcome = entry.second;
    if (outcome.mRetried > 0) {
      std::printf("  %-22s %6d %8.1f%% refused again %8.1f%%\n",
                  entry.first.c_str(),
                  outcome.mRetried,
                  100.0 * outcome.mRetryServed / outcome.mRetried,
                  100.0 * outcome.mRetryRefused / outcome.mRetried);
    }
  }
}

void
PrintTable(const char* aName, bool aSlowed)
{
  std::printf("%s\n  %-22s %30s   %30s\n  %-22s %10s %9s %9s   %10s %9s %9s\n",
              aName,
              "",
              "FIFO",
              "WaitQueue",
              "tenant and class",
              "p99 ms",
              "late",
              "at once",
              "p99 ms",
              "late",
              "at once");
  std::vector<Arrival> all = GenerateArrivals(1);
  auto fifo = RunQueue(all, false, aSlowed);
  auto fair = RunQueue(all, true, aSlowed);
  for (auto& entry : fair) {
    std::printf("  %-22s", entry.first.c_str());
    for (QueueOutcome* outcome : { &fifo[entry.first], &entry.second }) {
      std::vector<double>& waits = outcome->mWaits;
      std::sort(waits.begin(), waits.end());
      double total =
        static_cast<double>(waits.size()) + outcome->mLate + outcome->mAtOnce;
      double p99 = waits.empty()
                     ? 0
                     : waits[static_cast<size_t>(
                         0.99 * static_cast<double>(waits.size() - 1))];
      std::printf(" %10.0f %8.1f%% %8.1f%%  ",
                  p99,
                  100 * outcome->mLate / total,
                  100 * outcome->mAtOnce / total);
    }
    std::printf("\n");
  }
}

} // namespace

int
main()
{
  PrintTable("a flood of briefings and chat by one large tenant", false);
  PrintTable("the same, the engine at a tenth of its speed in the middle third",
             true);
  PrintRetries("bursts of 20 s", true, false);
  PrintRetries(
    "bursts of 20 s, the engine at a tenth in the middle third", true, true);
  PrintRetries("a flood without end", false, false);
  return 0;
}
