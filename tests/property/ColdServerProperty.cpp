// Requests to cold servers of a fleet whose instances send whenever their
// permits allow.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <set>
#include <vector>

#include "decide/ColdServerLimit.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

constexpr Millis kStep{ 100 };
constexpr Millis kReadInterval{ 10000 };
// Silent instances are removed from the list after this time.
constexpr Millis kRemovalTime{ 7000 };
constexpr int kMaxInstances = 10;
constexpr double kPerSecond = 8.2;
constexpr double kOverage = 1.5;
constexpr double kSlack = 5;

struct Member
{
  std::string mName;
  std::string mZone;
  ColdServerLimit mLimit{};
  TimePoint mReadAt{}; // of the next list
  TimePoint mFrozenUntil{};
  TimePoint mHeardAt{};
  bool mCutOff = false; // on the other side of the partition than the store
  bool mGone = false;
  bool mCounted = false;
};

class ColdFleet
{
public:
  explicit ColdFleet(RandomChoices& aRandom)
    : mRandom(aRandom)
  {
    for (int i = 0; i < 1 + mRandom.Below(6); ++i) {
      Join();
    }
  }

  void Step()
  {
    mNow += kStep;
    if (mRandom.Below(6) == 0) {
      Disturb();
    }
    for (Member& member : mMembers) {
      if (Runs(member)) {
        RunOne(member);
      }
      if (InContact(member)) {
        member.mHeardAt = mNow;
      } else if (mNow - member.mHeardAt > kRemovalTime) {
        mListed.erase(member.mName);
      }
    }
  }

  // Most requests to one server in a second.
  size_t Most() const { return mMost; }

private:
  bool Runs(const Member& aMember) const
  {
    return !aMember.mGone && mNow >= aMember.mFrozenUntil;
  }
  bool InContact(const Member& aMember) const
  {
    return Runs(aMember) && !aMember.mCutOff;
  }

  void Join()
  {
    if (mMembers.size() >= kMaxInstances) {
      return;
    }
    Member member;
    member.mName = "i" + std::to_string(mMembers.size());
    member.mZone = mRandom.Below(3) == 0 ? "b" : "a";
    member.mLimit.Configure({ member.mName, member.mZone, kOverage, kSlack });
    member.mHeardAt = mNow;
    mListed.insert(member.mName);
    mMembers.push_back(std::move(member));
  }

  void Disturb()
  {
    Member& one = mMembers[static_cast<size_t>(
      mRandom.Below(static_cast<int>(mMembers.size())))];
    int what = mRandom.Below(5);
    if (what == 0) {
      Join();
    } else if (what == 1 && mMembers.size() > 2) {
      one.mGone = true;
      mListed.erase(one.mName);
    } else if (what == 2) {
      one.mFrozenUntil = mNow + Millis(500) * mRandom.Below(30);
    } else if (what > 2) {
      Partition();
    }
  }

  // Whoever is back in contact reads the list within a second, before the next
  // partition.
  void Partition()
  {
    if (mNow < mNextPartition) {
      return;
    }
    mParted = !mParted;
    mNextPartition = mNow + (mParted ? Millis(0) : Seconds(2));
    for (Member& member : mMembers) {
      member.mCutOff = mParted && mRandom.Below(2) == 0;
      member.mReadAt = std::min(member.mReadAt, mNow + Seconds(1));
    }
  }

  void RunOne(Member& aMember)
  {
    if (!aMember.mLimit.OnRunning(mNow)) {
      aMember.mReadAt = mNow;
      aMember.mCounted = false;
    }
    if (!aMember.mCutOff) {
      ReadList(aMember);
      BeCounted(aMember);
    }
    for (const char* zone : { "a", "c" }) {
      Send(aMember, zone);
    }
  }

  void ReadList(Member& aMember)
  {
    if (mNow < aMember.mReadAt) {
      return;
    }
    InstancesByZone instances;
    for (const Member& other : mMembers) {
      if (mListed.count(other.mName)) {
        instances[other.mZone].push_back(other.mName);
      }
    }
    aMember.mLimit.OnListed(instances, mNow, mNow);
    aMember.mReadAt = mNow + Millis(kReadInterval / 4) * mRandom.Below(5);
    if (mListed.insert(aMember.mName).second) {
      aMember.mCounted = false; // it had been removed, and joins again
      aMember.mReadAt = mNow;
    }
  }

  // All listed instances of the zone have to confirm that they count it.
  void BeCounted(Member& aMember)
  {
    if (aMember.mCounted) {
      aMember.mLimit.OnCounted(mNow);
      return;
    }
    auto listed = [&](const Member& aOther) {
      return aOther.mZone == aMember.mZone && mListed.count(aOther.mName);
    };
    for (Member& other : mMembers) {
      if (listed(other) && !InContact(other)) {
        return;
      }
    }
    for (Member& other : mMembers) {
      if (listed(other)) {
        other.mLimit.OnNewcomer(aMember.mName, mNow);
      }
    }
    aMember.mCounted = true;
  }

  // Zone c has servers, but no instance.
  void Send(Member& aMember, const std::string& aZone)
  {
    std::deque<TimePoint>& sent = mSent[aZone];
    while (!sent.empty() && mNow - sent.front() >= Seconds(1)) {
      sent.pop_front();
    }
    auto next = aMember.mLimit.NextPermit(aZone, aZone, kPerSecond, mNow);
    while (next && *next <= mNow) {
      aMember.mLimit.Spend(aZone, mNow);
      sent.push_back(mNow);
      next = aMember.mLimit.NextPermit(aZone, aZone, kPerSecond, mNow);
    }
    mMost = std::max(mMost, sent.size());
  }

  RandomChoices& mRandom;
  TimePoint mNow{ Seconds(1000) };
  std::deque<Member> mMembers;
  std::set<std::string> mListed;                      // in the store
  std::map<std::string, std::deque<TimePoint>> mSent; // by zone of the server
  TimePoint mNextPartition{};
  bool mParted = false;
  size_t mMost = 0;
};

} // namespace

// Guards against a division of the permits by which all instances together send
// a cold server more than it bears in some second: instances join, leave and
// freeze, and a partition splits them into two views of the list.
RC_GTEST_PROP(ColdServerRandom, NoSecondExceedsTheBound, ())
{
  RandomChoices random = RandomChoices::OfLength(800);
  ColdFleet fleet(random);
  while (!random.Ended()) {
    fleet.Step();
  }
  RC_ASSERT(static_cast<double>(fleet.Most()) <=
            kPerSecond * kOverage + kSlack);
}

} // namespace caraway
