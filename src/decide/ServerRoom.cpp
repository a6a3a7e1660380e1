#include "decide/ServerRoom.h"

namespace caraway {

double
MbOf(const EngineSpec& aEngine,
     const std::string& aModel,
     const std::set<std::string>& aAdapters)
{
  ModelSize size = aEngine.SizeOf(aModel);
  return size.mMb + size.mAdapterMb * static_cast<double>(aAdapters.size());
}

RoomUse
RoomUsedBy(const EngineSpec& aEngine, const HeldModels& aHeld)
{
  RoomUse use;
  for (const auto& [model, adapters] : aHeld) {
    use.mMb += MbOf(aEngine, model, adapters);
    use.mAdapters += static_cast<int>(adapters.size());
  }
  return use;
}

double
FreeMb(const EngineSpec& aEngine, const HeldModels& aHeld)
{
  return aEngine.mMemoryMb - RoomUsedBy(aEngine, aHeld).mMb;
}

bool
FitsBeside(const EngineSpec& aEngine,
           const HeldModels& aHeld,
           const std::string& aModel,
           const std::string& aAdapter)
{
  auto model = aEngine.mModels.find(aModel);
  if (model == aEngine.mModels.end()) {
    return false;
  }
  RoomUse use = RoomUsedBy(aEngine, aHeld);
  double free = aEngine.mMemoryMb - use.mMb;
  if (aAdapter.empty()) {
    return free >= model->second.mMb;
  }
  return free >= model->second.mAdapterMb &&
         use.mAdapters < aEngine.mAdapterSlots;
}

} // namespace caraway
