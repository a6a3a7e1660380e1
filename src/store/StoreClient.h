// StoreClient.h: client of the platform's object store.
#ifndef caraway_store_StoreClient_h
#define caraway_store_StoreClient_h

#include <functional>
#include <string>

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "net/OutboundCall.h"
#include "platform/StoreMessage.h"

namespace caraway {

class StoreClient
{
public:
  using Done = std::function<void(StoreOutcome, const std::string& aBody)>;

  StoreClient(Reactor& aReactor,
              EventLog& aLog,
              Metrics& aMetrics,
              std::string aAddress);

  // aWhat names the call in the log and in metrics. aDone is called exactly
  // once.
  void Call(const char* aWhat, const wire::StoreCall& aCall, Done aDone);
  // As Call(), for a call that the store may hold open for aWait.
  void LongPoll(const char* aWhat,
                const wire::StoreCall& aCall,
                Millis aWait,
                Done aDone);

  // Time of the last answer that shows that the store serves this instance.
  TimePoint LastSuccessAt() const { return mLastSuccessAt; }
  // Whether the last call showed that the store serves this instance.
  bool Reachable() const { return mReachable; }
  // When the store last recovered from an outage.
  TimePoint RecoveredAt() const { return mRecoveredAt; }

private:
  void Record(const char* aWhat, StoreOutcome aOutcome);

  Reactor& mReactor;
  EventLog& mLog;
  Metrics& mMetrics;
  std::string mAddress;
  ChannelPool mPool;
  TimePoint mLastSuccessAt{};
  TimePoint mFailingSince{};
  TimePoint mRecoveredAt{};
  bool mReachable = false;
};

const char*
StoreOutcomeName(StoreOutcome aOutcome);

} // namespace caraway

#endif
