#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

#include "decide/WaitQueue.h"
#include "support/RandomChoices.h"

namespace caraway {

// Guards against requests that the queue loses, whose callers wait until their
// connection breaks, and against serving one while a more urgent one waits.
// Each request ends exactly once: served, refused on arrival, refused at its
// deadline, or withdrawn.
RC_GTEST_PROP(WaitQueue, EveryRequestEndsOnceAndUrgentIsServedFirst, ())
{
  RandomChoices choices = RandomChoices::OfLength(600);
  WaitQueue queue({ 8, 0.5 });
  TimePoint now = TimePoint(Seconds(1000));
  std::map<uint64_t, QueuedRequest> waiting;
  uint64_t next = 0;
  while (!choices.Ended()) {
    now += Millis(choices.Below(50));
    int what = choices.Below(6);
    if (what < 3) {
      QueuedRequest item;
      item.mId = ++next;
      item.mRequestDigest = static_cast<uint64_t>(choices.Below(20));
      item.mTenant = std::string(1, static_cast<char>('a' + choices.Below(3)));
      item.mClass = static_cast<RequestClass>(choices.Below(3));
      item.mTokens = 1 + choices.Below(20);
      item.mStartBy = now + Millis(choices.Below(200) * 5);
      if (!queue.Offer(item, 1000, Millis(choices.Below(20)), now)) {
        waiting[item.mId] = item;
      }
    } else if (what == 3) {
      auto limit = static_cast<RequestClass>(choices.Below(3));
      auto served = queue.Next(limit);
      for (const auto& other : waiting) {
        RC_ASSERT(!served || other.second.mClass >= served->mClass);
        RC_ASSERT(served || other.second.mClass > limit);
      }
      RC_ASSERT(!served || waiting.erase(served->mId) == 1);
    } else if (what == 4) {
      for (const QueuedRequest& late : queue.Expire(now)) {
        RC_ASSERT(late.mStartBy <= now);
        RC_ASSERT(waiting.erase(late.mId) == 1);
      }
      for (const auto& other : waiting) {
        RC_ASSERT(other.second.mStartBy > now);
      }
    } else if (!waiting.empty()) {
      uint64_t id = waiting.begin()->first;
      RC_ASSERT(queue.Withdraw(id));
      waiting.erase(id);
    }
    RC_ASSERT(queue.Size() == waiting.size());
  }
}

// Guards against a flooding tenant that starves a small one: while both have
// requests queued, each is served as many tokens as the other, to within one
// request, however many the other sends and however often it returns.
RC_GTEST_PROP(WaitQueue, WaitingTenantsAreServedEvenly, ())
{
  RandomChoices choices = RandomChoices::OfLength(400);
  WaitQueue queue({ 100000, 1.0 });
  TimePoint now = TimePoint(Seconds(1000));
  std::map<std::string, double> served;
  std::map<std::string, int> waits;
  uint64_t next = 0;
  auto offer = [&](const std::string& aTenant) {
    QueuedRequest item;
    item.mId = ++next;
    item.mTenant = aTenant;
    item.mTokens = 1 + choices.Below(20);
    item.mStartBy = now + Seconds(100000);
    queue.Offer(item, 0, Millis(0), now);
    ++waits[aTenant];
  };
  for (int i = 0; i < 5; ++i) {
    offer("flood");
  }
  offer("small");
  while (!choices.Ended()) {
    if (choices.Below(2) == 0) {
      offer("flood");
    }
    auto item = queue.Next(RequestClass::Batch);
    served[item->mTenant] += item->mTokens;
    --waits[item->mTenant];
    // The small tenant always has one request queued, the flooding one many.
    for (const char* tenant : { "small", "flood" }) {
      if (waits[tenant] == 0) {
        offer(tenant);
      }
    }
    RC_ASSERT(std::abs(served["flood"] - served["small"]) <= 2 * 20);
  }
}

namespace {

// A queue at 1000 tokens a second that is offered 200 ms of work at a time.
struct BusyQueue
{
  WaitQueue mQueue;
  TimePoint mNow = TimePoint(Seconds(1000));
  uint64_t mNext = 0;

