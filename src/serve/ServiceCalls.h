// ServiceCalls.h: calls plain services; non-repeatable ones at most once.
#ifndef caraway_serve_ServiceCalls_h
#define caraway_serve_ServiceCalls_h

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "caraway/Clock.h"
#include "net/HttpCall.h"
#include "serve/ClaimDriver.h"
#include "serve/LeaveGate.h"
#include "serve/RequestContext.h"
#include "serve/RetryBudget.h"
#include "share/ShareClient.h"

namespace caraway {

struct ServiceCall
{
  RequestContext mContext;
  std::string mMethod;
  std::string mPath; // path at the service
  std::string mContentType;
  std::string mBody;
  std::string mIdempotencyKey; // required if the profile isn't repeatable
};

class ServiceCalls
{
public:
  ServiceCalls(ClaimDriver& aClaims,
               ShareClient& aShares,
               LeaveGate& aLeave,
               std::string aZone,
               const Clock& aClock);

  Result<OrderAnswer> Run(const ServiceCall& aCall);

private:
  static Order OrderOf(const ServiceCall& aCall, TimePoint aDeadline);
  Result<OrderAnswer> RefuseOrder(const ServiceCall& aCall,
                                  TimePoint aDeadline,
                                  const Failure& aFailure);
  Result<OrderAnswer> RunOnce(const ServiceCall& aCall, TimePoint aDeadline);
  Result<OrderAnswer> RunIdempotent(const ServiceCall& aCall,
                                    TimePoint aDeadline);
  // The group's endpoints in the order to try them: those of this zone first,
  // those that failed recently last.
  std::vector<EndpointSpec> Endpoints(const RequestContext& aContext);
  HttpReply Send(const ServiceCall& aCall,
                 const EndpointSpec& aEndpoint,
                 TimePoint aDeadline);

  ClaimDriver& mClaims;
  ShareClient& mShares;
  LeaveGate& mLeave;
  std::string mZone;
  const Clock& mClock;
  RetryBudget mRetries;
  std::mutex mLock;
  size_t mNextEndpoint = 0;
  std::map<std::string, TimePoint> mSuspectUntil; // by endpoint
};

} // namespace caraway

#endif
