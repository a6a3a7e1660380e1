#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

#include "decide/WaitQueue.h"
#include "support/Tape.h"

namespace caraway {

// What callers see: each gets exactly one ending: served, refused when it
// came, refused when its time passed, or gone by itself. A request that the
// queue forgot would wait in silence until its connection broke. And no
// request is served while a more urgent one waits.
RC_GTEST_PROP(WaitQueue, EveryRequestEndsOnceAndUrgentFirst, ())
{
  Tape tape = Tape::OfLength(600);
  WaitQueue queue({ 8, 0.5 });
  TimePoint now = TimePoint(Seconds(1000));
  std::map<uint64_t, WaitItem> waiting;
  uint64_t next = 0;
  while (!tape.Ended()) {
    now += Millis(tape.Below(50));
    int what = tape.Below(6);
    if (what < 3) {
      WaitItem item;
      item.mId = ++next;
      item.mTenant = std::string(1, static_cast<char>('a' + tape.Below(3)));
      item.mClass = static_cast<RequestClass>(tape.Below(3));
      item.mTokens = 1 + tape.Below(20);
      item.mStartBy = now + Millis(tape.Below(200) * 5);
      if (!queue.Offer(item, 1000, Millis(tape.Below(20)), now)) {
        waiting[item.mId] = item;
      }
    } else if (what == 3) {
      auto limit = static_cast<RequestClass>(tape.Below(3));
      auto served = queue.Next(limit);
      for (const auto& other : waiting) {
        RC_ASSERT(!served || other.second.mClass >= served->mClass);
        RC_ASSERT(served || other.second.mClass > limit);
      }
      RC_ASSERT(!served || waiting.erase(served->mId) == 1);
    } else if (what == 4) {
      for (const WaitItem& late : queue.Expire(now)) {
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

// What a small team sees beside one that floods: while both have requests
// waiting, each is served as many tokens as the other, to within one request,
// however many the other sends and however often it comes back.
RC_GTEST_PROP(WaitQueue, TenantsThatWaitAreServedEvenly, ())
{
  Tape tape = Tape::OfLength(400);
  WaitQueue queue({ 100000, 1.0 });
  TimePoint now = TimePoint(Seconds(1000));
  std::map<std::string, double> served;
  std::map<std::string, int> waits;
  uint64_t next = 0;
  auto offer = [&](const std::string& aTenant) {
    WaitItem item;
    item.mId = ++next;
    item.mTenant = aTenant;
    item.mTokens = 1 + tape.Below(20);
    item.mStartBy = now + Seconds(100000);
    queue.Offer(item, 0, Millis(0), now);
    ++waits[aTenant];
  };
  for (int i = 0; i < 5; ++i) {
    offer("flood");
  }
  offer("small");
  while (!tape.Ended()) {
    if (tape.Below(2) == 0) {
      offer("flood");
    }
    auto item = queue.Next(RequestClass::Batch);
    served[item->mTenant] += item->mTokens;
    --waits[item->mTenant];
    // The small one always has one waiting; the flood many.
    for (const char* tenant : { "small", "flood" }) {
      if (waits[tenant] == 0) {
        offer(tenant);
      }
    }
    RC_ASSERT(std::abs(served["flood"] - served["small"]) <= 2 * 20);
  }
}

} // namespace caraway
