// PlacementStep.h: changes to a placement record, as pure functions.
//
// Each function changes a copy; the driver stores the copy by conditional
// update and sends orders only if the update took effect. Bytes are charged
// from the decision to load until the engine reports the replica gone and no
// order can bring it back. So the engine never holds more than the record
// charges, and the record never charges more than the engine's memory.
//
// An engine that checks fencing forgets the highest token when it restarts, and
// accepts load orders from before. What may still come is bounded apart, see
// PlacementArriving(); replicas that have left the record are kept for it, and
// return to the record when a report shows that the engine would accept their
// orders.
#ifndef caraway_decide_PlacementStep_h
#define caraway_decide_PlacementStep_h

#include <set>
#include <string>

#include "decide/EngineReport.h"
#include "decide/PlacementRecord.h"

namespace caraway {

struct PlacementLoad
{
  std::string mName;
  std::string mVersion;
  std::string mBase;
  int64_t mBytes = 0;
  std::string mDecision;
};

int64_t
PlacementCharged(const PlacementRecord& aRecord);
int64_t
PlacementFree(const PlacementRecord& aRecord);
// Bytes that load orders on their way bring to an engine that restarts now, at
// most. An unload makes none of them free.
int64_t
PlacementArriving(const PlacementRecord& aRecord);
const PlacedReplica*
PlacementFind(const PlacementRecord& aRecord,
              const std::string& aName,
              const std::string& aVersion);

// Adds the replica in state Loading. False, and nothing changed, when it
// doesn't fit, beside what is charged or beside what may arrive, or is in the
// record already, in any state. No order may be sent before the changed record
// is stored.
bool
PlacementDecideLoad(PlacementRecord& aRecord, const PlacementLoad& aLoad);

// Gives the replica a new fencing token and keeps it charged until it is
// provably gone. False when it isn't in the record or is unloading already.
bool
PlacementDecideUnload(PlacementRecord& aRecord,
                      const std::string& aName,
                      const std::string& aVersion);

// Counts another load order of a decision and gives it a new fencing token.
// Must be stored before the order is sent again. False when the replica isn't
// loading any more.
bool
PlacementResend(PlacementRecord& aRecord, const std::string& aDecision);

// Records that the load order of aDecision was answered. Has an effect only if
// no second copy was ever allowed, since that copy may still be in flight.
bool
PlacementAcknowledge(PlacementRecord& aRecord, const std::string& aDecision);

// Applies an engine report: replicas that became ready, are gone, may come back
// after a restart or were never decided. The report must be younger than the
// record. aExpired: decisions whose replica, departed or not, has been in a
// state other than Loading for longer than any order can take to arrive, by the
// caller's own clock. True when the record changed and should be stored.
bool
PlacementObserve(PlacementRecord& aRecord,
                 const EngineReport& aReport,
                 const std::set<std::string>& aExpired = {});

} // namespace caraway

#endif
