// The choice among servers that report their pace, by many instances at once.

#include <gtest/gtest.h>

#include <functional>

#include "decide/ServerView.h"

namespace caraway {

namespace {

constexpr int kChoosers = 80;
constexpr int kServers = 6;
constexpr int kSlots = 12;
constexpr double kSlow = 2.5;
const TimePoint kStart = TimePoint(Seconds(1000));
const ServerLoadReport kFull{ kSlots, 0, kSlots, 1 };
const ServerLoadReport kIdle{ 0, 0, kSlots, 1 };

void
AddServers(ServerView& aView, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    BackendEntry entry;
    entry.mId = "s" + std::to_string(i);
    entry.mService = "llm";
    entry.mSlots = kSlots;
    entry.mModels["m"] = {};
    aView.Put(entry, kStart);
  }
}

ServerRequirements
Requirements()
{
  ServerRequirements requirements;
  requirements.mService = "llm";
  requirements.mModel = "m";
  requirements.mMaxPerSlot = 1.1;
  requirements.mInstances = kChoosers;
  return requirements;
}

// 30 requests a second for one model, which take 1 s on a server of usual pace.
// 15% of the servers work 2.5 times slower, others every 600 ms. Peers' counts
// are up to 2.5 s old, relayed reports 400 ms.
struct Load
{
  void Run()
  {
    std::exponential_distribution<double> gap(30);
    for (ServerView& view : mViews) {
      AddServers(view, kServers);
    }
    TimePoint next = kStart;
    for (; mNow < kStart + Seconds(60); mNow += Millis(1)) {
      Tick((mNow - kStart) / Millis(1));
      for (; next <= mNow; next += Micros(int64_t(1e6 * gap(mRandom)))) {
        Arrive(mViews[mRandom() % kChoosers]);
      }
    }
  }

  void Tick(int64_t aTick)
  {
    for (; !mLater.empty() && mLater.begin()->first <= mNow;
         mLater.erase(mLater.begin())) {
      mLater.begin()->second();
    }
    if (aTick % 100 == 0) {
      mPace[mNextPace++ % kServers] = mRandom() % 100 < 15 ? kSlow : 1;
    }
    if (aTick % (2500 / kChoosers) == 0) {
      size_t from = mNextSender++ % kChoosers;
      InFlightCounts counts;
      for (const auto& [id, backend] : mViews[from].All()) {
        counts[id] = backend.mOwnRequests;
      }
      for (size_t i = 0; i < kChoosers; ++i) {
        if (i != from) {
          mViews[i].PutPeerRequests(std::to_string(from), counts);
        }
      }
    }
    auto [least, most] = std::minmax_element(mRunning.begin(), mRunning.end());
    mSpread += *most - *least;
  }

  void Arrive(ServerView& aView)
  {
    Backend* chosen = aView.Choose(Requirements(), mNow, mRandom).mBackend;
    if (!chosen) {
      return;
    }
    std::string id = chosen->mEntry.mId;
    size_t i = std::stoul(id.substr(1));
    double pace = mPace[i] * mSteady[i];
    bool full = mRunning[i] >= kSlots;
    mRunning[i] += full ? 0 : 1;
    ++mSent[i];
    Tell(aView,
         id,
         mLies[i].value_or(ServerLoadReport{ mRunning[i], 0, kSlots, pace }));
    if (full) {
      ++mRejected;
      aView.OnRejected(id, kChoosers, mNow);
      return;
    }
    aView.OnRequestBegan(id, "m", mNow);
    mLater.emplace(mNow + Millis(int64_t(1000 * pace)), [this, &aView, i, id] {
      --mRunning[i];
      aView.OnRequestEnded(id, "m");
      aView.OnSlotFreed(id, mNow);
    });
  }

  void Tell(ServerView& aView, const std::string& aId, ServerLoadReport aReport)
  {
    if (!mReports) {
      return;
    }
    aView.OnLoadReport(aId, aReport, mNow);
    mLater.emplace(mNow + Millis(400), [this, aId, aReport, at = mNow] {
      for (ServerView& view : mViews) {
        view.OnLoadReport(aId, aReport, at);
      }
    });
  }

