// PlacementRecord.h: the stored placement decisions for one engine's memory.
#ifndef caraway_decide_PlacementRecord_h
#define caraway_decide_PlacementRecord_h

#include <cstdint>
#include <string>
#include <vector>

namespace caraway {

enum class ReplicaState
{
  Loading,   // decided; its load order may or may not have been sent
  Ready,     // the engine reported it loaded
  Unloading, // to be evicted; its bytes stay charged until it is reported gone
};

struct PlacedReplica
{
  std::string mName; // model or adapter
  std::string mVersion;
  std::string mBase; // "" for a model
  int64_t mBytes = 0;
  ReplicaState mState = ReplicaState::Loading;
  int64_t mFencingToken = 0;  // token of its latest order
  std::string mDecision;      // random id of the decision
  int mLoadOrdersSent = 1;    // upper bound
  bool mAcknowledged = false; // the only load order sent was answered
};

// One record per engine, always replaced as a whole by conditional update. The
// update is the fence between deciders: an order is sent only for what the
// stored record contains.
struct PlacementRecord
{
  std::string mEndpoint;
  int64_t mMemory = 0;
  bool mChecksFencing = false;
  int64_t mFencingToken = 0; // highest token issued
  std::vector<PlacedReplica> mReplicas;
};

} // namespace caraway

#endif
