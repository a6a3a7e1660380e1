// Requests with one part in their prompts crash each server that begins to
// answer them. They come at any instance, no two alike; sound requests share
// their key, their first part or another one with them.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

constexpr char kGuilty[] = "bad0";

// Requests may reach servers for this long after the fifth crash, and
// kMostLater of them afterwards.
constexpr Millis kStableWindow{ 3000 };
constexpr size_t kCrashesToStop = 5;
constexpr int kMostLater = 3;

constexpr Millis kBackAfter{ 400 };

// From a server's start until its entry is in the store.
constexpr Millis kEntryDelay{ 50 };

std::vector<HttpField>
Prompt(const std::string& aParts)
{
  return { { wire::kModel, "m0" },
           { wire::kTokens, "100,50" },
           { wire::kPromptParts, aParts } };
}

class CrashingParts : public testing::Test
{
protected:
  explicit CrashingParts(EntryFleetOptions aOptions = Options())
    : mFleet(std::move(aOptions))
  {
    for (auto& engine : mFleet.mEngines) {
      engine->mCrashPart = kGuilty;
      engine->mDownTime = kBackAfter;
      engine->mOnBack = [this](StandInServer& aEngine) {
        mFleet.mReactor.After(kEntryDelay, [this, &aEngine] {
          mFleet.List(aEngine, "engine", "a");
        });
      };
    }
    mFleet.AwaitReady();
  }
  static EntryFleetOptions Options()
  {
    EntryFleetOptions options;
    options.mInstances = 8;
    options.mEngines = 10;
    options.mStep = Millis(1);
    return options;
  }

  // Sends aCount requests with the guilty part, one each aEvery at one instance
  // after the other, and two sound ones beside each.
  void SendMixed(const std::string& aPath, int aCount, Millis aEvery)
  {
    for (int i = 0; i < aCount; ++i) {
      std::string n = std::to_string(++mNumber);
      SendGuilty(aPath, n);
      SendSound(aPath, n);
      mFleet.RunFor(aEvery);
    }
  }
  void SendGuilty(const std::string& aPath, const std::string& aNumber)
  {
    mGuilty.push_back(
      mFleet.Send(Next(0),
                  aPath,
                  "b" + aNumber,
                  Prompt("aa11:60,bad0:30,f" + aNumber + ":1")));
  }
  void SendSound(const std::string& aPath, const std::string& aNumber)
  {
    mSound.push_back(mFleet.Send(Next(3),
                                 aPath,
                                 "s" + aNumber,
                                 Prompt("aa11:60,cc22:30,e" + aNumber + ":1")));
    mSound.push_back(mFleet.Send(Next(5),
                                 aPath,
                                 "o" + aNumber,
                                 Prompt("dd11:60,cc22:30,d" + aNumber + ":1")));
  }
  size_t Next(int aOffset) const
  {
    return static_cast<size_t>(mNumber + aOffset) % mFleet.Instances();
  }

  std::vector<ServerCrashRecord> Crashes() const
  {
    std::vector<ServerCrashRecord> crashes;
    for (const auto& engine : mFleet.mEngines) {
      crashes.insert(
        crashes.end(), engine->mCrashes.begin(), engine->mCrashes.end());
    }
    std::sort(
      crashes.begin(), crashes.end(), [](const auto& aOne, const auto& aOther) {
        return aOne.mAt < aOther.mAt;
      });
    return crashes;
  }
  // Requests with the guilty part that reached servers too late.
  int SentTooLate() const
  {
    std::vector<ServerCrashRecord> crashes = Crashes();
    if (crashes.size() <= kCrashesToStop) {
      return 0;
    }
    TimePoint until = crashes[kCrashesToStop - 1].mAt + kStableWindow;
    return static_cast<int>(std::count_if(
      crashes.begin(), crashes.end(), [until](const auto& aCrash) {
        return aCrash.mReceivedAt > until;
      }));
  }
  static size_t Served(const std::vector<TestCallPtr>& aCalls)
  {
    return static_cast<size_t>(
      std::count_if(aCalls.begin(), aCalls.end(), [](const TestCallPtr& aCall) {
        return aCall->mComplete && aCall->mStatus == 200;
      }));
  }

  EntryTestFleet mFleet;
  int mNumber = 0;
  std::vector<TestCallPtr> mGuilty;
  std::vector<TestCallPtr> mSound;
};

} // namespace

// Guards against streams that crash server after server for good, as each is a
// new request at another instance (BUDGET).
TEST_F(CrashingParts, StreamsAreStopped)
{
  SendMixed("/stream/stream", 40, Millis(300));
  EXPECT_LE(SentTooLate(), kMostLater) << Crashes().size() << " crashes";
}

// Guards against resumable streams that crash a second server each, as they are
// resumed there (BUDGET).
TEST_F(CrashingParts, ResumableStreamsAreStopped)
{
  SendMixed("/resume/stream", 40, Millis(300));
  EXPECT_LE(SentTooLate(), kMostLater) << Crashes().size() << " crashes";
}

} // namespace caraway
