// PlacementRecord.h: what is decided about one engine's memory.
#ifndef caraway_decide_PlacementRecord_h
#define caraway_decide_PlacementRecord_h

#include <cstdint>
#include <string>
#include <vector>

namespace caraway {

enum class ReplicaState
{
  Loading,   // decided; its order may or may not have gone out
  Ready,     // seen loaded at the engine
  Unloading, // decided to go; its bytes stay charged until it is seen gone
};

struct PlacedReplica
{
  std::string mName; // model or adapter
  std::string mVersion;
  std::string mBase; // "" for a model
  int64_t mBytes = 0;
  ReplicaState mState = ReplicaState::Loading;
  int64_t mFencingToken = 0;  // number its last order carries
  std::string mDecision;      // id of the decision, drawn by the decider
  int mLoadOrdersSent = 1;    // load orders that may have been sent for it
  bool mAcknowledged = false; // the only one sent was answered
};

// One per engine, replaced as a whole by conditional update. That update is
// the fence: what isn't in the stored record is not ordered.
struct PlacementRecord
{
  std::string mEndpoint;
  int64_t mMemory = 0;
  bool mChecksFencing = false;
  int64_t mFencingToken = 0; // highest number given out
  std::vector<PlacedReplica> mReplicas;
};

} // namespace caraway

#endif
