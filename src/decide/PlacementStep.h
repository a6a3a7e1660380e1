// PlacementStep.h: changes to a placement record, as pure steps.
//
// A step changes a copy; the driver stores the copy by conditional update
// and acts only when that took effect. Bytes are charged from the decision
// to load until the replica was *seen* gone, so that at every moment the
// engine holds no more than the record says, and the record no more than
// the memory.
#ifndef caraway_decide_PlacementStep_h
#define caraway_decide_PlacementStep_h

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
// gone. False when it isn't there, is going already, or may not go yet: at an
// engine that ignores fencing, a load order still on its way would bring it
// back after it was seen gone, as a replica nobody decided. aHorizonPassed
// says that no order from before can still arrive.
bool
PlacementDecideUnload(PlacementRecord& aRecord,
                      const std::string& aName,
                      const std::string& aVersion,
                      bool aHorizonPassed);

// Gives a replica whose order was refused as outdated (a later decision's
// order overtook it) a new number. False when it isn't loading any more.
bool
PlacementRenumber(PlacementRecord& aRecord, const std::string& aDecision);

// Notes that no load order of aDecision can still arrive: the only one sent
// was answered, or all are older than the horizon.
bool
PlacementSettle(PlacementRecord& aRecord, const std::string& aDecision);

// Takes in what the engine says: ready, gone, unexpected. True when the
// record changed and should be stored.
bool
PlacementObserve(PlacementRecord& aRecord, const EngineReport& aReport);

} // namespace caraway

#endif
