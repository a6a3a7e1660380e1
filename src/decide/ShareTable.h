// ShareTable.h: which instance of a zone holds which slots of the tenants'
// shares.
#ifndef caraway_decide_ShareTable_h
#define caraway_decide_ShareTable_h

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace caraway {

// Slots per zone, over which tenants are spread by hash. In a small zone an
// instance holds several; in a zone of 58 instances, 16 of them share the
// requests for tokens.
constexpr int kShareSlots = 16;

struct ShareMember
{
  std::string mAddress;       // ip:port of its peer port
  int64_t mJoinedSerial = 0;  // table serial at which it joined
  int64_t mRenewedSerial = 0; // serial of its last renewal
  int64_t mKnownSerial = 0;   // serial it stated when it renewed
  std::string mSuspectedBy;   // member that found it silent; "" = none
};

struct ShareSlot
{
  std::string mHolder;                   // incarnation; "" = free
  int64_t mAcquiredSerial = 0;           // serial at which mHolder got it
  std::map<std::string, double> mLevels; // tokens left at a graceful hand-over
  bool mNeverHeld = false;               // buckets begin full
};

// One table per zone. A zone's share of a tenant's rate and burst never leaves
// the zone, so that a zone that is cut off can go on spending it.
struct ShareTable
{
  int64_t mSerial = 0;        // grows by one with every write
  int64_t mChangedSerial = 0; // of the last write other than renewals
  std::map<std::string, ShareMember> mMembers; // by incarnation
  std::vector<ShareSlot> mSlots = std::vector<ShareSlot>(kShareSlots);
};

// Slots per tenant, each with half of the tenant's share in the zone. With two
// or more members they have different holders: while one holder is dead and
// not yet replaced, the tenant still has the other half.
constexpr int kShareHalves = 2;
std::array<int, kShareHalves>
ShareSlotsOf(const std::string& aTenant);

// The slot with the other half of the same tenants' shares.
int
SharePartnerOf(int aSlot);

// The member that should hold aSlot, "" without members. The same for all that
// see the same table, and different for a slot and its partner when there are
// two members or more. Slots are handed over until each is at its target. The
// target is fixed, since handing slots to the member with the fewest could go
// on in circles.
std::string
ShareTableTarget(const ShareTable& aTable, int aSlot);
// Removes a member. Its slots become free; their next holder starts empty.
void
ShareTableRemove(ShareTable& aTable, const std::string& aMember);
// Whether members, suspicions and holders are the same.
bool
ShareTableSame(const ShareTable& aLeft, const ShareTable& aRight);

} // namespace caraway

#endif
