// Requests to a server that has named a rate limit, from instances that ask for
// permits, while some of them stand still, restart, or can't reach each other.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "decide/RateReservations.h"
#include "decide/Rendezvous.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

constexpr Millis kStep{ 50 };
constexpr Millis kMostWait{ 3000 }; // of a request for its permit
// An instance that was disturbed doesn't count for this long.
constexpr Millis kExcused{ 5000 };
constexpr double kOverage = 1.5;
constexpr double kSlack = 5;
constexpr size_t kKeepersAsked = 2;

struct Node
{
  std::string mName;
  RateReservations mReservations{};
  std::deque<TimePoint> mPermits{};
  TimePoint mStartedAt{};
  TimePoint mFrozenUntil{};
  TimePoint mDisturbedAt{};
};

class LimitedFleet
{
public:
  LimitedFleet(RandomChoices& aRandom, double aLimit)
    : mRandom(aRandom)
    , mLimit(aLimit)
  {
    for (int i = 0; i < 2 + mRandom.Below(7); ++i) {
      Node node;
      node.mName = "i" + std::to_string(i);
      mNodes.push_back(std::move(node));
    }
  }

  void Step()
  {
    mNow += kStep;
    Disturb();
    for (Node& node : mNodes) {
      if (mNow < node.mFrozenUntil) {
        continue;
      }
      if (mRandom.Below(4) == 0) {
        Ask(node);
      }
      Send(node);
    }
    Judge();
  }

  bool Exceeded() const { return mExceeded; }

private:
  void Disturb()
  {
    Node& one = mNodes[static_cast<size_t>(
      mRandom.Below(static_cast<int>(mNodes.size())))];
    int what = mRandom.Below(100);
    if (what == 0) {
      one.mFrozenUntil = mNow + kStep * mRandom.Below(100);
      one.mDisturbedAt = one.mFrozenUntil;
    } else if (what == 1) {
      one.mReservations = RateReservations();
      one.mPermits.clear();
      one.mStartedAt = mNow;
      one.mDisturbedAt = mNow;
    }
  }

  // Whoever stands still doesn't answer; who has just started doesn't know what
  // was given before.
  void Ask(Node& aNode)
  {
    std::vector<std::string> names;
    for (const Node& node : mNodes) {
      names.push_back(node.mName);
    }
    for (const std::string& name : RendezvousFirst(names, "s", kKeepersAsked)) {
      Node& keeper =
        *std::find_if(mNodes.begin(), mNodes.end(), [&name](const Node& aOne) {
          return aOne.mName == name;
        });
      bool starting = keeper.mStartedAt != TimePoint() &&
                      mNow - keeper.mStartedAt < RateReservations::kSettleTime;
      if (mNow < keeper.mFrozenUntil || starting) {
        continue;
      }
      auto reservation =
        keeper.mReservations.Reserve("s", 1, mLimit, mNow + kMostWait, mNow);
      if (reservation.mAt) {
        auto& permits = aNode.mPermits;
        permits.insert(
          std::upper_bound(permits.begin(), permits.end(), *reservation.mAt),
          *reservation.mAt);
      }
      return;
    }
  }

  void Send(Node& aNode)
  {
    auto& permits = aNode.mPermits;
    while (!permits.empty() &&
           mNow - permits.front() >= RateReservations::kPermitLife) {
      permits.pop_front();
    }
    while (!permits.empty() && permits.front() <= mNow) {
      permits.pop_front();
      mSent.emplace_back(mNow, &aNode);
    }
  }

  void Judge()
  {
    while (!mSent.empty() &&
           mNow - mSent.front().first >= RateReservations::kWindow) {
      mSent.pop_front();
    }
    auto counted =
      std::count_if(mSent.begin(), mSent.end(), [this](const auto& aSent) {
        TimePoint disturbedAt = aSent.second->mDisturbedAt;
        return disturbedAt == TimePoint() || mNow - disturbedAt > kExcused;
      });
    double seconds =
      std::chrono::duration<double>(RateReservations::kWindow).count();
    mExceeded = mExceeded || static_cast<double>(counted) >
                               kOverage * mLimit * seconds + kSlack;
  }

  RandomChoices& mRandom;
  double mLimit;
  TimePoint mNow{ Seconds(1000) };
  std::deque<Node> mNodes;
  std::deque<std::pair<TimePoint, const Node*>> mSent;
  bool mExceeded = false;
};

} // namespace

// Guards against permits by which instances together send a server more than it
// bears in some window, also as the keeper of the permits changes.
RC_GTEST_PROP(RateLimitRandom, NoWindowExceedsTheBound, ())
{
  RandomChoices random = RandomChoices::OfLength(4000);
  double limit = 0.1 * (1 + random.Below(60));
  LimitedFleet fleet(random, limit);
  while (!random.Ended()) {
    fleet.Step();
  }
  RC_ASSERT(!fleet.Exceeded());
}

// Guards against a permit later than it is of use, and against fewer permits
// than the limit allows.
RC_GTEST_PROP(RateLimitRandom, PermitsAreInTimeAndNotTooFew, ())
{
  RandomChoices random = RandomChoices::OfLength(200);
  double limit = 0.5 + 0.1 * random.Below(40);
  RateReservations reservations;
  TimePoint now{ Seconds(1000) };
  TimePoint end = now + Seconds(40);
  int granted = 0;
  for (; now < end; now += kStep) {
    TimePoint by = now + Millis(50) * random.Below(20);
    auto reservation = reservations.Reserve("s", 1, limit, by, now);
    RC_ASSERT(!reservation.mAt || *reservation.mAt <= by);
    granted += reservation.mAt ? 1 : 0;
  }
  constexpr int kWindows = 9;
  RC_ASSERT(granted >= (kWindows - 1) * RequestsPerWindow(limit));
}

} // namespace caraway
