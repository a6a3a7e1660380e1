// ShareLease.h: when an instance may spend the slots it holds.
//
// A holder's right lapses unless it renews, and a renewal is a conditional
// write of the zone's table (shared by all who ask within a moment), never a
// read: reads may be stale. A silent member is first suspected, in a write;
// only a lease and a margin after seeing that in force may another take its
// slots. A holder that renews after the suspicion clears it, and one that
// renewed before it has stopped by then. The clocks are compared only with
// themselves; the margin covers their drift.
//
// Without the platform nobody can take slots, but a holder can't know that it
// is not the only one cut off. So it asks every member it knows whether it is
// suspected. A member that says no can suspect it only later, and takes its
// slots no sooner than a lease and a margin after that. A member that the
// holder doesn't know may not suspect it, except after the long isolation
// limit. Whether it knows is what the holder itself said when it renewed, not
// that it was renewed: the answer to a renewal may have been lost.
#ifndef caraway_decide_ShareLease_h
#define caraway_decide_ShareLease_h

#include <map>
#include <optional>
#include <set>
#include <string>

#include "caraway/Time.h"
#include "decide/ShareTable.h"

namespace caraway {

struct ShareLeaseParameters
{
  Millis mLease{ 3000 };             // right to spend after a renewal
  Millis mMargin{ 1000 };            // clocks' drift over a lease, and more
  Millis mIsolationLimit{ 3600000 }; // spending on promises alone, at most
};

struct ShareRenewalSeen
{
  int64_t mSerial = 0; // its last renewal
  TimePoint mSeenAt{}; // when we first saw that one
};

struct ShareLease
{
  ShareLeaseParameters mParameters;
  std::string mSelf;    // incarnation
  std::string mAddress; // our peer address

  ShareTable mTable;          // as last stored or read
  int64_t mVersion = 0;       // platform's version of it
  TimePoint mRenewedAt{};     // when the last renewal was begun
  TimePoint mPromisedAt{};    // when the last full promise was begun
  std::set<int> mClosedSlots; // slots we gave up spending already

  // What we saw of others, by our own clock.
  std::map<std::string, ShareRenewalSeen> mLastRenewals;
  std::map<std::string, TimePoint> mSuspectedSince; // seen suspected since
  std::map<std::string, TimePoint> mUnlistedSince;  // since the platform's list
                                                    // hasn't had them
};

// Does this instance hold aSlot, and may it spend from it at aNow?
bool
ShareLeaseMaySpend(const ShareLease& aLease, int aSlot, TimePoint aNow);

// A newer table was read or stored. Older versions are ignored.
void
ShareLeaseUpdate(ShareLease& aLease,
                 const ShareTable& aTable,
                 int64_t aVersion,
                 TimePoint aNow);

// The table as this instance wants it next: joined, renewed along with
// aAlso (others who asked us, and the serial each knows), suspicion of us
// cleared, free slots given to whom they should be, silent members suspected
// or, when it is time, removed. To be stored by conditional update over
// mVersion; nothing counts before.
ShareTable
ShareLeasePropose(const ShareLease& aLease,
                  const std::map<std::string, int64_t>& aOthers,
                  TimePoint aNow);

// aTable, proposed by us or by whom we asked, is in force at aVersion; the
// asking was begun at aBegun.
void
ShareLeaseRenewed(ShareLease& aLease,
                  const ShareTable& aTable,
                  int64_t aVersion,
                  TimePoint aBegun,
                  TimePoint aNow);

// The same when all that has changed since the table we know is renewals: the
// renewer says so instead of sending the table, which at 58 members would be
// most of what an instance moves at rest.
void
ShareLeaseRenewedUnchanged(ShareLease& aLease,
                           int64_t aSerial,
                           int64_t aVersion,
                           TimePoint aBegun,
                           TimePoint aNow);

// The platform's list, as addresses. A member that it hasn't had for a lease
// and a margin isn't run by the platform any more, and needn't be waited for
// until the isolation limit. Without this a zone whose instances were all
// replaced at once, at new addresses, would have nobody to spend its part for
// an hour.
void
ShareLeaseOnInstanceList(ShareLease& aLease,
                         const std::set<std::string>& aAddresses,
                         TimePoint aNow);

// Members whose word we need while the platform is out.
std::vector<std::string>
ShareLeaseOtherMembers(const ShareLease& aLease);
// All of them said no; the asking was begun at aBegun.
void
ShareLeaseOnAllPromised(ShareLease& aLease, TimePoint aBegun);
// Another member asks for our word. False: it no longer is a member as we
// know it, or we suspect it already.
bool
ShareLeaseCanPromise(const ShareLease& aLease, const std::string& aMember);

// Slots we hold that should be another's, or all when aLeaving. The driver
// closes them, then stores ShareLeaseHandOver with what was left in
// them: each goes straight to the member that should hold it, so that there is
// no moment in which a tenant's share has nobody to ask.
std::set<int>
ShareLeaseSlotsToHandOver(const ShareLease& aLease, bool aLeaving);
// Stops spending aSlots; gives those that were open. A table newer than the
// one we know opens all that are ours in it: the hand-over was conditional on
// ours, and isn't in the newer one, so it never will be.
std::set<int>
ShareLeaseClose(ShareLease& aLease, const std::set<int>& aSlots);
// The write that hands them on was never offered. Only for what was open
// before: an earlier hand-over of the others may be on its way still.
void
ShareLeaseReopen(ShareLease& aLease, const std::set<int>& aNewlyClosed);
ShareTable
ShareLeaseHandOver(const ShareLease& aLease,
                   const std::map<int, std::map<std::string, double>>& aLevels,
                   bool aLeaving);

} // namespace caraway

#endif
