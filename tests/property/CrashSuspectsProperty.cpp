// Random fleets whose servers crash: by requests with a guilty part, and for
// any other reason. The guilty part is stopped, and no innocent one is refused
// for long.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "decide/CrashSuspects.h"

namespace caraway {

namespace {

const TimePoint kStart{ Seconds(1000) };

constexpr Millis kStep{ 10 };
constexpr Millis kUpdateInterval{ 40 };
constexpr Millis kStableWindow{ 3000 };
constexpr size_t kCrashesToStop = 5;
constexpr int kMostLater = 3;

constexpr Millis kYoungAnswer{ 1000 };

// Why servers end, besides guilty requests.
enum class Background
{
  None,
  OneByOne,   // one each second or so
  HalfAtOnce, // half of the servers, each few seconds
};

struct ModelPlan
{
  unsigned mSeed = 0;
  int mGuilty = 1;
  Background mBackground = Background::None;
  int mLossPercent = 1;    // of messages
  bool mNoHearing = false; // sabotage: good answers aren't told
};

struct ModelResult
{
  int mSentLate = 0;         // worst guilty part
  int mGuiltyRefused = 0;    // requests
  int mInnocentRefused = 0;  // requests
  int mInnocent = 0;         // requests
  Millis mLongestBlock{ 0 }; // of an innocent part, at one instance
};

class FleetModel
{
public:
  explicit FleetModel(const ModelPlan& aPlan)
    : mPlan(aPlan)
    , mRandom(aPlan.mSeed)
    , mInstances(static_cast<size_t>(Draw(1, 16)))
    , mServers(static_cast<size_t>(Draw(6, 40)))
  {
    mInnocentEvery = Draw(15, 120);
    mGuiltyEvery = Draw(200, 2500);
    mBackgroundEvery = mPlan.mBackground == Background::OneByOne
                         ? Draw(500, 1500)
                         : Draw(2500, 6000);
  }

  ModelResult Run(Seconds aTime)
  {
    for (; mNow < kStart + aTime; mNow += kStep) {
      Deliver();
      ServeRuns();
      Every(mInnocentEvery, [this] { SendInnocent(); });
      if (mPlan.mGuilty > 0) {
        Every(mGuiltyEvery, [this] { SendGuilty(); });
      }
      if (mPlan.mBackground != Background::None) {
        Every(mBackgroundEvery, [this] { CrashForAnotherReason(); });
      }
      Every(250, [this] { SendHeartbeats(); });
      if ((mNow - kStart) % kUpdateInterval == Millis(0)) {
        for (CrashSuspects& instance : mInstances) {
          instance.Update(mNow);
        }
        WatchBlocks();
      }
    }
    for (const auto& [part, crashes] : mGuiltyCrashes) {
      mResult.mSentLate = std::max(mResult.mSentLate, SentLate(part));
    }
    return mResult;
  }

private:
  struct ModelRun
  {
    size_t mInstance = 0;
    std::vector<std::string> mParts;
    TimePoint mBeginsAt{}; // its answer
    TimePoint mEndsAt{};
    bool mCrashes = false;
    bool mToldGood = false;
  };
  struct Server
  {
    int mLife = 0;
    TimePoint mUpAt{};
    std::vector<ModelRun> mRuns;
  };
  struct Message
  {
    TimePoint mAt{};
    std::function<void()> mAct;
  };

  int Draw(int aFrom, int aTo)
  {
    return std::uniform_int_distribution<int>(aFrom, aTo)(mRandom);
  }
  template<typename Act>
  void Every(int aMs, Act aAct)
  {
    if (Draw(0, aMs) < kStep.count()) {
      aAct();
    }
  }
  // To all instances but aFrom.
  void Tell(size_t aFrom,
            Millis aDelay,
            const std::function<void(CrashSuspects&)>& aRead)
  {
    for (size_t i = 0; i < mInstances.size(); ++i) {
      if (i != aFrom && Draw(1, 100) > mPlan.mLossPercent) {
        mMessages.push_back({ mNow + aDelay + Millis(Draw(1, 10)),
                              [this, i, aRead] { aRead(mInstances[i]); } });
      }
    }
  }
  void Deliver()
  {
    std::vector<Message> due;
    for (auto at = mMessages.begin(); at != mMessages.end();) {
      if (at->mAt <= mNow) {
        due.push_back(std::move(*at));
        at = mMessages.erase(at);
      } else {
        ++at;
      }
    }
    for (const Message& message : due) {
      message.mAct();
    }
  }

