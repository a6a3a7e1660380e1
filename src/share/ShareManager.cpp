#include "share/ShareManager.h"

#include <algorithm>

#include "base/Incarnation.h"
#include "base/Log.h"
#include "base/RandomId.h"
#include "share/ShareCodec.h"

namespace caraway {

namespace {

constexpr const char* kKind = "shares";
constexpr int kMaxAttempts = 4;
constexpr Millis kPromiseTimeout{ 500 };
constexpr int kRenewDivisor = 5; // a peer gets 2/5 of the lease to reply

int64_t
Nanoseconds(TimePoint aTime)
{
  return std::chrono::nanoseconds(aTime.time_since_epoch()).count();
}

} // namespace

ShareManager::ShareManager(ShareSettings aSettings,
                           std::string aSelf,
                           std::string aAddress,
                           PlatformApi& aPlatform,
                           PeerClient& aPeers,
                           Members& aMembers,
                           ConfigHolder& aConfig,
                           const Clock& aClock)
  : mSettings(std::move(aSettings))
  , mSelf(std::move(aSelf))
  , mPlatform(aPlatform)
  , mPeers(aPeers)
  , mMembers(aMembers)
  , mConfig(aConfig)
  , mClock(aClock)
  , mBuckets(mSettings, mSelf)
{
  mLease.mParameters = mSettings.mParameters;
  mLease.mSelf = mSelf;
  mLease.mAddress = std::move(aAddress);
}

std::optional<ShareManager::TakeResult>
ShareManager::Take(const std::string& aTenant, int aSlot, double aTokens)
{
  std::lock_guard<std::mutex> lock(mLock);
  TimePoint now = mClock.Now();
  // Checked against the current time, so that a holder that was frozen finds
  // its lease expired.
  if (!ShareLeaseMaySpend(mLease, aSlot, now)) {
    return std::nullopt;
  }
  SyncBuckets();
  TokenBucket* bucket = mBuckets.Find(aTenant, aSlot);
  if (!bucket) {
    return std::nullopt;
  }
  double available = std::max(0.0, std::min(aTokens, bucket->Level(now)));
  TakeResult taken;
  taken.mRetryAfter = bucket->Until(aTokens, now);
  if (available > 0 && bucket->Take(available, now)) {
    taken.mGrant.mTokens = available;
  }
  taken.mGrant.mHolder = mSelf;
  taken.mGrant.mSlot = aSlot;
  taken.mGrant.mTakenAt = Nanoseconds(now);
  return taken;
}

void
ShareManager::Refund(const std::string& aTenant, const ShareGrant& aGrant)
{
  std::lock_guard<std::mutex> lock(mLock);
  TokenBucket* bucket = mBuckets.Find(aTenant, aGrant.mSlot);
  if (aGrant.mHolder != mSelf || !bucket) {
    return;
  }
  TimePoint takenAt = TimePoint(std::chrono::duration_cast<TimePoint::duration>(
    std::chrono::nanoseconds(aGrant.mTakenAt)));
  bucket->Refund(aGrant.mTokens, takenAt, mClock.Now());
}

std::string
ShareManager::HolderOf(int aSlot) const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mLease.mTable.mSlots[aSlot].mHolder;
}

bool
ShareManager::MaySpend(int aSlot) const
{
  std::lock_guard<std::mutex> lock(mLock);
  return ShareLeaseMaySpend(mLease, aSlot, mClock.Now());
}

ShareTable
ShareManager::Table() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mLease.mTable;
}

int
ShareManager::SlotsHeld() const
{
  std::lock_guard<std::mutex> lock(mLock);
  int held = 0;
  for (int i = 0; i < kShareSlots; ++i) {
    held += ShareLeaseMaySpend(mLease, i, mClock.Now()) ? 1 : 0;
  }
  return held;
}

bool
ShareManager::Balanced() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return ShareLeaseSlotsToHandOver(mLease, false).empty();
}

void
ShareManager::SyncBuckets()
{
  mBuckets.Sync(mLease.mTable, *mConfig.Current(), mClock.Now());
}