  bool mReports = true;
  std::vector<double> mSteady = std::vector<double>(kServers, 1); // pace
  std::vector<std::optional<ServerLoadReport>> mLies{ kServers };
  int mRejected = 0;
  int64_t mSpread = 0; // sum of the differences of requests at servers
  std::vector<int> mSent = std::vector<int>(kServers);

  std::vector<ServerView> mViews = std::vector<ServerView>(kChoosers);
  std::vector<int> mRunning = std::vector<int>(kServers);
  std::vector<double> mPace = std::vector<double>(kServers, 1);
  std::multimap<TimePoint, std::function<void()>> mLater;
  std::mt19937 mRandom{ 20261203 };
  TimePoint mNow = kStart;
  size_t mNextPace = 0;
  size_t mNextSender = 0;
};

} // namespace

// Guards against instances that all send to the server that was the best a
// moment ago, and to servers that are full.
TEST(PacedChoice, SpreadsBetterThanTheBestOfAll)
{
  Load before;
  before.mReports = false;
  before.Run();
  Load now;
  now.Run();
  EXPECT_LT(now.mRejected * 5, before.mRejected);
  EXPECT_LT(now.mSpread * 4, before.mSpread * 3);
}

// Guards against a server that is always slow and gets as many requests as the
// others, or none and so no chance to be found mended.
TEST(PacedChoice, SlowServersGetLess)
{
  Load load;
  load.mSteady[0] = kSlow;
  load.Run();
  EXPECT_LT(load.mSent[0] * 2, load.mSent[1]);
  EXPECT_GT(load.mSent[0], 10);
}

// Guards against a false figure that attracts all requests or keeps all away.
TEST(PacedChoice, FalseReportsNeitherAttractNorExclude)
{
  Load load;
  load.mLies[0] = ServerLoadReport{ 0, 0, kSlots, 0.1 };
  load.mLies[1] = ServerLoadReport{ 0, 0, kSlots, 100 };
  load.Run();
  EXPECT_LT(load.mSent[0], load.mSent[2] * 2);
  EXPECT_GT(load.mSent[1], 10);
}

// Guards against a request to a server that has just said that it is full, or
// rejected another.
TEST(PacedChoice, FullServersGetNothing)
{
  ServerView view;
  AddServers(view, 1);
  std::mt19937 random;
  auto chosen = [&](Millis aAt) {
    return view.Choose(Requirements(), kStart + aAt, random).mBackend !=
           nullptr;
  };
  view.OnLoadReport("s0", kFull, kStart);
  EXPECT_FALSE(chosen(Millis(1000)));
  EXPECT_TRUE(chosen(Millis(1001)));
  view.OnSlotFreed("s0", kStart + Millis(10));
  EXPECT_TRUE(chosen(Millis(20)));
  view.OnSlotTaken("s0", kStart + Millis(20));
  EXPECT_FALSE(chosen(Millis(30)));
  view.OnLoadReport("s0", kIdle, kStart + Millis(40));
  EXPECT_TRUE(chosen(Millis(50)));
  view.OnRejected("s0", kChoosers, kStart + Millis(60));
  view.OnLoadReport("s0", kIdle, kStart + Millis(70));
  EXPECT_FALSE(chosen(Millis(259)));
  EXPECT_TRUE(chosen(Millis(260)));
}

// Guards against an effect of figures without a pace, as older servers tell.
TEST(PacedChoice, ServersWithoutPaceAreChosenAsBefore)
{
  ServerView with;
  ServerView without;
  std::mt19937 one;
  std::mt19937 other;
  AddServers(with, kServers);
  AddServers(without, kServers);
  ServerLoadReport full = kFull;
  full.mPace.reset();
  for (int i = 0; i < 100; ++i) {
    with.OnLoadReport("s" + std::to_string(i % 4), full, kStart);
    Backend* chosen = with.Choose(Requirements(), kStart, one).mBackend;
    Backend* same = without.Choose(Requirements(), kStart, other).mBackend;
    ASSERT_EQ(chosen == nullptr, same == nullptr);
    if (chosen) {
      EXPECT_EQ(same->mEntry.mId, chosen->mEntry.mId);
      with.OnRequestBegan(chosen->mEntry.mId, "m", kStart);
      without.OnRequestBegan(chosen->mEntry.mId, "m", kStart);
    }
  }
}

} // namespace caraway
