// Denials by instances of a fleet that stand still, join, restart and are cut
// off from the store while operators change the configuration.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "decide/FeedFreshness.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

constexpr Millis kStep{ 50 };
constexpr Millis kLimit{ 2000 };
constexpr Millis kCheckTime{ 500 };
constexpr int kMaxInstances = 8;

// An instance that is in contact with the store is behind it by this much.
constexpr int kFeedLagSteps = 10;

struct Instance
{
  FeedFreshness mFreshness{};
  int mVersion = 0;
  TimePoint mFrozenUntil{};
  TimePoint mRanAt{};
  TimePoint mCheckEndsAt{};
  bool mChecking = false;
  bool mCutOff = false;
  bool mMuted = false; // its watch of the configuration died silently
};

class ConfigFleet
{
public:
  explicit ConfigFleet(RandomChoices& aRandom)
    : mRandom(aRandom)
  {
    for (int i = 0; i < 1 + mRandom.Below(kMaxInstances); ++i) {
      Restart(mInstances.emplace_back());
    }
  }

  void Step()
  {
    mNow += kStep;
    Disturb();
    for (Instance& instance : mInstances) {
      if (mNow >= instance.mFrozenUntil) {
        Run(instance);
      }
    }
  }

  int Wrong() const { return mWrong; }
  // Denials that an instance in contact with the store has put off for longer
  // than a check takes.
  int PutOff() const { return mPutOff; }

private:
  void Restart(Instance& aInstance)
  {
    int copy = mVersions.empty() ? 0 : mRandom.Below(Newest() + 1);
    bool cutOff = aInstance.mCutOff;
    aInstance = Instance();
    aInstance.mCutOff = cutOff;
    aInstance.mFreshness.Configure(kLimit);
    aInstance.mFreshness.OnHeldUp(mNow);
    aInstance.mRanAt = mNow;
    aInstance.mVersion = copy; // another instance's, however old
  }

  int Newest() const { return static_cast<int>(mVersions.size()) - 1; }

  void Disturb()
  {
    if (mRandom.Below(20) == 0) {
      mVersions.push_back(mNow);
    }
    Instance& one = mInstances[static_cast<size_t>(
      mRandom.Below(static_cast<int>(mInstances.size())))];
    switch (mRandom.Below(40)) {
      case 0:
        one.mFrozenUntil = mNow + kStep * mRandom.Below(100);
        break;
      case 1:
        one.mCutOff = !one.mCutOff;
        break;
      case 2:
        one.mMuted = !one.mMuted;
        break;
      case 3:
        Restart(one);
        break;
      default:
        break;
    }
  }

  void Run(Instance& aInstance)
  {
    if (mNow - aInstance.mRanAt >= Millis(500)) {
      aInstance.mFreshness.OnHeldUp(mNow);
    }
    aInstance.mRanAt = mNow;
    bool delivers = !aInstance.mCutOff && !aInstance.mMuted;
    if (delivers && mRandom.Below(kFeedLagSteps) == 0) {
      Read(aInstance);
    }
    EndCheck(aInstance);
    Deny(aInstance);
  }

  void Read(Instance& aInstance)
  {
    aInstance.mVersion = Newest();
    aInstance.mFreshness.OnConfirmed(mNow);
  }

  void EndCheck(Instance& aInstance)
  {
    if (!aInstance.mChecking) {
      return;
    }
    if (!aInstance.mCutOff) {
      Read(aInstance);
      aInstance.mChecking = false;
    } else if (mNow >= aInstance.mCheckEndsAt) {
      aInstance.mFreshness.OnCheckFailed(mNow);
      aInstance.mChecking = false;
    }
  }

  // A request that was sent a moment ago is denied by the version in force.
  void Deny(Instance& aInstance)
  {
    auto verdict = aInstance.mFreshness.ToDeny(mNow);
    if (verdict == FeedFreshness::Verdict::Check && !aInstance.mChecking) {
      aInstance.mChecking = true;
      aInstance.mCheckEndsAt = mNow + kCheckTime;
    }
    if (verdict != FeedFreshness::Verdict::Rely) {
      mPutOff += !aInstance.mCutOff && !aInstance.mChecking &&
                     verdict == FeedFreshness::Verdict::Check
                   ? 1
                   : 0;
      return;
    }
    bool outdated =
      aInstance.mVersion < Newest() &&
      mNow - mVersions[static_cast<size_t>(aInstance.mVersion) + 1] > kLimit;
    mWrong += outdated ? 1 : 0;
  }

  RandomChoices& mRandom;
  TimePoint mNow{ Seconds(1000) };
  std::vector<TimePoint> mVersions{ mNow }; // when each was acknowledged
  std::vector<Instance> mInstances;
  int mWrong = 0;
  int mPutOff = 0;
};

} // namespace

// Guards against a denial by a version that was replaced longer ago than the
// limit, at any instance, in contact with the store or not.
RC_GTEST_PROP(FeedFreshness, NobodyDeniesByAnOutdatedVersion, ())
{
  RandomChoices random = RandomChoices::OfLength(3000);
  ConfigFleet fleet(random);
  while (!random.Ended()) {
    fleet.Step();
  }
  RC_ASSERT(fleet.Wrong() == 0);
  RC_ASSERT(fleet.PutOff() == 0);
}

} // namespace caraway
