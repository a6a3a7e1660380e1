// ShareManager.h: this instance's part of its zone's shares.
#ifndef caraway_share_ShareManager_h
#define caraway_share_ShareManager_h

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "caraway/Clock.h"
#include "decide/ShareLease.h"
#include "peer/Members.h"
#include "peer/PeerClient.h"
#include "peer/PeerRpc.h"
#include "platform/ConfigHolder.h"
#include "platform/PlatformApi.h"
#include "share/ShareBuckets.h"
#include "share/ShareGrant.h"
#include "share/ShareSettings.h"

namespace caraway {

class ShareManager
{
public:
  ShareManager(ShareSettings aSettings,
               std::string aSelf,
               std::string aAddress,
               PlatformApi& aPlatform,
               PeerClient& aPeers,
               Members& aMembers,
               ConfigHolder& aConfig,
               const Clock& aClock);

  // Up to aTokens of the tenant's share, if this instance may spend it; less
  // when there is less. Nothing: not the holder, or its right has lapsed.
  struct TakeResult
  {
    ShareGrant mGrant;
    Millis mRetryAfter{ 0 }; // until aTokens would be here; < 0 = never
  };
  std::optional<TakeResult> Take(const std::string& aTenant,
                                 int aSlot,
                                 double aTokens);
  void GiveBack(const std::string& aTenant, const ShareGrant& aGrant);

  // Holder of a slot of our zone; "" = nobody.
  std::string HolderOf(int aSlot) const;
  // Another instance showed us our zone's table.
  void UpdateTable(const Json::Value& aTable, int64_t aVersion);
  // Called when slots were handed to us: a round should follow soon.
  void OnSlotsReceived(std::function<void()> aPoke)
  {
    mOnSlotsReceived = std::move(aPoke);
  }
  bool Holds(int aSlot) const { return HolderOf(aSlot) == mSelf; }
  ShareTable Table() const;
  int SlotsHeld() const;
  // Nothing is to be handed to other members: slots are evenly held.
  bool Settled() const;

  // Renews, by the instance that renews for the zone or by ourselves.
  void Round();
  // Gives all slots back with what is left in them. For a graceful end.
  void Leave();

  void AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd);

private:
  bool RenewBatch();
  bool RenewAndRecord(const std::map<std::string, int64_t>& aOthers);
  bool RenewByWrite(const std::map<std::string, int64_t>& aOthers);
  bool RenewByPeer(const InstanceInfo& aRenewer);
  void CollectPromises();
  void HandOverSlots(bool aLeaving);
  WriteOutcome TryHandOver(bool aLeaving, std::set<int>& aHandedOver);
  void NotifySlotHolders(const std::set<int>& aSlots);
  Json::Value TableJson() const;
  void SyncBuckets();
  Json::Value OnRenew(const Json::Value& aParams);
  Json::Value OnPromise(const Json::Value& aParams);
  Json::Value OnTake(const Json::Value& aParams);
  Json::Value OnGive(const Json::Value& aParams);

  ShareSettings mSettings;
  std::string mSelf;
  PlatformApi& mPlatform;
  PeerClient& mPeers;
  Members& mMembers;
  ConfigHolder& mConfig;
  const Clock& mClock;

  mutable std::mutex mLock; // lease and buckets: one is nothing without other
  ShareLease mLease;
  ShareBuckets mBuckets;

  std::function<void()> mOnSlotsReceived;
  std::mutex mWriteLock; // one conditional write of ours at a time
  std::map<std::string, int64_t>
    mPendingRenewals; // renewals for the next write
  // How the write that took a member along ended: another one's success says
  // nothing about its renewal.
  std::map<std::string, bool> mBatchRenewed;
};

} // namespace caraway

#endif
