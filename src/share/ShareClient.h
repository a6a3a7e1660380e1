// ShareClient.h: admits requests under their tenant's rate limit.
#ifndef caraway_share_ShareClient_h
#define caraway_share_ShareClient_h

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "share/ShareGrant.h"
#include "share/ShareManager.h"

namespace caraway {

struct ShareClientCounts
{
  std::atomic<int64_t> mTakes{ 0 };
  std::atomic<int64_t> mLocal{ 0 };     // served from own slots
  std::atomic<int64_t> mPeerTakes{ 0 }; // requests to other instances
  std::atomic<int64_t> mBorrowed{ 0 }; // takes that needed more than one holder
  std::atomic<int64_t> mGatheredTooSlowly{ 0 }; // tokens gathered too slowly
};

// Takes tokens from the holders in its own zone, and the rest from those of
// other zones, whose parts of the tenant's limit may be idle. A holder debits
// before it replies, so a lost reply loses tokens but never doubles them.
// Tokens are used within mGrantLifetime of the first request for them, or
// refunded.
class ShareClient
{
public:
  ShareClient(ShareSettings aSettings,
              std::vector<std::string> aZones,
              ShareManager& aManager,
              PeerClient& aPeers,
              Members& aMembers,
              const Clock& aClock);

  // Fails with RateExceeded and a retry-after time, CostAboveBurst or
  // RateUnavailable. While no holder answers, waits until aUntil.
  Result<ShareTicket> Take(const Tenant& aTenant,
                           double aTokens,
                           TimePoint aUntil);
  // Refunds all but aUsed tokens to the holders they came from.
  void Settle(const ShareTicket& aTicket, double aUsed);

  const ShareClientCounts& Counts() const { return mCounts; }
  // Holders of which it is remembered that they didn't answer.
  size_t SilentHolders() const;

private:
  struct KnownTable
  {
    ShareTable mTable;
    int64_t mVersion = 0;
  };
  struct TakeReply
  {
    bool mAnswered = false; // by a holder
    ShareGrant mGrant;
    Millis mRetryAfter{ 0 };
  };

  // A holder that didn't answer.
  struct Silence
  {
    TimePoint mUntil{}; // it isn't asked for tokens before
    TimePoint mProbedAt{};
  };

  struct SlotRef
  {
    std::string mZone;
    int mSlot;
  };

  Result<ShareTicket> TakeOnce(const Tenant& aTenant, double aTokens);
  bool AwaitHolder(const std::string& aTenant, Millis aPause, TimePoint aUntil);
  bool Responds(const std::string& aZone, const std::string& aHolder);
  std::vector<SlotRef> SlotsToAsk(const std::string& aTenant);
  TakeReply TakeFromSlot(const std::string& aZone,
                         const std::string& aTenant,
                         int aSlot,
                         double aTokens);
  // False when the slot has another holder than was known.
  bool TakeFromHolder(const std::string& aZone,
                      const std::string& aTenant,
                      int aSlot,
                      double aTokens,
                      TakeReply& aReply);
  std::string HolderIn(const std::string& aZone, int aSlot);
  void RefreshTable(const std::string& aZone);
  void UpdateTable(const std::string& aZone, const Json::Value& aTable);
  bool IsUnresponsive(const std::string& aIncarnation);
  void MarkUnresponsive(const std::string& aIncarnation);

  ShareSettings mSettings;
  std::vector<std::string> mZones; // own zone first
  ShareManager& mManager;
  PeerClient& mPeers;
  Members& mMembers;
  const Clock& mClock;
  ShareClientCounts mCounts;

  std::atomic<unsigned> mNextHalf{ 0 };
  mutable std::mutex mLock;
  std::map<std::string, KnownTable> mTables; // of the other zones
  std::map<std::string, TimePoint> mReadAt;
  std::map<std::string, Silence> mSilentHolders; // by incarnation
};

} // namespace caraway

#endif
