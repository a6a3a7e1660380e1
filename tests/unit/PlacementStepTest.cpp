// Changes to the placement record of an engine that checks fencing.

#include <gtest/gtest.h>

#include "decide/LoadPlan.h"
#include "decide/PlacementStep.h"
#include "own/PlacementCodec.h"

namespace caraway {

namespace {

constexpr int64_t kMemory = 100;
constexpr int64_t kBytes = 40;

PlacementRecord
EmptyRecord()
{
  PlacementRecord record;
  record.mMemory = kMemory;
  record.mChecksFencing = true;
  return record;
}

// The decision has the replica's name.
bool
DecideLoad(PlacementRecord& aRecord, const std::string& aName)
{
  return PlacementDecideLoad(aRecord, { aName, "", "", kBytes, aName });
}

EngineReport
ReportOf(int64_t aFencingToken, const std::vector<std::string>& aNames)
{
  EngineReport report;
  report.mHighestFencingToken = aFencingToken;
  for (const std::string& name : aNames) {
    EngineReplica replica;
    replica.mName = name;
    replica.mBytes = kBytes;
    replica.mReady = true;
    replica.mIdle = Seconds(100);
    report.mReplicas.push_back(replica);
  }
  return report;
}

// A replica whose only load order was answered and that a report has shown.
void
Hold(PlacementRecord& aRecord, const std::string& aName)
{
  ASSERT_TRUE(DecideLoad(aRecord, aName));
  PlacementAcknowledge(aRecord, aName);
  std::vector<std::string> names{ aName };
  for (const PlacedReplica& replica : aRecord.mReplicas) {
    names.push_back(replica.mName);
  }
  PlacementObserve(aRecord, ReportOf(aRecord.mFencingToken, names));
}

// A replica that left the record with its load order unanswered.
void
Depart(PlacementRecord& aRecord, const std::string& aName)
{
  ASSERT_TRUE(DecideLoad(aRecord, aName));
  ASSERT_TRUE(PlacementDecideUnload(aRecord, aName, ""));
  std::vector<std::string> names;
  for (const PlacedReplica& replica : aRecord.mReplicas) {
    if (replica.mName != aName) {
      names.push_back(replica.mName);
    }
  }
  PlacementObserve(aRecord, ReportOf(aRecord.mFencingToken, names));
  ASSERT_EQ(nullptr, PlacementFind(aRecord, aName, ""));
}

} // namespace

// Guards against a load order from before a restart that arrives beside models
// decided since: nobody knew of it any more, as the former life refused it.
TEST(PlacementStep, DepartedReplicaIsChargedAgainAfterARestart)
{
  PlacementRecord record = EmptyRecord();
  Depart(record, "late");
  EXPECT_EQ(0, PlacementCharged(record));
  Hold(record, "a");
  Hold(record, "b");
  PlacementObserve(record, ReportOf(0, {}));
  const PlacedReplica* late = PlacementFind(record, "late", "");
  ASSERT_NE(nullptr, late);
  EXPECT_EQ(record.mFencingToken, late->mFencingToken); // raises the fence
  EXPECT_EQ(kBytes, PlacementCharged(record));
  PlacementObserve(record, ReportOf(record.mFencingToken, {}));
  EXPECT_EQ(0, PlacementCharged(record));
}

// Guards against memory that an unload leaves blocked although the engine
// refuses the replica's late order.
TEST(PlacementStep, DepartedReplicaTakesNoMemoryMeanwhile)
{
  PlacementRecord record = EmptyRecord();
  Depart(record, "late");
  Hold(record, "a");
  EXPECT_TRUE(DecideLoad(record, "b"));
}

// Guards against orders on their way that are more than an engine that restarts
// has room for.
TEST(PlacementStep, WhatMayArriveFitsBeforeAnythingIsReported)
{
  PlacementRecord record = EmptyRecord();
  Depart(record, "late");
  ASSERT_TRUE(DecideLoad(record, "a"));
  EXPECT_FALSE(DecideLoad(record, "b"));
  PlacementAcknowledge(record, "a");
  EXPECT_FALSE(DecideLoad(record, "b"));
  PlacementObserve(record, ReportOf(record.mFencingToken, { "a" }));
  EXPECT_TRUE(DecideLoad(record, "b"));
}

// Guards against a replica that leaves the record for good while it may still
// come, and against one that is kept longer than any order takes.
TEST(PlacementStep, DepartedReplicaIsForgottenOnceNoOrderCanCome)
{
  PlacementRecord record = EmptyRecord();
  Depart(record, "late");
  PlacementObserve(record, ReportOf(record.mFencingToken, {}));
  EXPECT_EQ(1u, record.mDeparted.size());
  EXPECT_TRUE(
    PlacementObserve(record, ReportOf(record.mFencingToken, {}), { "late" }));
  EXPECT_TRUE(record.mDeparted.empty());
}

// Guards against models lost by a restart that stay charged although nothing of
// them is on its way.
TEST(PlacementStep, LostReplicasAreFreeAtOnce)
{
  PlacementRecord record = EmptyRecord();
  Hold(record, "a");
  Hold(record, "b");
  PlacementObserve(record, ReportOf(0, {}));
  EXPECT_EQ(kMemory, PlacementFree(record));
}

// Guards against a replica whose load was ordered twice and that counts as on
// its way for as long as it is held.
TEST(PlacementStep, RepeatedOrderCountsOnlyWhileItCanCome)
{
  PlacementRecord record = EmptyRecord();
  ASSERT_TRUE(DecideLoad(record, "a"));
  ASSERT_TRUE(PlacementResend(record, "a"));
  EngineReport report = ReportOf(record.mFencingToken, { "a" });
  PlacementObserve(record, report);
  EXPECT_EQ(kBytes, PlacementArriving(record));
  EXPECT_TRUE(PlacementObserve(record, report, { "a" }));
  EXPECT_EQ(0, PlacementArriving(record));
}

// Guards against an eviction for a load that doesn't fit afterwards either.
TEST(PlacementStep, NothingIsEvictedForWhatMayArrive)
{
  PlacementRecord record = EmptyRecord();
  Hold(record, "a");
  Depart(record, "late");
  Depart(record, "later");
  LoadCandidate candidate;
  candidate.mReachable = true;
  candidate.mRecord = record;
  candidate.mReport = ReportOf(record.mFencingToken, { "a" });
  EXPECT_EQ(
    -1, LoadPlanChoose({ candidate }, "new", "", 2 * kBytes, {}).mCandidate);
}

// Guards against departed replicas that are lost where another instance reads
// the record.
TEST(PlacementStep, DepartedReplicasAreStored)
{
  PlacementRecord record = EmptyRecord();
  Depart(record, "late");
  PlacementRecord read = PlacementParse(PlacementJson(record));
  ASSERT_EQ(1u, read.mDeparted.size());
  EXPECT_EQ("late", read.mDeparted[0].mDecision);
  EXPECT_EQ(record.mDeparted[0].mFencingToken, read.mDeparted[0].mFencingToken);
}

} // namespace caraway
