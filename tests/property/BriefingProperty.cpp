#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "caraway/PausedClock.h"
#include "serve/BriefingSteps.h"
#include "support/MemoryPlatform.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

// An incarnation of an instance that runs briefings.
struct Runner
{
  Runner(PlatformApi& aPlatform, const Clock& aClock)
    : mStore(aPlatform)
    , mSteps(mStore, aClock)
  {
  }
  BriefingStore mStore;
  BriefingSteps mSteps;
};

struct BriefingModel
{
  PausedClock mClock;
  MemoryPlatform mPlatform;
  std::vector<std::unique_ptr<Runner>> mRunners;
  std::vector<std::string> mAccepted;          // acknowledged to callers
  std::map<std::string, std::string> mResults; // as first read
  int mCreated = 0;
  int mRuns = 0;

  BriefingModel()
  {
    for (int i = 0; i < 2; ++i) {
      mRunners.push_back(std::make_unique<Runner>(mPlatform, mClock));
    }
  }

  // Sets random faults for this step's calls to the platform.
  void DrawFaults(RandomChoices& aChoices)
  {
    mPlatform.mOnWrite = [&aChoices](const PlatformWrite&) {
      return MemoryFaultOf(aChoices.Below(20));
    };
    mPlatform.mOnRead = [&aChoices] {
      int what = aChoices.Below(12);
      return what == 0 ? -1 : what == 1 ? 1 : 0;
    };
  }

  void Submit(Runner& aRunner)
  {
    Briefing briefing;
    briefing.mId = "b" + std::to_string(mCreated++);
    if (!FailureIn([&] { return aRunner.mStore.Store(briefing); })) {
      mAccepted.push_back(briefing.mId);
    }
  }

  // Runs the briefings of all lists. Some model calls are slow enough for
  // another runner to take the same briefing in between.
  void RunAllLists(Runner& aRunner, Runner& aOther, RandomChoices& aChoices)
  {
    for (int list = 0; list < BriefingStore::kLists; ++list) {
      auto open = Outcome([&] { return aRunner.mStore.OpenIds(list); });
      auto* ids = std::get_if<std::set<std::string>>(&open);
      for (const std::string& id : ids ? *ids : std::set<std::string>()) {
        aRunner.mSteps.Process(id, [&](const Briefing& aBriefing) {
          if (aChoices.Below(4) == 0) {
            aOther.mSteps.Process(id, [&](const Briefing& aSame) {
              return EndedBriefing(aSame, aChoices);
            });
          }
          return EndedBriefing(aBriefing, aChoices);
        });
      }
    }
  }

  std::optional<Briefing> EndedBriefing(const Briefing& aBriefing,
                                        RandomChoices& aChoices)
  {
    if (aChoices.Below(3) == 1) {
      return std::nullopt; // no capacity at the moment
    }
    Briefing ended = aBriefing;
    ended.mState = BriefingState::Done;
    ended.mAnswer = ++mRuns;
    return ended;
  }

  void Step(RandomChoices& aChoices)
  {
    DrawFaults(aChoices);
    size_t at = static_cast<size_t>(aChoices.Below(2));
    int what = aChoices.Below(10);
    if (what < 3) {
      Submit(*mRunners[at]);
    } else if (what < 6) {
      RunAllLists(*mRunners[at], *mRunners[1 - at], aChoices);
    } else if (what < 8) {
      mClock.Advance(Seconds(aChoices.Below(100)));
    } else if (what == 8 && !mPlatform.mLateWrites.empty()) {
      mPlatform.ApplyLate(0);
    } else if (what == 9) {
      mRunners[at] = std::make_unique<Runner>(mPlatform, mClock);
    }
    Check();
  }

  // All instances may die at any moment, so the stored state alone must
  // suffice.
  void Check()
  {
    for (const std::string& id : mAccepted) {
      Briefing stored =
        BriefingParse(mPlatform.CurrentObject("briefings", id).mValue);
      RC_ASSERT(stored.mId == id);
      bool ended = stored.mState != BriefingState::Accepted;
      std::string list = std::to_string(BriefingStore::ListOf(id));
      bool listed =
        mPlatform.CurrentObject("briefings-open", list).mValue.isMember(id);
      RC_ASSERT(ended || listed);
      if (ended) {
        std::string answer = stored.mAnswer.asString();
        RC_ASSERT(mResults.emplace(id, answer).first->second == answer);
      }
    }
  }
};

} // namespace

// Guards against accepted briefings that are never run, and results that change
// after they were read. Writes are lost, late, or in force without a reply,
// reads fail or are stale, two instances run the same briefing, and all may die
// at any moment: the state stored at the platform must suffice.
RC_GTEST_PROP(Briefings, AcceptedBriefingIsListedUntilItEnds, ())
{
  RandomChoices choices = RandomChoices::OfLength(600);
  BriefingModel model;
  while (!choices.Ended()) {
    model.Step(choices);
  }
  model.mPlatform.mOnWrite = nullptr;
  model.mPlatform.mOnRead = nullptr;
  model.RunAllLists(*model.mRunners[0], *model.mRunners[1], choices);
  model.Check();
  RC_ASSERT(model.mResults.size() == model.mAccepted.size());
}

// Guards against refusing a briefing that is stored: the reply to the write was
// lost, and another instance begins to run the briefing before the write is
// retried.
TEST(Briefings, RetriedStoreSucceedsAfterRunnerHasStarted)
{
  MemoryPlatform platform;
  BriefingStore store(platform);
  Briefing briefing;
  briefing.mId = "b1";
  platform.mOnWrite = [&](const PlatformWrite& aWrite) {
    if (aWrite.mKind == "briefings" && aWrite.mExpected == 0) {
      platform.Apply(aWrite);
      PlatformWrite taken = aWrite;
      taken.mExpected = platform.CurrentObject("briefings", "b1").mVersion;
      taken.mWriteId = "of-the-runner";
      platform.Apply(taken);
    }
    return MemoryFault::None;
  };
  EXPECT_FALSE(FailureIn([&] { return store.Store(briefing); }));
}

} // namespace caraway
