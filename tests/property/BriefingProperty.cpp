#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "caraway/PausedClock.h"
#include "serve/BriefingSteps.h"
#include "support/MemoryPlatform.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

// One life of an instance that runs briefings.
struct Runner
{
  Runner(PlatformApi& aPlatform, const Clock& aClock)
    : mStore(aPlatform)
    , mTurns(mStore, aClock)
  {
  }
  BriefingStore mStore;
  BriefingSteps mTurns;
};

struct World
{
  PausedClock mClock;
  MemoryPlatform mPlatform;
  std::vector<std::unique_ptr<Runner>> mRunners;
  std::vector<std::string> mAccepted;         // callers were told
  std::map<std::string, std::string> mEnding; // as first read
  int mMade = 0;
  int mRuns = 0;

  World()
  {
    for (int i = 0; i < 2; ++i) {
      mRunners.push_back(std::make_unique<Runner>(mPlatform, mClock));
    }
  }

  void DrawFaults(RandomChoices& aTape)
  {
    mPlatform.mOnWrite = [&aTape](const PlatformWrite&) {
      return MemoryFaultOf(aTape.Below(20));
    };
    mPlatform.mOnRead = [&aTape] {
      int what = aTape.Below(12);
      return what == 0 ? -1 : what == 1 ? 1 : 0;
    };
  }

  void Ask(Runner& aAt)
  {
    Briefing briefing;
    briefing.mId = "b" + std::to_string(mMade++);
    if (!FailureIn([&] { return aAt.mStore.Keep(briefing); })) {
      mAccepted.push_back(briefing.mId);
    }
  }

  // A round over all lists; aLong: the model call is slow enough for another
  // runner to do the same in the middle.
  void Round(Runner& aRunner, Runner& aOther, RandomChoices& aTape)
  {
    for (int list = 0; list < BriefingStore::kLists; ++list) {
      auto open = Outcome([&] { return aRunner.mStore.Open(list); });
      auto* ids = std::get_if<std::set<std::string>>(&open);
      for (const std::string& id : ids ? *ids : std::set<std::string>()) {
        aRunner.mTurns.Take(id, [&](const Briefing& aBriefing) {
          if (aTape.Below(4) == 0) {
            aOther.mTurns.Take(
              id, [&](const Briefing& aSame) { return Ending(aSame, aTape); });
          }
          return Ending(aBriefing, aTape);
        });
      }
    }
  }

  std::optional<Briefing> Ending(const Briefing& aBriefing,
                                 RandomChoices& aTape)
  {
    if (aTape.Below(3) == 1) {
      return std::nullopt; // no capacity for now
    }
    Briefing ended = aBriefing;
    ended.mState = BriefingState::Done;
    ended.mAnswer = ++mRuns;
    return ended;
  }

  void Step(RandomChoices& aTape)
  {
    DrawFaults(aTape);
    size_t at = static_cast<size_t>(aTape.Below(2));
    int what = aTape.Below(10);
    if (what < 3) {
      Ask(*mRunners[at]);
    } else if (what < 6) {
      Round(*mRunners[at], *mRunners[1 - at], aTape);
    } else if (what < 8) {
      mClock.Advance(Seconds(aTape.Below(100)));
    } else if (what == 8 && !mPlatform.mLate.empty()) {
      mPlatform.ApplyLate(0);
    } else if (what == 9) {
      mRunners[at] = std::make_unique<Runner>(mPlatform, mClock);
    }
    Check();
  }

  // Whatever stands at the platform at this moment: all instances may die now.
  void Check()
  {
    for (const std::string& id : mAccepted) {
      Briefing stands =
        BriefingParse(mPlatform.Standing("briefings", id).mValue);
      RC_ASSERT(stands.mId == id);
      bool ended = stands.mState != BriefingState::Accepted;
      std::string list = std::to_string(BriefingStore::ListOf(id));
      bool listed =
        mPlatform.Standing("briefings-open", list).mValue.isMember(id);
      RC_ASSERT(ended || listed);
      if (ended) {
        std::string answer = stands.mAnswer.asString();
        RC_ASSERT(mEnding.emplace(id, answer).first->second == answer);
      }
    }
  }
};

} // namespace

// What a planner would see: a briefing that was accepted and is never run, or
// a result that changes after it was read. Writes are lost, late, or in force
// without an answer, reads are out or behind, two instances run the same one,
// and all may die at any moment: what stands at the platform must do.
RC_GTEST_PROP(Briefings, AcceptedIsListedUntilItHasEnded, ())
{
  RandomChoices tape = RandomChoices::OfLength(600);
  World world;
  while (!tape.Ended()) {
    world.Step(tape);
  }
  world.mPlatform.mOnWrite = nullptr;
  world.mPlatform.mOnRead = nullptr;
  world.Round(*world.mRunners[0], *world.mRunners[1], tape);
  world.Check();
  RC_ASSERT(world.mEnding.size() == world.mAccepted.size());
}

// Guards against a refusal of what is kept: the answer of the write was lost,
// and before it is sent again another instance has begun to run the briefing.
TEST(Briefings, KeptAndTakenUpBeforeItsAnswerIsKept)
{
  MemoryPlatform platform;
  BriefingStore store(platform);
  Briefing briefing;
  briefing.mId = "b1";
  platform.mOnWrite = [&](const PlatformWrite& aWrite) {
    if (aWrite.mKind == "briefings" && aWrite.mExpected == 0) {
      platform.Apply(aWrite);
      PlatformWrite taken = aWrite;
      taken.mExpected = platform.Standing("briefings", "b1").mVersion;
      taken.mWriteId = "of-the-runner";
      platform.Apply(taken);
    }
    return MemoryFault::None;
  };
  EXPECT_FALSE(FailureIn([&] { return store.Keep(briefing); }));
}

} // namespace caraway
