// EngineClient.h: orders to engines, and their reports.
#ifndef caraway_own_EngineClient_h
#define caraway_own_EngineClient_h

#include <string>

#include "caraway/Result.h"
#include "decide/EngineReport.h"
#include "decide/PlacementRecord.h"
#include "net/HttpPool.h"

namespace caraway {

enum class OrderOutcome
{
  Accepted,           // the engine answered; it has begun
  Outdated,           // refused: it has taken a higher fencing number
  InsufficientMemory, // refused: its memory
  NotSent,            // no byte of it was offered
  Unanswered,         // offered, no answer; may still arrive
};

class EngineClient
{
public:
  EngineClient();

  // On a connection of its own, once.
  OrderOutcome Load(const std::string& aAddress, const PlacedReplica& aReplica);
  OrderOutcome Unload(const std::string& aAddress,
                      const PlacedReplica& aReplica);
  Result<EngineReport> Report(const std::string& aAddress);

private:
  OrderOutcome Order(const std::string& aAddress,
                     const char* aOrder,
                     const PlacedReplica& aReplica);

  HttpPool mPool;
};

} // namespace caraway

#endif