  // Few parts are in many requests, and many in few.
  std::string InnocentPart()
  {
    int rank = Draw(0, 3) == 0 ? Draw(0, 2) : Draw(0, 60);
    return "part" + std::to_string(rank);
  }
  void SendInnocent()
  {
    std::vector<std::string> parts = { InnocentPart() };
    if (Draw(0, 1)) {
      parts.push_back(InnocentPart());
    }
    ++mResult.mInnocent;
    mResult.mInnocentRefused += Send(parts, false) ? 0 : 1;
  }
  void SendGuilty()
  {
    std::string guilty = "guilty" + std::to_string(Draw(1, mPlan.mGuilty));
    std::vector<std::string> parts = { InnocentPart(), guilty };
    if (Draw(0, 1)) {
      std::swap(parts[0], parts[1]);
    }
    mResult.mGuiltyRefused += Send(parts, true) ? 0 : 1;
  }
  // Returns false if it is refused as its part is blocked.
  bool Send(const std::vector<std::string>& aParts, bool aCrashes)
  {
    auto at =
      static_cast<size_t>(Draw(0, static_cast<int>(mInstances.size()) - 1));
    if (!mInstances[at].Guilty(aParts).empty()) {
      return false;
    }
    Server& server = mServers[static_cast<size_t>(
      Draw(0, static_cast<int>(mServers.size()) - 1))];
    if (mNow < server.mUpAt) {
      return true; // not served, for another reason
    }
    ModelRun run;
    run.mInstance = at;
    run.mParts = aParts;
    run.mBeginsAt = mNow + Millis(Draw(10, 500));
    run.mEndsAt =
      run.mBeginsAt + Millis(aCrashes ? Draw(5, 120) : Draw(30, 3000));
    run.mCrashes = aCrashes;
    server.mRuns.push_back(run);
    if (aCrashes) {
      for (const std::string& part : aParts) {
        if (part.rfind("guilty", 0) == 0) {
          mGuiltySent[part].push_back(mNow);
        }
      }
    }
    return true;
  }
  void ServeRuns()
  {
    for (size_t i = 0; i < mServers.size(); ++i) {
      Server& server = mServers[i];
      bool crashes = std::any_of(
        server.mRuns.begin(), server.mRuns.end(), [this](const ModelRun& aRun) {
          return aRun.mCrashes && aRun.mEndsAt <= mNow;
        });
      if (crashes) {
        Crash(i);
        continue;
      }
      for (ModelRun& run : server.mRuns) {
        bool good = run.mEndsAt <= mNow ||
                    (mNow >= run.mBeginsAt + kYoungAnswer && !run.mToldGood);
        if (good && !run.mCrashes) {
          run.mToldGood = true;
          OnGoodAnswer(run);
        }
      }
      server.mRuns.erase(std::remove_if(server.mRuns.begin(),
                                        server.mRuns.end(),
                                        [this](const ModelRun& aRun) {
                                          return aRun.mEndsAt <= mNow;
                                        }),
                         server.mRuns.end());
    }
  }
  void OnGoodAnswer(const ModelRun& aRun)
  {
    for (const std::string& part : aRun.mParts) {
      std::vector<std::string> cleared =
        mInstances[aRun.mInstance].OnGoodAnswer(part);
      if (cleared.empty() || mPlan.mNoHearing) {
        continue;
      }
      Tell(aRun.mInstance,
           Millis(Draw(0, 60)),
           [this, part, cleared](CrashSuspects& aOther) {
             aOther.OnCleared(part, cleared, mNow);
           });
    }
  }
  void Crash(size_t aServer)
  {
    Server& server = mServers[aServer];
    CrashSighting crash{
      "s" + std::to_string(aServer) + "@" + std::to_string(server.mLife++), mNow
    };
    server.mUpAt = mNow + Millis(Draw(500, 4000));
    for (const ModelRun& run : server.mRuns) {
      if (run.mCrashes && run.mEndsAt <= mNow) {
        for (const std::string& part : run.mParts) {
          if (part.rfind("guilty", 0) == 0) {
            mGuiltyCrashes[part].push_back(mNow);
          }
        }
      }
    }
    std::map<size_t, std::set<std::string>> young; // parts by instance
    for (const ModelRun& run : server.mRuns) {
      if (mNow < run.mBeginsAt + kYoungAnswer) {
        young[run.mInstance].insert(run.mParts.begin(), run.mParts.end());
      }
    }
    server.mRuns.clear();
    for (const auto& entry : young) {
      size_t instance = entry.first;
      auto read = [this, parts = entry.second, crash](CrashSuspects& aOther) {
        for (const std::string& part : parts) {
          aOther.OnCrash(part, crash, mNow);
        }
      };
      read(mInstances[instance]);
      Tell(instance, Millis(40), read);
    }
  }
  void CrashForAnotherReason()
  {
    if (mPlan.mBackground == Background::OneByOne) {
      Crash(
        static_cast<size_t>(Draw(0, static_cast<int>(mServers.size()) - 1)));
      return;
    }
    for (size_t i = 0; i < mServers.size(); ++i) {
      if (Draw(0, 1)) {
        Crash(i);
      }
    }
  }
  void SendHeartbeats()
  {
    for (size_t i = 0; i < mInstances.size(); ++i) {
      for (const PartEvidence& evidence : mInstances[i].Evidence(16)) {
        Tell(i, Millis(0), [this, evidence](CrashSuspects& aOther) {
          aOther.OnTold(evidence, mNow);
        });
      }
    }
  }
  void WatchBlocks()
  {
    for (size_t i = 0; i < mInstances.size(); ++i) {
      for (int rank = 0; rank <= 60; ++rank) {
        std::string part = "part" + std::to_string(rank);
        TimePoint& since = mBlockedSince[{ i, rank }];
        // A request with this part alone.
        if (!mInstances[i].AnyBlocked() ||
            mInstances[i].Guilty({ part }).empty()) {
          since = TimePoint();
          continue;
        }
        since = since == TimePoint() ? mNow : since;
        mResult.mLongestBlock =
          std::max(mResult.mLongestBlock,
                   std::chrono::duration_cast<Millis>(mNow - since));
      }
    }
  }
  int SentLate(const std::string& aPart)
  {
    const std::vector<TimePoint>& crashes = mGuiltyCrashes[aPart];
    if (crashes.size() < kCrashesToStop) {
      return 0;
    }
    TimePoint until = crashes[kCrashesToStop - 1] + kStableWindow;
    const std::vector<TimePoint>& sent = mGuiltySent[aPart];
    return static_cast<int>(
      std::count_if(sent.begin(), sent.end(), [until](TimePoint aAt) {
        return aAt > until;
      }));
  }

