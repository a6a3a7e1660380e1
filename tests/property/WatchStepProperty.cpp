// Which instances of a zone read the list of servers from the store, and which
// follow another instance.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "decide/WatchStep.h"

namespace caraway {

namespace {

constexpr Millis kRound{ 100 };

// An instance and the times of its updates.
struct Reader
{
  explicit Reader(const std::string& aName)
    : mName(aName)
    , mStep(aName)
  {
  }
  std::string mName;
  WatchStep mStep;
  TimePoint mReadAt{};   // last answer of the store
  TimePoint mUpdateAt{}; // of its latest update, read or received
  bool mRejected = false;
  bool mFrozen = false;

  bool Reads(TimePoint aNow) const { return !mStep.Follows(aNow); }
  TimePoint OwnUpdateAt(TimePoint aNow) const
  {
    return Reads(aNow) ? mReadAt : TimePoint();
  }
};

// One round: all that should read do so and publish it. aLost: percentage of
// messages lost.
void
RunPass(std::vector<Reader>& aReaders, TimePoint aNow, int aLost)
{
  for (Reader& reader : aReaders) {
    if (reader.mFrozen || reader.mRejected || !reader.Reads(aNow)) {
      continue;
    }
    reader.mReadAt = aNow;
    reader.mUpdateAt = aNow;
    for (Reader& other : aReaders) {
      if (other.mFrozen || &other == &reader ||
          *rc::gen::inRange(0, 100) < aLost) {
        continue;
      }
      if (other.mStep.OnUpdate(
            reader.mName, aNow, other.OwnUpdateAt(aNow), aNow)) {
        other.mUpdateAt = aNow;
      }
    }
  }
}

} // namespace

// Guards against an instance that relies on outdated updates, and against
// needless readers. Instances freeze, the store rejects some, and messages are
// lost: whoever follows another has an update younger than the bound, and the
// others read. Without faults one reader is left, the first by name.
RC_GTEST_PROP(WatchStepRandom, UpdatesAreFreshAndOneReadsWithoutFaults, ())
{
  std::vector<Reader> readers;
  for (const char* name : { "a", "b", "c", "d" }) {
    readers.emplace_back(name);
  }
  TimePoint now{ Seconds(1000) };
  for (int i = 0; i < 120; ++i, now += kRound) {
    Reader& one = readers[*rc::gen::inRange<size_t>(0, readers.size())];
    if (*rc::gen::inRange(0, 8) == 0) {
      one.mFrozen = !one.mFrozen;
    }
    if (*rc::gen::inRange(0, 8) == 0) {
      one.mRejected = !one.mRejected;
    }
    RunPass(readers, now, 30);
    for (const Reader& reader : readers) {
      RC_ASSERT(reader.Reads(now) ||
                now - reader.mUpdateAt < WatchStep::kMaxUpdateAge);
    }
  }
  for (Reader& reader : readers) {
    reader.mFrozen = false;
    reader.mRejected = false;
  }
  for (int i = 0; i < 40; ++i, now += kRound) {
    RunPass(readers, now, 0);
  }
  int reading = 0;
  for (const Reader& reader : readers) {
    reading += reader.Reads(now) ? 1 : 0;
  }
  RC_ASSERT(reading == 1);
}

// Guards against a reader that has too little CPU time to keep up.
TEST(WatchStep, LargerCpuShareComesFirst)
{
  EXPECT_LT(WatchRank(0.5, "z"), WatchRank(0.12, "a"));
  EXPECT_LT(WatchRank(0.25, "a"), WatchRank(0.25, "b"));
}

// Guards against one instance that leads its zone and also reads for it, while
// others idle.
TEST(WatchStep, LeaderComesLastAmongEquals)
{
  EXPECT_LT(WatchRank(0.25, "b"), WatchRank(0.25, "a", true));
  EXPECT_LT(WatchRank(0.5, "a", true), WatchRank(0.25, "b"));
}

// Guards against followers that lose their reader when its rank changes.
TEST(WatchStep, ReaderIsFollowedAcrossRankChanges)
{
  TimePoint now{ Seconds(1000) };
  WatchStep step(WatchRank(0.25, "b"));
  EXPECT_TRUE(step.OnUpdate(WatchRank(0.25, "a"), now, TimePoint(), now));
  EXPECT_TRUE(step.OnUpdate(WatchRank(0.25, "a", true), now, TimePoint(), now));
  EXPECT_FALSE(step.OnUpdate(WatchRank(0.25, "b", true), now, now, now));
}

// Guards against two readers that receive each other's updates at the same
// moment and both stop reading.
TEST(WatchStep, TwoReadersDoNotFollowEachOther)
{
  TimePoint now{ Seconds(1000) };
  WatchStep first("a");
  WatchStep second("b");
  EXPECT_FALSE(first.OnUpdate("b", now, now, now));
  EXPECT_TRUE(second.OnUpdate("a", now, now, now));
  EXPECT_FALSE(first.Follows(now));
  EXPECT_TRUE(second.Follows(now));
  // An update sent before the second one stopped arrives late.
  EXPECT_FALSE(first.OnUpdate("b", now - Millis(50), now, now));
}

// Guards against a reader that can't keep up and prefers its own outdated
// reads.
TEST(WatchStep, StaleOwnUpdateYieldsToFreshOne)
{
  TimePoint now{ Seconds(1000) };
  WatchStep first("a");
  EXPECT_TRUE(first.OnUpdate("b", now, now - WatchStep::kMaxUpdateAge, now));
  EXPECT_TRUE(first.Follows(now));
}

} // namespace caraway