void
ShareManager::RenewAndBalance()
{
  if (mConfig.Current()->mRevision == 0) {
    return;
  }
  if (auto listed = mMembers.ListedAddresses()) {
    std::lock_guard<std::mutex> lock(mLock);
    ShareLeaseOnInstanceList(mLease, *listed, mClock.Now());
  }
  InstanceInfo renewer = mMembers.Owner("shares/" + mSettings.mZone);
  bool renewed = renewer.mId != mMembers.Self().mId && RenewByPeer(renewer);
  if (!renewed) {
    renewed = RenewBatch();
  }
  if (renewed) {
    HandOverSlots(false);
  } else {
    CollectPromises();
  }
  std::lock_guard<std::mutex> lock(mLock);
  SyncBuckets();
}

size_t
ShareManager::RenewalsKept() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mNextBatch->mMembers.size();
}

// Renews this instance and all members that requested it meanwhile.
bool
ShareManager::RenewBatch()
{
  std::lock_guard<std::mutex> write(mWriteLock);
  return WriteNextBatch();
}

ShareManager::RenewalBatchPtr
ShareManager::JoinBatch(const std::string& aMember, int64_t aKnows)
{
  std::lock_guard<std::mutex> lock(mLock);
  mNextBatch->mMembers[aMember] = aKnows;
  return mNextBatch;
}

bool
ShareManager::WriteNextBatch()
{
  auto batch = std::make_shared<RenewalBatch>();
  {
    std::lock_guard<std::mutex> lock(mLock);
    batch.swap(mNextBatch);
  }
  bool renewed = RenewByWrite(batch->mMembers);
  batch->mRenewed = renewed;
  return renewed;
}

bool
ShareManager::RenewByWrite(const std::map<std::string, int64_t>& aOthers)
{
  for (int i = 0; i < kMaxAttempts; ++i) {
    TimePoint begun = mClock.Now();
    ShareTable table;
    int64_t version = 0;
    {
      std::lock_guard<std::mutex> lock(mLock);
      table = ShareLeasePropose(mLease, aOthers, begun);
      version = mLease.mVersion;
    }
    WriteResult result = mPlatform.Write(
      { kKind, mSettings.mZone, version, RandomId(), ShareTableJson(table) });
    std::lock_guard<std::mutex> lock(mLock);
    TimePoint now = mClock.Now();
    if (result.mOutcome == WriteOutcome::Done) {
      ShareLeaseRenewed(mLease, table, result.mObject.mVersion, begun, now);
      SyncBuckets();
      return true;
    }
    if (result.mOutcome != WriteOutcome::Conflict) {
      return false;
    }
    ShareLeaseUpdate(mLease,
                     ShareTableParse(result.mObject.mValue),
                     result.mObject.mVersion,
                     now);
  }
  return false;
}

// Renews through the zone's renewer, which writes for all members that request
// it, so that renewals cost the platform one write per zone and round rather
// than one per instance.
bool
ShareManager::RenewByPeer(const InstanceInfo& aRenewer)
{
  Json::Value params;
  {
    std::lock_guard<std::mutex> lock(mLock);
    if (!mLease.mTable.mMembers.count(mSelf)) {
      return false; // a new member joins by its own write
    }
    params["member"] = mSelf;
    params["knows"] = Json::Int64(mLease.mTable.mSerial);
  }
  TimePoint begun = mClock.Now();
  // If the renewer is frozen, enough of the lease must be left to write without
  // it.
  Millis within = mSettings.mParameters.mLease * 2 / kRenewDivisor;
  auto reply = Outcome([&] {
    return mPeers.Call(aRenewer.mPeerAddress, "share.renew", params, within);
  });
  auto* json = std::get_if<Json::Value>(&reply);
  if (!json) {
    mMembers.MarkUnreachable(aRenewer.mPeerAddress);
    return false;
  }
  if (!(*json)["renewed"].asBool()) {
    return false;
  }
  std::lock_guard<std::mutex> lock(mLock);
  int64_t version = (*json)["version"].asInt64();
  if (json->isMember("table")) {
    ShareLeaseRenewed(
      mLease, ShareTableParse((*json)["table"]), version, begun, mClock.Now());
  } else {
    ShareLeaseRenewedUnchanged(
      mLease, (*json)["serial"].asInt64(), version, begun, mClock.Now());
  }
  SyncBuckets();
  return mLease.mRenewedAt >= begun;
}

