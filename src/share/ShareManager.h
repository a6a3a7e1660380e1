// ShareManager.h: holds, renews and hands over this instance's share slots.
#ifndef caraway_share_ShareManager_h
#define caraway_share_ShareManager_h

#include <functional>
#include <map>
#include <memory>
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

  struct TakeResult
  {
    ShareGrant mGrant;
    Millis mRetryAfter{ 0 }; // until aTokens are available; < 0 = never
  };
  // Takes up to aTokens, or as many as there are. Returns nullopt if this
  // instance doesn't hold the slot or its lease has expired.
  std::optional<TakeResult> Take(const std::string& aTenant,
                                 int aSlot,
                                 double aTokens);
  void Refund(const std::string& aTenant, const ShareGrant& aGrant);

  // Holder of a slot of this zone; "" = none.
  std::string HolderOf(int aSlot) const;
  // Applies this zone's table as received from a peer.
  void UpdateTable(const Json::Value& aTable, int64_t aVersion);
  // Sets the callback for slots received from a peer, after which
  // RenewAndBalance() should run soon.
  void OnSlotsReceived(std::function<void()> aCallback)
  {
    mOnSlotsReceived = std::move(aCallback);
  }
  bool Holds(int aSlot) const { return HolderOf(aSlot) == mSelf; }
  // Whether this instance holds the slot under a lease that is in force.
  bool MaySpend(int aSlot) const;
  ShareTable Table() const;
  int SlotsHeld() const;
  // Whether all slots held here are at their target member.
  bool Balanced() const;
  // Members whose renewal, done or not, is still kept here.
  size_t RenewalsKept() const;

  // Renews the lease, through the zone's renewer or by writing itself.
  void RenewAndBalance();
  // Hands over all slots with the tokens left in them, on a graceful shutdown.
  void Leave();

  void AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd);

private:
  // Members that one write renews, and its result once it is written. Freed
  // when the last of the members has its answer.
  struct RenewalBatch
  {
    std::map<std::string, int64_t> mMembers; // with the serial that each knows
    std::optional<bool> mRenewed;            // guarded by mWriteLock
  };
  using RenewalBatchPtr = std::shared_ptr<RenewalBatch>;

  bool RenewBatch();
  RenewalBatchPtr JoinBatch(const std::string& aMember, int64_t aKnows);
  // Writes the batch that members join now; later ones join the next.
  bool WriteNextBatch();
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

  mutable std::mutex mLock; // mLease and mBuckets, which must agree
  ShareLease mLease;
  ShareBuckets mBuckets;

  std::function<void()> mOnSlotsReceived;
  std::mutex mWriteLock; // one conditional write at a time
  RenewalBatchPtr mNextBatch = std::make_shared<RenewalBatch>();
};

} // namespace caraway

#endif
