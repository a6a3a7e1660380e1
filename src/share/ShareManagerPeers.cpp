// ShareManagerPeers.cpp: the peer methods of the share manager.
#include "share/ShareManager.h"

#include <thread>

#include "base/Incarnation.h"
#include "share/ShareCodec.h"

namespace caraway {

namespace {

constexpr Millis kNotifyTimeout{ 500 };

} // namespace

// Notifies the new holders of slots, which would otherwise notice only at their
// next renewal, seconds later; until then nobody could spend the slots.
void
ShareManager::NotifySlotHolders(const std::set<int>& aSlots)
{
  std::set<std::string> holders;
  {
    std::lock_guard<std::mutex> lock(mLock);
    for (int slot : aSlots) {
      holders.insert(mLease.mTable.mSlots[slot].mHolder);
    }
  }
  holders.erase("");
  holders.erase(mSelf);
  for (const std::string& holder : holders) {
    Outcome([&] {
      return mPeers.Call(
        IncarnationAddress(holder), "share.poke", TableJson(), kNotifyTimeout);
    });
  }
}

// The first request of a batch waits mRenewBatchWait for others; these then
// find that the same write has renewed them. The success of another batch's
// write says nothing about their renewal.
Json::Value
ShareManager::OnRenew(const Json::Value& aParams)
{
  RenewalBatchPtr batch =
    JoinBatch(aParams["member"].asString(), aParams["knows"].asInt64());
  Json::Value reply;
  {
    std::lock_guard<std::mutex> write(mWriteLock);
    if (!batch->mRenewed) {
      std::this_thread::sleep_for(mSettings.mRenewBatchWait);
      WriteNextBatch();
    }
    reply["renewed"] = *batch->mRenewed;
  }
  std::lock_guard<std::mutex> lock(mLock);
  reply["version"] = Json::Int64(mLease.mVersion);
  reply["serial"] = Json::Int64(mLease.mTable.mSerial);
  if (aParams["knows"].asInt64() < mLease.mTable.mChangedSerial) {
    reply["table"] = ShareTableJson(mLease.mTable);
  }
  return reply;
}

Json::Value
ShareManager::OnPromise(const Json::Value& aParams)
{
  std::lock_guard<std::mutex> lock(mLock);
  bool forThisIncarnation = aParams["of"].asString() == mSelf;
  Json::Value reply;
  reply["promised"] =
    forThisIncarnation &&
    ShareLeaseCanPromise(mLease, aParams["member"].asString());
  return reply;
}

Json::Value
ShareManager::OnTake(const Json::Value& aParams)
{
  int slot = aParams["slot"].asInt();
  std::optional<TakeResult> taken;
  if (slot >= 0 && slot < kShareSlots) {
    taken =
      Take(aParams["tenant"].asString(), slot, aParams["tokens"].asDouble());
  }
  Json::Value reply;
  reply["holder"] = taken.has_value();
  if (taken) {
    reply["tokens"] = taken->mGrant.mTokens;
    reply["at"] = Json::Int64(taken->mGrant.mTakenAt);
    reply["self"] = mSelf;
    reply["retry"] = Json::Int64(taken->mRetryAfter.count());
  } else {
    // The table names the right holder.
    reply["now"] = TableJson();
  }
  return reply;
}

Json::Value
ShareManager::OnGive(const Json::Value& aParams)
{
  ShareGrant grant;
  grant.mHolder = aParams["holder"].asString();
  grant.mSlot = aParams["slot"].asInt();
  grant.mTokens = aParams["tokens"].asDouble();
  grant.mTakenAt = aParams["at"].asInt64();
  Refund(aParams["tenant"].asString(), grant);
  return Json::Value(Json::objectValue);
}

void
ShareManager::AddMethods(
  const std::function<void(const char*, PeerMethod)>& aAdd)
{
  aAdd("share.renew", [this](const auto& aParams) { return OnRenew(aParams); });
  aAdd("share.table", [this](const auto&) { return TableJson(); });
  aAdd("share.poke", [this](const auto& aParams) {
    UpdateTable(aParams["table"], aParams["version"].asInt64());
    if (mOnSlotsReceived) {
      mOnSlotsReceived();
    }
    return Json::Value(Json::objectValue);
  });
  aAdd("share.promise",
       [this](const auto& aParams) { return OnPromise(aParams); });
  aAdd("share.take", [this](const auto& aParams) { return OnTake(aParams); });
  aAdd("share.give", [this](const auto& aParams) { return OnGive(aParams); });
}

} // namespace caraway