void
ShareManager::CollectPromises()
{
  TimePoint begun = mClock.Now();
  std::vector<std::string> members;
  {
    std::lock_guard<std::mutex> lock(mLock);
    if (!mLease.mTable.mMembers.count(mSelf)) {
      return;
    }
    members = ShareLeaseOtherMembers(mLease);
  }
  for (const std::string& member : members) {
    Json::Value params;
    params["member"] = mSelf;
    params["of"] = member;
    auto reply = Outcome([&] {
      return mPeers.Call(
        IncarnationAddress(member), "share.promise", params, kPromiseTimeout);
    });
    auto* json = std::get_if<Json::Value>(&reply);
    if (!json || !(*json)["promised"].asBool()) {
      LogInfo("share_promise_missing", { { "member", member } });
      return;
    }
  }
  std::lock_guard<std::mutex> lock(mLock);
  ShareLeaseOnAllPromised(mLease, begun);
}

// Retries at once when another member's renewal comes first, since nobody can
// spend the closed slots meanwhile.
void
ShareManager::HandOverSlots(bool aLeaving)
{
  std::set<int> handedOver;
  {
    std::lock_guard<std::mutex> write(mWriteLock);
    WriteOutcome outcome = WriteOutcome::Conflict;
    for (int i = 0; i < kMaxAttempts && outcome == WriteOutcome::Conflict;
         ++i) {
      outcome = TryHandOver(aLeaving, handedOver);
    }
    if (outcome != WriteOutcome::Done) {
      return;
    }
  }
  NotifySlotHolders(handedOver);
}

// Returns Done also when there is nothing to hand over.
WriteOutcome
ShareManager::TryHandOver(bool aLeaving, std::set<int>& aHandedOver)
{
  ShareTable table;
  int64_t version = 0;
  std::set<int> newlyClosed;
  {
    std::lock_guard<std::mutex> lock(mLock);
    bool member = mLease.mTable.mMembers.count(mSelf) != 0;
    aHandedOver = ShareLeaseSlotsToHandOver(mLease, aLeaving);
    if (aHandedOver.empty() && !(aLeaving && member)) {
      return WriteOutcome::Done;
    }
    // Spending stops first, so that the levels no longer change.
    SyncBuckets();
    newlyClosed = ShareLeaseClose(mLease, aHandedOver);
    ShareBuckets::Levels levels = mBuckets.LevelsOf(aHandedOver, mClock.Now());
    table = ShareLeaseHandOver(mLease, levels, aLeaving);
    version = mLease.mVersion;
  }
  WriteResult result = mPlatform.Write(
    { kKind, mSettings.mZone, version, RandomId(), ShareTableJson(table) });
  std::lock_guard<std::mutex> lock(mLock);
  switch (result.mOutcome) {
    case WriteOutcome::Done:
      ShareLeaseUpdate(mLease, table, result.mObject.mVersion, mClock.Now());
      break;
    case WriteOutcome::Conflict:
      ShareLeaseUpdate(mLease,
                       ShareTableParse(result.mObject.mValue),
                       result.mObject.mVersion,
                       mClock.Now());
      break;
    case WriteOutcome::Refused:
      // Never sent, so the slots are still held. Closed, they could not be
      // spent by anyone until the platform is back.
      ShareLeaseReopen(mLease, newlyClosed);
      break;
    default:
      break; // outcome unknown: closed until a newer table arrives
  }
  return result.mOutcome;
}

Json::Value
ShareManager::TableJson() const
{
  std::lock_guard<std::mutex> lock(mLock);
  Json::Value json;
  json["table"] = ShareTableJson(mLease.mTable);
  json["version"] = Json::Int64(mLease.mVersion);
  return json;
}

void
ShareManager::UpdateTable(const Json::Value& aTable, int64_t aVersion)
{
  std::lock_guard<std::mutex> lock(mLock);
  ShareLeaseUpdate(mLease, ShareTableParse(aTable), aVersion, mClock.Now());
}

void
ShareManager::Leave()
{
  HandOverSlots(true);
}

} // namespace caraway
