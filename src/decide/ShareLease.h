// ShareLease.h: lease under which an instance may spend the slots it holds.
//
// A holder's lease expires unless it is renewed. A renewal is a conditional
// write of the zone's table, batched for all members that request one at about
// the same time, and never a read: reads may be stale. A silent member is first
// suspected, by a write; its slots may be taken only a lease and a margin after
// that write was seen in force. A holder that renews after the suspicion clears
// it; the lease of one that renewed before has expired by then. Each clock is
// compared only with itself; the margin covers clock drift.
//
// During a platform outage nobody can take slots, but a holder can't tell an
// outage from being cut off alone. So it asks every member it knows for a
// promise that it isn't suspected. A member that promises can suspect it only
// later, and takes its slots no sooner than a lease and a margin after that. A
// member unknown to the holder may not suspect it before the long isolation
// limit. Which members a holder knows is judged by the serial it stated when it
// renewed, not by the renewal, whose reply may have been lost.
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
  Millis mLease{ 3000 };  // validity after a renewal
  Millis mMargin{ 1000 }; // covers clock drift over a lease, with reserve
  Millis mIsolationLimit{ 3600000 }; // of spending on promises alone
};

struct ShareRenewalSeen
{
  int64_t mSerial = 0; // serial of its last renewal
  TimePoint mSeenAt{}; // when that renewal was first seen
};

struct ShareLease
{
  ShareLeaseParameters mParameters;
  std::string mSelf;    // incarnation of this instance
  std::string mAddress; // peer address of this instance

  ShareTable mTable;          // as last stored or read
  int64_t mVersion = 0;       // the platform's version of mTable, 0 = none yet
  TimePoint mRenewedAt{};     // start of the last renewal
  TimePoint mPromisedAt{};    // start of the last round in which all promised
  std::set<int> mClosedSlots; // held, but no longer spent; being handed over

  // Observations of other members, by this instance's clock.
  std::map<std::string, ShareRenewalSeen> mLastRenewals;
  std::map<std::string, TimePoint> mSuspectedSince;
  std::map<std::string, TimePoint> mUnlistedSince; // not in the instance list
};

// Whether this instance holds aSlot and may spend from it at aNow.
bool
ShareLeaseMaySpend(const ShareLease& aLease, int aSlot, TimePoint aNow);

// Applies a table that was read or stored, unless its version is older.
void
ShareLeaseUpdate(ShareLease& aLease,
                 const ShareTable& aTable,
                 int64_t aVersion,
                 TimePoint aNow);

// The next table proposed by this instance. It joins and renews itself and
// renews aOthers (members that requested it, with the serial each knows),
// clears suspicion of them, assigns free slots, and suspects silent members or
// removes those suspected for long enough. Takes effect only once it is stored
// by conditional update over mVersion.
ShareTable
ShareLeasePropose(const ShareLease& aLease,
                  const std::map<std::string, int64_t>& aOthers,
                  TimePoint aNow);

// aTable, proposed by this instance or by the renewer it asked, is in force at
// aVersion. The renewal was begun at aBegun, from which the lease counts.
void
ShareLeaseRenewed(ShareLease& aLease,
                  const ShareTable& aTable,
                  int64_t aVersion,
                  TimePoint aBegun,
                  TimePoint aNow);

// The same when only renewals have changed since the known table. The renewer
// then sends no table: with 58 members it would make up most of an idle
// instance's traffic.
void
ShareLeaseRenewedUnchanged(ShareLease& aLease,
                           int64_t aSerial,
                           int64_t aVersion,
                           TimePoint aBegun,
                           TimePoint aNow);

// Applies the platform's instance list, as addresses. A member missing from it
// for a lease and a margin no longer runs, and is not waited for until the
// isolation limit. Without this, the part of a zone whose instances were all
// replaced at once, at new addresses, could not be spent for an hour.
void
ShareLeaseOnInstanceList(ShareLease& aLease,
                         const std::set<std::string>& aAddresses,
                         TimePoint aNow);

// Members whose promise is needed during a platform outage.
std::vector<std::string>
ShareLeaseOtherMembers(const ShareLease& aLease);
// All of them promised; the round was begun at aBegun.
void
ShareLeaseOnAllPromised(ShareLease& aLease, TimePoint aBegun);
// Whether this instance can promise aMember that it isn't suspected. False when
// it is suspected or no longer a member in the known table.
bool
ShareLeaseCanPromise(const ShareLease& aLease, const std::string& aMember);

// Slots held here that another member should hold, or all when aLeaving. The
// driver closes them, then stores the table of ShareLeaseHandOver with the
// tokens left in them. Each goes straight to the member that should hold it, so
// that a tenant's share is never without a holder.
std::set<int>
ShareLeaseSlotsToHandOver(const ShareLease& aLease, bool aLeaving);
// Stops spending aSlots; returns those that were open. A newer table reopens
// all slots held in it: a pending hand-over was conditional on the older
// version, isn't in the newer one and so can never take effect.
std::set<int>
ShareLeaseClose(ShareLease& aLease, const std::set<int>& aSlots);
// Resumes spending after a hand-over that was never sent. Only for the slots
// that ShareLeaseClose returned: an earlier hand-over of the others may still
// take effect.
void
ShareLeaseReopen(ShareLease& aLease, const std::set<int>& aNewlyClosed);
ShareTable
ShareLeaseHandOver(const ShareLease& aLease,
                   const std::map<int, std::map<std::string, double>>& aLevels,
                   bool aLeaving);

} // namespace caraway

#endif
