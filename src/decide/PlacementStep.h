// PlacementStep.h: changes to a placement record, as pure steps.
//
// A step changes a copy; the driver stores the copy by conditional update
// and acts only when that took effect. Bytes are charged from the decision
// to load until the replica was *seen* gone, so that at every moment the
// engine holds no more than the record says, and the record no more than
// the memory.
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
const PlacedReplica*
PlacementFind(const PlacementRecord& aRecord,
              const std::string& aName,
              const std::string& aVersion);

// False, and nothing changed, when it doesn't fit or is there already in any
// state. Nothing is ordered before the changed record is stored.
bool
PlacementDecideLoad(PlacementRecord& aRecord, const PlacementLoad& aLoad);

// Gives the replica a new fencing number and charges it until it is seen
// gone for good. False when it isn't there or is going already.
bool
PlacementDecideUnload(PlacementRecord& aRecord,
                      const std::string& aName,
                      const std::string& aVersion);

// To be stored before the load order of a decision is sent once more: counts
// the copy and gives it a new number. False when it isn't loading any more.
bool
PlacementResend(PlacementRecord& aRecord, const std::string& aDecision);

// The load order of aDecision was answered. Settles it only if no second copy
// has ever been allowed: that one may still be on its way.
bool
PlacementAcknowledge(PlacementRecord& aRecord, const std::string& aDecision);

// Takes in what the engine says: ready, gone, unexpected. The report must be
// younger than the record. aExpired: decisions whose replica has been going for
// longer than any order takes to arrive, by the caller's own clock. True when
// the record changed and should be stored.
bool
PlacementObserve(PlacementRecord& aRecord,
                 const EngineReport& aReport,
                 const std::set<std::string>& aExpired = {});

} // namespace caraway

#endif
