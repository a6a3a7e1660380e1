// A lease in the object store has one holder at a time, even when calls are
// lost or late and processes pause, are killed or restart.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <vector>

#include "decide/LeaseStep.h"

namespace caraway {

namespace {

constexpr Millis kStep{ 50 };

// The lease object in the store.
struct LeaseObject
{
  std::optional<LeaseRecord> mRecord;
  int64_t mRevision = 0;

  // The new revision, or nullopt if the condition doesn't hold.
  std::optional<int64_t> Write(const LeaseRecord& aWanted)
  {
    int64_t now = mRecord ? mRecord->mRevision : 0;
    if (aWanted.mRevision != now) {
      return std::nullopt;
    }
    mRecord = aWanted;
    mRecord->mRevision = ++mRevision;
    return mRevision;
  }
};

// Candidate "c" leaves a free lease to the others.
LeaseTimes
TimesOf(const std::string& aName)
{
  LeaseTimes times;
  times.mYield = aName == "c" ? Millis(400) : Millis(0);
  return times;
}

struct Candidate
{
  explicit Candidate(std::string aName)
    : mName(std::move(aName))
    , mStep(mName, TimesOf(mName))
  {
  }
  std::string mName;
  LeaseStep mStep;
  TimePoint mPausedUntil{};
  TimePoint mTurnedAwayUntil{}; // the store refuses its calls
};

struct LateWrite
{
  TimePoint mAt;
  LeaseRecord mRecord;
};

// An announcement that a lease has expired, on its way to one candidate.
struct Announcement
{
  TimePoint mAt;
  size_t mTo = 0;
  std::string mHolder;
  int64_t mToken = 0;
};

} // namespace

// Guards against two holders that act at once, or under the same token, when
// processes pause or restart and writes are carried out late.
RC_GTEST_PROP(LeaseStepRandom, OneActsAtATimeUnderRisingTokens, ())
{
  LeaseObject object;
  std::vector<Candidate> candidates;
  for (const char* name : { "a", "b", "c" }) {
    candidates.emplace_back(name);
  }
  std::vector<LateWrite> late;
  std::vector<Announcement> announced;
  TimePoint now{ Seconds(1000) };
  std::string lastActor;
  TimePoint lastActed{};
  int64_t lastToken = 0;
  auto chance = [](int aOf) { return *rc::gen::inRange(0, aOf) == 0; };
  for (int round = 0; round < 600; ++round, now += kStep) {
    for (auto at = late.begin(); at != late.end();) {
      if (at->mAt <= now) {
        object.Write(at->mRecord);
        at = late.erase(at);
      } else {
        ++at;
      }
    }
    for (auto at = announced.begin(); at != announced.end();) {
      Candidate& to = candidates[at->mTo];
      if (at->mAt <= now && now >= to.mPausedUntil) {
        if (to.mName != at->mHolder) {
          to.mStep.OnHolderExpired(at->mHolder, at->mToken, now);
        }
        at = announced.erase(at);
      } else {
        ++at;
      }
    }
    size_t pick = *rc::gen::inRange<size_t>(0, candidates.size());
    Candidate& unlucky = candidates[pick];
    if (chance(150)) {
      unlucky.mPausedUntil = now + Millis(*rc::gen::inRange(100, 9000));
    }
    if (chance(30)) {
      unlucky.mStep.RequestRenewal(now);
    }
    if (chance(100)) {
      unlucky.mTurnedAwayUntil = now + Millis(*rc::gen::inRange(100, 12000));
    }
    if (chance(250)) { // killed, and restarted under the same name
      unlucky = Candidate(unlucky.mName);
    }
    for (Candidate& candidate : candidates) {
      if (now < candidate.mPausedUntil) {
        continue;
      }
      LeaseStep& step = candidate.mStep;
      if (step.MayAct(now)) {
        RC_ASSERT(step.Token() >= lastToken);
        if (!lastActor.empty() && lastActor != candidate.mName) {
          RC_ASSERT(now - lastActed >= LeaseTimes().mSilence);
          RC_ASSERT(step.Token() > lastToken);
        }
        lastActor = candidate.mName;
        lastActed = now;
        lastToken = step.Token();
      }
      for (size_t to = 0; to < candidates.size(); ++to) {
        if (step.ExpiredToken() > 0 && chance(4)) {
          Millis delay(*rc::gen::inRange(0, 3000));
          announced.push_back(
            { now + delay, to, candidate.mName, step.ExpiredToken() });
        }
      }
      LeaseAction action = step.Due(now);
      if (action == LeaseAction::Read) {
        if (chance(8) || now < candidate.mTurnedAwayUntil) {
          step.OnFailed(now);
        } else {
          step.OnRead(object.mRecord, now);
        }
      } else if (action == LeaseAction::Write) {
        LeaseRecord wanted = step.WantedRecord();
        if (now < candidate.mTurnedAwayUntil) {
          step.OnFailed(now);
        } else if (chance(8)) { // carried out now or later, and not answered
          late.push_back({ now + Millis(*rc::gen::inRange(0, 8000)), wanted });
          step.OnFailed(now);
        } else if (auto revision = object.Write(wanted)) {
          step.OnWritten(*revision, now, now);
        } else {
          step.OnConflict(object.mRecord, now);
        }
      }
    }
  }
}

namespace {

void
CarryOutDue(LeaseStep& aStep, LeaseObject& aObject, TimePoint aNow)
{
  LeaseAction action = aStep.Due(aNow);
  if (action == LeaseAction::Read) {
    aStep.OnRead(aObject.mRecord, aNow);
  } else if (action == LeaseAction::Write) {
    if (auto revision = aObject.Write(aStep.WantedRecord())) {
      aStep.OnWritten(*revision, aNow, aNow);
    } else {
      aStep.OnConflict(aObject.mRecord, aNow);
    }
  }
}

} // namespace

// Guards against waiting for a whole lease length after a release: another
// instance that read the lease before the release acquires it at its next
// check.
TEST(LeaseStep, ReleasedLeaseIsAcquiredSoon)
{
  LeaseObject object;
  LeaseStep first("a", LeaseTimes());
  LeaseStep second("b", LeaseTimes());
  TimePoint now{ Seconds(1000) };
  CarryOutDue(first, object, now);
  CarryOutDue(first, object, now);
  ASSERT_TRUE(first.Holds(now));
  CarryOutDue(second, object, now); // reads it, and waits
  CarryOutDue(second, object, now);
  second.OnHolderAnnounced("a", now);
  now += Millis(300);
  first.Release(now);
  CarryOutDue(first, object, now);
  ASSERT_TRUE(first.Released());
  second.OnHolderReleased(now);
  for (int i = 0; i < 4; ++i, now += Millis(100)) {
    CarryOutDue(second, object, now);
  }
  EXPECT_TRUE(second.Holds(now));
  EXPECT_FALSE(second.MayAct(now));
  EXPECT_TRUE(second.MayAct(now + LeaseTimes().mSilence));
}

// The store turns the holder away, so that it can't release its lease. Guards
// against a zone without a holder for a second lease length: the others hear
// from the holder itself that its lease has expired.
TEST(LeaseStep, LeaseOfAHolderTurnedAwayIsAcquiredAtItsEnd)
{
  LeaseObject object;
  LeaseStep first("a", LeaseTimes());
  LeaseStep second("b", LeaseTimes());
  TimePoint now{ Seconds(1000) };
  CarryOutDue(first, object, now);
  CarryOutDue(first, object, now);
  ASSERT_TRUE(first.Holds(now));
  TimePoint end = now + LeaseTimes().mLength;
  for (; now < end; now += Millis(100)) {
    if (first.Due(now) != LeaseAction::None) {
      first.OnFailed(now);
    }
    second.OnHolderAnnounced("a", now);
    CarryOutDue(second, object, now);
  }
  EXPECT_FALSE(first.Holds(now));
  for (int i = 0; i < 5; ++i, now += Millis(100)) {
    if (first.Due(now) != LeaseAction::None) {
      first.OnFailed(now);
    }
    second.OnHolderReleased(now);
    second.OnHolderExpired("a", first.ExpiredToken(), now);
    CarryOutDue(second, object, now);
    CarryOutDue(second, object, now);
  }
  EXPECT_TRUE(second.Holds(now));
  EXPECT_TRUE(second.MayAct(now + LeaseTimes().mSilence));
}

// Guards against two holders: the holder's last renewal is still on its way
// when its lease ends, and may extend it. Until the answer is known, it must
// not announce the end.
TEST(LeaseStep, PendingRenewalIsNotAnnouncedAsExpired)
{
  LeaseObject object;
  LeaseStep step("a", LeaseTimes());
  TimePoint now{ Seconds(1000) };
  CarryOutDue(step, object, now);
  CarryOutDue(step, object, now);
  TimePoint sentAt = now + LeaseTimes().mRenew;
  ASSERT_EQ(LeaseAction::Write, step.Due(sentAt));
  LeaseRecord renewal = step.WantedRecord();
  now += LeaseTimes().mLength;
  EXPECT_EQ(LeaseAction::None, step.Due(now));
  EXPECT_FALSE(step.Holds(now));
  EXPECT_EQ(0, step.ExpiredToken());
  step.OnWritten(*object.Write(renewal), sentAt, now);
  EXPECT_TRUE(step.Holds(now));
  EXPECT_EQ(0, step.ExpiredToken());
}

// Guards against an acquisition whose answer was lost and which is then taken
// for an earlier process's lease: orders of the previous holder may still be in
// progress.
TEST(LeaseStep, UnansweredAcquisitionStillWaitsOutTheSilence)
{
  LeaseObject object;
  LeaseStep first("a", LeaseTimes());
  LeaseStep second("b", LeaseTimes());
  TimePoint now{ Seconds(1000) };
  CarryOutDue(first, object, now);
  CarryOutDue(first, object, now);
  ASSERT_TRUE(first.MayAct(now));
  first.Release(now);
  CarryOutDue(first, object, now);
  CarryOutDue(second, object, now);
  ASSERT_EQ(LeaseAction::Write, second.Due(now));
  ASSERT_TRUE(object.Write(second.WantedRecord()));
  second.OnFailed(now);
  now += Seconds(1);
  CarryOutDue(second, object, now);
  CarryOutDue(second, object, now);
  CarryOutDue(second, object, now + Millis(300));
  ASSERT_TRUE(second.Holds(now + Millis(300)));
  EXPECT_FALSE(second.MayAct(now + Millis(300)));
  EXPECT_TRUE(second.MayAct(now + Millis(300) + LeaseTimes().mSilence));
}

// Guards against a restarted process that waits for its own earlier lease to
// expire: it reacquires the lease at once, under a new token.
TEST(LeaseStep, OwnLeaseIsReacquiredAtOnce)
{
  LeaseObject object;
  TimePoint now{ Seconds(1000) };
  LeaseStep earlier("a", LeaseTimes());
  CarryOutDue(earlier, object, now);
  CarryOutDue(earlier, object, now);
  int64_t token = earlier.Token();
  LeaseStep next("a", LeaseTimes());
  CarryOutDue(next, object, now + Seconds(1));
  CarryOutDue(next, object, now + Seconds(1));
  EXPECT_TRUE(next.MayAct(now + Seconds(1)));
  EXPECT_GT(next.Token(), token);
}

// Guards against a candidate that competes for a free lease despite its yield:
// it waits, hears who acquired the lease, and makes no call.
TEST(LeaseStep, YieldLetsOthersAcquireAFreeLease)
{
  TimePoint now{ Seconds(1000) };
  LeaseTimes times;
  times.mYield = Millis(400);
  LeaseStep weak("w", times);
  EXPECT_EQ(LeaseAction::Read, weak.Due(now));
  weak.OnRead(std::nullopt, now);
  EXPECT_EQ(LeaseAction::None, weak.Due(now + Millis(300)));
  weak.OnHolderAnnounced("s", now + Millis(350));
  EXPECT_EQ(LeaseAction::None, weak.Due(now + Millis(500)));
  LeaseStep alone("w", times);
  alone.Due(now);
  alone.OnRead(std::nullopt, now);
  EXPECT_EQ(LeaseAction::Write, alone.Due(now + Millis(400)));
}

// Guards against a release that is lost because a renewal was in flight: the
// zone would have no holder until the lease expires.
TEST(LeaseStep, ReleaseDuringARenewalTakesEffect)
{
  LeaseObject object;
  TimePoint now{ Seconds(1000) };
  LeaseStep step("a", LeaseTimes());
  CarryOutDue(step, object, now);
  CarryOutDue(step, object, now);
  ASSERT_TRUE(step.Holds(now));
  now += LeaseTimes().mRenew;
  ASSERT_EQ(LeaseAction::Write, step.Due(now));
  LeaseRecord renewal = step.WantedRecord();
  step.Release(now);
  step.OnWritten(*object.Write(renewal), now, now);
  CarryOutDue(step, object, now);
  EXPECT_TRUE(step.Released());
  EXPECT_FALSE(step.Holds(now));
  EXPECT_EQ("", object.mRecord->mHolder);
}

// Guards against an instance that leaves and acquires the lease after all,
// because its write was in flight.
TEST(LeaseStep, ReleaseDuringAnAcquisitionTakesEffect)
{
  LeaseObject object;
  TimePoint now{ Seconds(1000) };
  LeaseStep step("a", LeaseTimes());
  CarryOutDue(step, object, now);
  ASSERT_EQ(LeaseAction::Write, step.Due(now));
  LeaseRecord acquisition = step.WantedRecord();
  step.Release(now);
  step.OnWritten(*object.Write(acquisition), now, now);
  CarryOutDue(step, object, now);
  EXPECT_TRUE(step.Released());
  EXPECT_FALSE(step.Holds(now));
  EXPECT_EQ("", object.mRecord->mHolder);
}

// Guards against a release that clears another holder's lease because the
// record was being read at that moment.
TEST(LeaseStep, ReleaseDuringAReadLeavesOtherHoldersAlone)
{
  LeaseObject object;
  TimePoint now{ Seconds(1000) };
  LeaseStep other("b", LeaseTimes());
  CarryOutDue(other, object, now);
  CarryOutDue(other, object, now);
  LeaseStep step("a", LeaseTimes());
  ASSERT_EQ(LeaseAction::Read, step.Due(now));
  step.Release(now);
  step.OnRead(object.mRecord, now);
  CarryOutDue(step, object, now);
  CarryOutDue(step, object, now + Seconds(10));
  EXPECT_TRUE(step.Released());
  EXPECT_EQ("b", object.mRecord->mHolder);
}

} // namespace caraway
