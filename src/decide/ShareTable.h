// ShareTable.h: who in a zone holds which part of every tenant's share.
#ifndef caraway_decide_ShareTable_h
#define caraway_decide_ShareTable_h

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace caraway {

// Tenants are spread over this many slots a zone. Today a holder has several;
// at 58 instances a zone the asking is spread over 16 of them.
constexpr int kShareSlots = 16;

struct ShareMember
{
  std::string mAddress;       // ip:port of its peer port
  int64_t mJoinedSerial = 0;  // table serial at which it joined
  int64_t mRenewedSerial = 0; // serial of its last renewal
  int64_t mKnownSerial = 0;   // serial it said it knew when it renewed
  std::string mSuspectedBy;   // member that found it silent; "" = nobody
};

struct ShareSlot
{
  std::string mHolder;                   // incarnation; "" = free
  int64_t mAcquiredSerial = 0;           // serial at which it came to mHolder
  std::map<std::string, double> mLevels; // tokens left by a graceful holder
  bool mNeverHeld = false;               // never held: buckets begin full
};

// One object per zone. A zone's share of a tenant's rate and burst never
// leaves the zone, so that a cut zone can go on spending it.
struct ShareTable
{
  int64_t mSerial = 0; // grows by one with every write
  int64_t mChangedSerial =
    0; // serial of the last write that wasn't only renewals
  std::map<std::string, ShareMember> mMembers; // by incarnation
  std::vector<ShareSlot> mSlots = std::vector<ShareSlot>(kShareSlots);
};

// The slots that hold a tenant's part of its zone's share, half in each. Two,
// with different holders where there are two members: while one holder is
// dead and not yet replaced, the tenant still has the other half.
constexpr int kShareHalves = 2;
std::array<int, kShareHalves>
ShareSlotsOf(const std::string& aTenant);

// The slot that holds the other half of the same tenants.
int
SharePartnerOf(int aSlot);

// Who should hold aSlot among the members, the same for all who see the same
// table; "" when there are none. Never the one that should hold its partner, if
// there are two members. Slots are handed on until they are where they should
// be; an earlier rule, "to whoever has the fewest", could hand them in circles.
std::string
ShareTableTarget(const ShareTable& aTable, int aSlot);
// Takes a member out; its slots are free, and their next holder starts empty.
void
ShareTableRemove(ShareTable& aTable, const std::string& aMember);
// The same members, suspicions and holders.
bool
ShareTableSame(const ShareTable& aLeft, const ShareTable& aRight);

} // namespace caraway

#endif
