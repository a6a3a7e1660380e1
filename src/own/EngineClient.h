// EngineClient.h: sends orders to engines and reads their reports.
#ifndef caraway_own_EngineClient_h
#define caraway_own_EngineClient_h

#include <string>

#include "caraway/Result.h"
#include "decide/EngineReport.h"
#include "decide/PlacementRecord.h"
#include "net/HttpCall.h"

namespace caraway {

enum class OrderOutcome
{
  Accepted,           // the engine confirmed and has begun
  Outdated,           // refused: the engine has seen a higher fencing token
  InsufficientMemory, // refused: too little memory
  NotSent,            // no byte was sent
  Unanswered,         // sent, no answer; may still be carried out
};

class EngineClient
{
public:
  // Each call has a connection of its own: an order must not be sent twice, and
  // nothing in an answer tells which call it belongs to.
  OrderOutcome Load(const std::string& aAddress, const PlacedReplica& aReplica);
  OrderOutcome Unload(const std::string& aAddress,
                      const PlacedReplica& aReplica);
  Result<EngineReport> Report(const std::string& aAddress);

private:
  OrderOutcome Order(const std::string& aAddress,
                     const char* aOrder,
                     const PlacedReplica& aReplica);
};

} // namespace caraway

#endif
