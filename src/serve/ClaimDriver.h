// ClaimDriver.h: runs ClaimStep against the platform, peers and an endpoint.
#ifndef caraway_serve_ClaimDriver_h
#define caraway_serve_ClaimDriver_h

#include <functional>
#include <string>

#include "base/WorkerPool.h"
#include "caraway/Clock.h"
#include "caraway/Result.h"
#include "decide/ClaimStep.h"
#include "peer/PeerClient.h"
#include "peer/PeerRpc.h"
#include "platform/PlatformApi.h"
#include "serve/ClaimRegistry.h"

namespace caraway {

struct Order
{
  std::string mTenant;
  std::string mKey;      // the caller's Idempotency-Key
  std::string mContent;  // profile, method, path and body; equal in a retry
  TimePoint mDeadline{}; // no endpoint is tried after it
};

struct OrderAnswer
{
  ClaimAnswer mAnswer;
  bool mReplayed = false;
};

// Result of looking up an order's claim without creating one.
enum class ClaimLookup
{
  Free,    // not claimed, or released without running
  Held,    // claimed, or already run
  Unknown, // the platform doesn't answer
};

class ClaimDriver
{
public:
  ClaimDriver(std::string aSelf,
              PlatformApi& aPlatform,
              PeerClient& aPeers,
              ClaimRegistry& aRegistry,
              WorkerPool& aWorkers,
              const Clock& aClock);

  // aSendOrder sends the order to one endpoint and reports the outcome:
  // NotForwarded, Answered or AnswerLost. It is called again only after
  // NotForwarded with mEndpointsLeft.
  Result<OrderAnswer> Run(const Order& aOrder,
                          const std::function<ClaimEvent()>& aSendOrder);

  // Looks up the claim of an order that is about to be refused for another
  // reason: an earlier attempt of it may have run.
  ClaimLookup LookUp(const Order& aOrder);

  void AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd);

private:
  struct Attempt
  {
    std::string mName; // object name of the claim
    ClaimState mState;
  };

  ClaimEvent Perform(Attempt& aAttempt,
                     const ClaimAction& aAction,
                     const std::function<ClaimEvent()>& aSendOrder);
  ClaimEvent Write(const Attempt& aAttempt,
                   const ClaimRecord& aRecord,
                   int64_t aExpected);
  ClaimEvent Read(const Attempt& aAttempt);
  ClaimEvent QueryCreator(const ClaimAction& aAction);
  ClaimEvent StoreRecord(const Attempt& aAttempt,
                         ClaimRecordState aState,
                         int64_t aVersion);
  void StoreInBackground(const Attempt& aAttempt,
                         const ClaimRecord& aRecord,
                         int64_t aVersion);
  Json::Value OnQuery(const Json::Value& aParams);

  std::string mSelf; // incarnation
  PlatformApi& mPlatform;
  PeerClient& mPeers;
  ClaimRegistry& mRegistry;
  WorkerPool& mWorkers;
  const Clock& mClock;
};

} // namespace caraway

#endif
