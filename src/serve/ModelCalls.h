// ModelCalls.h: from a profile to tokens.
#ifndef caraway_serve_ModelCalls_h
#define caraway_serve_ModelCalls_h

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/Metrics.h"
#include "caraway/Clock.h"
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

  // Blocks. aOnToken gets each token once and in order; false: the caller
  // has gone. A stream that breaks is taken up elsewhere, after the tokens
  // that were passed on; when that can't be, the failure says so and the
  // answer is never passed off as whole.
  Result<ModelAnswer> Run(
    const ModelCall& aCall,
    const std::function<bool(const std::string&)>& aOnToken);

private:
  // One generation at one engine, and what the key had against it.
  struct Attempt
  {
    GenerateResult mResult;
    std::optional<ErrorKind> mKeyError;
  };

  // Before each try, and again when it has waited for its place.
  Result<void> MayStartAttempt(const ModelCall& aCall,
                               const ModelAnswer& aSoFar,
                               bool aOffered) const;
  Attempt GenerateAttempt(
    const ModelCall& aCall,
    const EngineSlotGrant& aGrant,
    const std::function<bool(const std::string&)>& aOnToken,
    ModelAnswer& aSoFar);
  Result<ModelAnswer> Generate(
    const ModelCall& aCall,
    const std::function<bool(const std::string&)>& aOnToken,
    ModelAnswer& aSoFar);
  EngineSlotFinder& mSlotFinder;
  ShareClient& mShares;
  Authenticator& mKeys;
  LeaveGate& mLeave;
  Metrics& mMetrics;
  const Clock& mClock;
  RetryBudget mRetries;
};

// What a request may cost at most: its prompt, by its bytes, and all the
// tokens it may have generated.
double
ModelCallCost(const ModelCall& aCall);

} // namespace caraway

#endif