  ModelPlan mPlan;
  std::mt19937 mRandom;
  std::vector<CrashSuspects> mInstances;
  std::vector<Server> mServers;
  std::deque<Message> mMessages;
  TimePoint mNow = kStart;
  int mInnocentEvery = 0;   // ms
  int mGuiltyEvery = 0;     // ms
  int mBackgroundEvery = 0; // ms
  std::map<std::string, std::vector<TimePoint>> mGuiltySent;
  std::map<std::string, std::vector<TimePoint>> mGuiltyCrashes;
  std::map<std::pair<size_t, int>, TimePoint> mBlockedSince;
  ModelResult mResult;
};

// Of many runs: the worst of each.
ModelResult
RunMany(ModelPlan aPlan, unsigned aRuns)
{
  ModelResult worst;
  for (unsigned seed = 1; seed <= aRuns; ++seed) {
    aPlan.mSeed = seed;
    ModelResult result = FleetModel(aPlan).Run(Seconds(30));
    worst.mSentLate = std::max(worst.mSentLate, result.mSentLate);
    worst.mGuiltyRefused += result.mGuiltyRefused;
    worst.mInnocent += result.mInnocent;
    worst.mInnocentRefused += result.mInnocentRefused;
    worst.mLongestBlock = std::max(worst.mLongestBlock, result.mLongestBlock);
  }
  return worst;
}

constexpr unsigned kRuns = 40;

// An innocent part that is refused for longer than this counts as refused for
// long.
constexpr Millis kLong{ 3000 };

// Innocent requests refused of all, at most one in so many.
constexpr int kInnocentShare = 500;

void
ExpectJust(const ModelResult& aWorst)
{
  EXPECT_LE(aWorst.mSentLate, kMostLater);
  EXPECT_LE(aWorst.mInnocentRefused * kInnocentShare, aWorst.mInnocent);
  EXPECT_LE(aWorst.mLongestBlock.count(), kLong.count());
}

} // namespace

// Guards against a guilty part that goes on crashing servers, and against
// innocent ones that are refused with it.
TEST(CrashSuspectsRandom, GuiltyPartIsStopped)
{
  ModelResult worst = RunMany({}, kRuns);
  ExpectJust(worst);
  EXPECT_GT(worst.mGuiltyRefused, 0);
}

// The same with several guilty parts at a time.
TEST(CrashSuspectsRandom, SeveralGuiltyPartsAreStopped)
{
  ModelPlan plan;
  plan.mGuilty = 3;
  ExpectJust(RunMany(plan, kRuns));
}

// The same while servers also end for another reason.
TEST(CrashSuspectsRandom, GuiltyPartIsStoppedAmongOtherCrashes)
{
  ModelPlan plan;
  plan.mBackground = Background::OneByOne;
  ExpectJust(RunMany(plan, kRuns));
  plan.mBackground = Background::HalfAtOnce;
  ExpectJust(RunMany(plan, kRuns));
}

// Guards against innocent parts blocked because servers end one by one, or half
// of them at once, again and again.
TEST(CrashSuspectsRandom, OtherCrashesBlockNothingForLong)
{
  ModelPlan plan;
  plan.mGuilty = 0;
  plan.mBackground = Background::OneByOne;
  ExpectJust(RunMany(plan, kRuns));
  plan.mBackground = Background::HalfAtOnce;
  ExpectJust(RunMany(plan, kRuns));
}

// The same where a tenth of the messages is lost.
TEST(CrashSuspectsRandom, LostMessagesAreMadeUpFor)
{
  ModelPlan plan;
  plan.mLossPercent = 10;
  ExpectJust(RunMany(plan, kRuns));
}

// Shows that good answers have to be told: without them innocent parts are
// blocked.
TEST(CrashSuspectsRandom, GoodAnswersAreNeeded)
{
  ModelPlan plan;
  plan.mBackground = Background::OneByOne;
  plan.mNoHearing = true;
  ModelResult worst = RunMany(plan, kRuns);
  EXPECT_GT(worst.mLongestBlock, kLong);
}

} // namespace caraway
