// ServerRoom.h: room on a server for models and adapters.
#ifndef caraway_decide_ServerRoom_h
#define caraway_decide_ServerRoom_h

#include <set>
#include <string>

#include "decide/BackendEntry.h"
#include "decide/ServingConfig.h"

namespace caraway {

struct RoomUse
{
  double mMb = 0;    // models and adapters
  int mAdapters = 0; // slots
};

// Memory of a model that a server holds with these adapters, in MB.
double
MbOf(const EngineSpec& aEngine,
     const std::string& aModel,
     const std::set<std::string>& aAdapters);

RoomUse
RoomUsedBy(const EngineSpec& aEngine, const HeldModels& aHeld);

// Memory left beside aHeld, in MB; negative if aHeld exceeds the memory.
double
FreeMb(const EngineSpec& aEngine, const HeldModels& aHeld);

// Whether aModel, or aAdapter of it, fits on a server beside aHeld.
bool
FitsBeside(const EngineSpec& aEngine,
           const HeldModels& aHeld,
           const std::string& aModel,
           const std::string& aAdapter);

} // namespace caraway

#endif
