// ModelCalls.h: runs requests for model profiles on engines.
#ifndef caraway_serve_ModelCalls_h
#define caraway_serve_ModelCalls_h

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/Metrics.h"
#include "caraway/Clock.h"
#include "decide/RunTimeEstimates.h"
#include "serve/Authenticator.h"
#include "serve/EngineSlotFinder.h"
#include "serve/EngineStream.h"
#include "serve/LeaveGate.h"
#include "serve/RequestContext.h"
#include "serve/RetryBudget.h"
#include "share/ShareClient.h"

namespace caraway {

struct ModelCall
{
  RequestContext mContext;
  Json::Value mMessages;
  int mMaxTokens = 0;
};

struct ModelAnswer
{
  std::string mFinish; // finish reason
  std::vector<std::string> mTokens;
  bool mCold = false;
  double mPromptTokens = 0;
};

class ModelCalls
{
public:
  ModelCalls(EngineSlotFinder& aSlotFinder,
             ShareClient& aShares,
             Authenticator& aKeys,
             LeaveGate& aLeave,
             Metrics& aMetrics,
             const Clock& aClock);

  // Blocks. Calls aOnToken for each token once and in order; it returns false
  // if the caller has disconnected. A broken stream is resumed on another
  // engine after the tokens already passed on; if that isn't possible the call
  // fails, and a partial answer is never reported as complete.
  Result<ModelAnswer> Run(
    const ModelCall& aCall,
    const std::function<bool(const std::string&)>& aOnToken);

private:
  // One generation at one engine, and the key's error if it became invalid
  // meanwhile.
  struct Attempt
  {
    GenerateResult mResult;
    std::optional<ErrorKind> mKeyError;
  };

  // Checked before each attempt and again once it has an engine slot.
  Result<void> MayStartAttempt(const ModelCall& aCall,
                               const ModelAnswer& aSoFar,
                               bool aSent) const;
  Attempt GenerateAttempt(
    const ModelCall& aCall,
    const EngineSlotGrant& aGrant,
    const std::function<bool(const std::string&)>& aOnToken,
    ModelAnswer& aSoFar);
  Result<ModelAnswer> Generate(
    const ModelCall& aCall,
    const std::function<bool(const std::string&)>& aOnToken,
    ModelAnswer& aSoFar);
  Millis UsualTime(const ModelCall& aCall) const;
  void RecordTime(const ModelCall& aCall, TimePoint aSince);

  EngineSlotFinder& mSlotFinder;
  ShareClient& mShares;
  Authenticator& mKeys;
  LeaveGate& mLeave;
  Metrics& mMetrics;
  const Clock& mClock;
  RetryBudget mRetries;
  mutable std::mutex mLock;
  RunTimeEstimates mRunTimes; // of generations, by profile
};

// Upper bound of a request's cost in tokens: its prompt, estimated from its
// bytes, and all tokens it may generate.
double
ModelCallCost(const ModelCall& aCall);

} // namespace caraway

#endif
