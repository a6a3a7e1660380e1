// ShareClient.h: lets a request in under its tenant's rate, or not.
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
  std::atomic<int64_t> mLocal{ 0 };    // served by our own slots
  std::atomic<int64_t> mAsks{ 0 };     // questions to other instances
  std::atomic<int64_t> mBorrowed{ 0 }; // takes that needed another zone
  std::atomic<int64_t> mLapsed{ 0 };   // gathered too slowly
};

// Asks the holder in its own zone; what is missing there, the holders of the
// other zones, whose parts of the same tenant's share may lie idle. A holder
// debits before it answers, so a lost answer loses tokens and never doubles
// them. Tokens are used within a grant's life of the first question, or given
// back.
class ShareClient
{
public:
  ShareClient(ShareSettings aSettings,
              std::vector<std::string> aZones,
              ShareManager& aManager,
              PeerClient& aPeers,
              Members& aMembers,
              const Clock& aClock);

  // RateExceeded with when to come back, CostAboveBurst, RateUnavailable.
  Result<ShareTicket> Take(const Tenant& aTenant, double aTokens);
  // The request used aUsed tokens; the rest goes back to where it came from.
  void Settle(const ShareTicket& aTicket, double aUsed);

  const ShareClientCounts& Counts() const { return mCounts; }

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

  struct SlotRef
  {
    std::string mZone;
    int mSlot;
  };

  std::vector<SlotRef> SlotsToAsk(const std::string& aTenant);
  TakeReply TakeFromSlot(const std::string& aZone,
                         const std::string& aTenant,
                         int aSlot,
                         double aTokens);
  // False when the holder turned out to be another than we knew.
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
  std::vector<std::string> mZones; // ours first
  ShareManager& mManager;
  PeerClient& mPeers;
  Members& mMembers;
  const Clock& mClock;
  ShareClientCounts mCounts;

  std::atomic<unsigned> mNextHalf{ 0 };
  std::mutex mLock;
  std::map<std::string, KnownTable> mTables; // of the other zones
  std::map<std::string, TimePoint> mReadAt;
  std::map<std::string, TimePoint> mUnresponsiveUntil; // silent holders: until
};

} // namespace caraway

#endif
