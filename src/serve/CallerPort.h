// CallerPort.h: the HTTP API for callers.
#ifndef caraway_serve_CallerPort_h
#define caraway_serve_CallerPort_h

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "base/Metrics.h"
#include "caraway/Clock.h"
#include "net/HttpPort.h"
#include "serve/Authenticator.h"
#include "serve/BriefingStore.h"
#include "serve/CallerAnswer.h"
#include "serve/ModelCalls.h"
#include "serve/ServiceCalls.h"

namespace caraway {

struct CallerPortSettings
{
  std::string mListen;
  HttpPortLimits mLimits;
  size_t mBodyLimit = 1024 * 1024; // bytes
  Millis mBodyTimeout{ 10000 };    // to receive the complete body
};

// POST /v1/chat/completions   a model profile; "stream": true for events
// GET  /v1/models             the profiles that the key may use
// POST /v1/briefings          a model profile that may wait: 202 once stored
// GET  /v1/briefings/ID       its state, and its result or final refusal
// *    /v1/services/PROFILE/… a plain service, body and method passed through
class CallerPort
{
public:
  CallerPort(CallerPortSettings aSettings,
             ConfigHolder& aConfig,
             Authenticator& aKeys,
             ModelCalls& aModels,
             ServiceCalls& aServices,
             BriefingStore& aBriefings,
             Metrics& aMetrics,
             const Clock& aClock);

  void Open();
  std::string Address() const { return mPort->Address(); }
  // Requests whose first byte has arrived and whose response isn't complete.
  int InFlight() const { return mPort->Busy(); }
  // Keeps serving, but closes each connection after its response so that
  // callers reconnect to another instance.
  void Leave() { mPort->Leave(); }
  // Lets requests in flight finish and refuses new ones at once. Without a
  // refusal, callers that still connect after the time in which the balancer
  // should have removed this instance would wait in the listen backlog until
  // the process exits, and then be reset with their request sent.
  void Drain() { mDraining = true; }
  // Answers ShuttingDown to all requests still in flight, until aUntil at most.
  // Returns how many of them had begun work that is cut off.
  int AnswerShuttingDown(TimePoint aUntil);
  // Closes the port, allowing aWithin to send pending responses.
  void Close(Millis aWithin) { mPort->End(aWithin); }

private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;
  class PendingAnswer; // registers a response for the time it is pending

  void Handle(Request& aRequest, Response& aResponse);
  // The refusal sent while the port drains.
  Failure RefuseWhileDraining(Request& aRequest) const;
  Result<void> Route(Request& aRequest,
                     CallerAnswer& aAnswer,
                     RequestContext& aContext);
  // Reads body, profile and token limit of a chat or briefing request.
  Result<ModelCall> ReadChat(Request& aRequest,
                             RequestContext& aContext,
                             bool& aStream) const;
  Result<void> Chat(Request& aRequest,
                    CallerAnswer& aAnswer,
                    RequestContext& aContext);
  Result<void> Service(Request& aRequest,
                       CallerAnswer& aAnswer,
                       RequestContext& aContext,
                       const std::string& aPath);
  Result<void> AcceptBriefing(Request& aRequest,
                              CallerAnswer& aAnswer,
                              RequestContext& aContext);
  Result<void> FetchBriefing(CallerAnswer& aAnswer,
                             const RequestContext& aContext,
                             const std::string& aId);
  void ListModels(CallerAnswer& aAnswer, const RequestContext& aContext);
  Result<void> FindProfile(RequestContext& aContext,
                           const std::string& aName) const;
  void Refuse(CallerAnswer& aAnswer,
              const RequestContext& aContext,
              const Failure& aFailure);

  CallerPortSettings mSettings;
  ConfigHolder& mConfig;
  Authenticator& mKeys;
  ModelCalls& mModels;
  ServiceCalls& mServices;
  BriefingStore& mBriefings;
  Metrics& mMetrics;
  const Clock& mClock;
  std::atomic<bool> mDraining{ false };
  std::mutex mLock;
  std::set<CallerAnswer*> mPendingAnswers;
  std::unique_ptr<HttpPort> mPort;
};

} // namespace caraway

#endif
