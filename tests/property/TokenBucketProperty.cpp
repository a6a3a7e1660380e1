#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decide/TokenBucket.h"
#include "support/Window.h"

namespace caraway {

// Guards against refunds that exceed the limit. A tenant that reserves much and
// uses little is refunded; if the bucket filled up meanwhile, a refund on top
// of the refill would let two bursts through at once.
RC_GTEST_PROP(TokenBucket, NoWindowExceedsTheLimitAfterRefunds, ())
{
  const double rate = 10;
  const double burst = 100;
  TimePoint now = TimePoint(Seconds(1000));
  TokenBucket bucket(rate, burst, now);
  struct Held
  {
    size_t mSpend;
    double mReserved;
  };
  std::vector<WindowSpend> spends; // tokens used in the end
  std::vector<Held> held;
  int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    now += Millis(*rc::gen::inRange(0, 6000));
    bool settle = !held.empty() && *rc::gen::arbitrary<bool>();
    if (settle) {
      size_t which = *rc::gen::inRange<size_t>(0, held.size());
      Held was = held[which];
      held.erase(held.begin() + static_cast<long>(which));
      double used = was.mReserved * *rc::gen::inRange(0, 101) / 100;
      bucket.Refund(was.mReserved - used, spends[was.mSpend].mAt, now);
      spends[was.mSpend].mTokens = used;
      continue;
    }
    double tokens = *rc::gen::inRange(1, 101);
    if (bucket.Take(tokens, now)) {
      held.push_back({ spends.size(), tokens });
      spends.push_back({ now, tokens });
    }
  }
  RC_ASSERT(WindowExcess(spends, rate, burst) < 1e-6);
}

} // namespace caraway
