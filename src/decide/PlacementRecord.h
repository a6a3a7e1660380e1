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
  int64_t mFencingToken = 0; // token of its latest order
  std::string mDecision;     // random id of the decision
  int mLoadOrdersSent = 1;   // upper bound
  // No load order is on its way any more: the only one sent was answered, or
  // all are older than any order can be.
  bool mAcknowledged = false;
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
  // Gone, with a load order perhaps still on its way. The engine's fence
  // refuses that order, until the engine restarts and has seen no token.
  std::vector<PlacedReplica> mDeparted;
};

} // namespace caraway

#endif
