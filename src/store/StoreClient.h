// StoreClient.h: the one client of the platform's object store.
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

  // aWhat names the call in logs and counters. Answers once, always.
  void Call(const char* aWhat, const wire::StoreCall& aCall, Done aDone);
  // The same, for a call that the store may keep waiting for aWait.
  void LongPoll(const char* aWhat,
                const wire::StoreCall& aCall,
                Millis aWait,
                Done aDone);

  // The last answer that proves that it serves this instance.
  TimePoint LastSuccessAt() const { return mLastSuccessAt; }
  // It serves this instance, as far as is known.
  bool Reachable() const { return mReachable; }
  // When it was last reached again after an outage.
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