  std::optional<WaitRefusal> Offer(const std::string& aTenant,
                                   uint64_t aRequestDigest)
  {
    QueuedRequest item;
    item.mId = ++mNext;
    item.mRequestDigest = aRequestDigest;
    item.mTenant = aTenant;
    item.mTokens = 200;
    item.mStartBy = mNow + Millis(1400);
    return mQueue.Offer(item, 1000, Millis(0), mNow);
  }
  void Serve(Millis aTime)
  {
    for (Millis at(0); at < aTime; at += Millis(200)) {
      mQueue.Next(RequestClass::Batch);
      mNow += Millis(200);
    }
  }
};

} // namespace

// Guards against retry times derived from the queue length alone: a caller that
// was refused in a burst would retry into a queue that others have filled
// again. It must be admitted at its retry time, while the burst goes on.
TEST(WaitQueue, RetryAtTheGivenTimeIsAdmitted)
{
  BusyQueue busyQueue;
  uint64_t digest = 1000;
  std::optional<WaitRefusal> refusal;
  while (!refusal) {
    refusal = busyQueue.Offer("acme", ++digest);
  }
  uint64_t refused = digest;
  for (int i = 0; i < 5; ++i) {
    busyQueue.Offer("acme", ++digest); // get later retry times
  }
  TimePoint due = busyQueue.mNow + refusal->mRetryAfter;
  while (busyQueue.mNow < due) {
    busyQueue.Serve(Millis(200));
    busyQueue.Offer("acme", ++digest);
    busyQueue.Offer("acme", ++digest);
  }
  EXPECT_FALSE(busyQueue.Offer("acme", refused));
}

// Guards against one retry time for many callers with the same request, such as
// drivers at a closed pass, who would all retry for the capacity of one. Each
// gets its own time.
TEST(WaitQueue, SameRequestsGetDistinctRetryTimes)
{
  BusyQueue busyQueue;
  constexpr uint64_t kSame = 7;
  while (!busyQueue.Offer("acme", kSame)) {
  }
  std::vector<TimePoint> retryTimes;
  for (int i = 0; i < 10; ++i) {
    auto refusal = busyQueue.Offer("acme", kSame);
    ASSERT_TRUE(refusal);
    retryTimes.push_back(busyQueue.mNow + refusal->mRetryAfter);
  }
  int admitted = 0;
  for (TimePoint due : retryTimes) {
    while (busyQueue.mNow < due) {
      busyQueue.Serve(Millis(200));
    }
    admitted += busyQueue.Offer("acme", kSame) ? 0 : 1;
  }
  EXPECT_EQ(admitted, 10);
  EXPECT_GT(retryTimes.back() - retryTimes.front(), Millis(500));
}

// Guards against engines left idle by reservations of callers that never retry,
// while others are refused. After some unused reservations, hardly any capacity
// is held.
TEST(WaitQueue, UnusedReservationsDoNotHoldCapacity)
{
  BusyQueue busyQueue;
  uint64_t digest = 0;
  for (int i = 0; i < 500; ++i) {
    busyQueue.Offer("acme", ++digest);
    busyQueue.Offer("acme", ++digest);
    busyQueue.Serve(Millis(200));
  }
  // The queue holds as much as the start deadlines allow, 1.4 s of work.
  EXPECT_GE(busyQueue.mQueue.Size(), 5u);
}

// Guards against estimates that count tenants which stopped sending long ago:
// each would take a part of the fair rate.
TEST(WaitQueue, TenantsOfLongAgoDoNotChangeTheEstimate)
{
  BusyQueue fresh;
  BusyQueue aged;
  for (uint64_t i = 0; i < 50; ++i) {
    aged.Offer("former" + std::to_string(i), i);
    aged.Serve(Millis(200));
  }
  aged.Serve(Seconds(600));
  auto expectedWait = [](BusyQueue& aQueue) {
    for (uint64_t i = 1000; i < 1003; ++i) {
      aQueue.Offer("globex", i);
      aQueue.Offer("acme", 100 + i);
    }
    QueuedRequest item;
    item.mTenant = "acme";
    item.mTokens = 200;
    item.mStartBy = aQueue.mNow + Seconds(10);
    return aQueue.mQueue.PredictWait(item, 1000, aQueue.mNow, item.mStartBy);
  };
  EXPECT_EQ(expectedWait(fresh), expectedWait(aged));
}

} // namespace caraway
