// Exchange.h: one request of a caller, from its reading to its answer.
#ifndef caraway_entry_Exchange_h
#define caraway_entry_Exchange_h

#include <memory>
#include <set>
#include <string>

#include "caraway/ErrorKind.h"
#include "decide/RequestFacts.h"
#include "entry/EntryState.h"
#include "entry/InboundConnection.h"
#include "entry/LoadRequester.h"
#include "entry/RateLimiter.h"
#include "net/OutboundCall.h"

namespace caraway {

class Exchange;

// Where requests wait for a server; see RequestDispatcher.
class ExchangeOwner
{
public:
  virtual ~ExchangeOwner() = default;
  virtual void WaitForServer(const std::shared_ptr<Exchange>& aExchange) = 0;
  virtual void OnExchangeDone(Exchange& aExchange) = 0;
};

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(EntryState& aState,
           ExchangeOwner& aOwner,
           RateLimiter& aRateLimiter,
           LoadRequester& aLoadRequester,
           std::shared_ptr<InboundConnection> aCaller,
           InboundRequest aRequest);

  void Begin();
  // Looks for a server again. True when it no longer waits.
  bool TryDispatch();
  void OnCallerDisconnected();
  // The process ends: a last answer, as true as one can be.
  void OnInstanceExit();

  const std::string& Id() const { return mFacts.mId; }
  int Priority() const { return mPriority; }
  TimePoint Arrived() const { return mArrived; }
  const InboundConnection* Caller() const { return mCaller.get(); }

private:
  // Admission.
  bool Identify();
  void SetTimes();
  void CountDemand();
  void AskForTokens(const TenantLimit& aTenant);
  void OnTokens(const TokenAnswer& aAnswer);
  // Finding a server.
  void Dispatch();
  bool FindServer();
  // It may go to no other server, and none of those it went to is left.
  bool TriedServersGone(const ServerChoice& aChoice) const;
  bool RefuseIfUnmeetable(const ServerChoice& aChoice);
  void RefuseUnmeetable(Millis aWait, bool aHeld);
  bool Admits() const;
  // This instance may send it to a server at aStart; false while it leaves and
  // its end would cut the request.
  bool MayStart(TimePoint aStart) const;
  void RefuseShuttingDown();
  LoadRequest ToLoadRequest() const;
  // One send.
  void Send(Backend& aBackend);
  std::string ServerRequestHead(const Backend& aBackend) const;
  void OnHead(const HttpHead& aHead);
  void OnBody(std::string& aBytes);
  void OnCallDone(CallOutcome aOutcome);
  void OnCompleteAnswer();
  void OnNotRun();
  void OnNotSent();
  void OnAnswerLost(CallOutcome aOutcome);
  void ReleaseCall();
  // Repeats.
  bool MayRerun() const;
  bool SpendRetry();
  bool MayRetry();
  void DispatchLater(Millis aDelay);
  // Answers.
  void StartStream(const HttpHead& aHead);
  void ForwardEvents();
  void RecordPause();
  void Refuse(ErrorKind aKind, Millis aAfter, const char* aWhy);
  void OnDeadline();
  void End(int aStatus, const char* aWhy);

  RequestClass Class() const;
  std::string FullName() const; // MODEL or MODEL/ADAPTER

  EntryState& mState;
  ExchangeOwner& mOwner;
  RateLimiter& mRateLimiter;
  LoadRequester& mLoadRequester;
  std::shared_ptr<InboundConnection> mCaller;
  InboundRequest mRequest;
  RequestFacts mFacts;
  ServingConfigPtr mConfig; // the one that admitted it
  const RouteSpec* mRoute = nullptr;
  std::string mService;
  std::string mTenant;
  int mPriority = 5;
  TimePoint mArrived;
  TimePoint mFinalAnswerBy{}; // final answer by then
  TimePoint mFirstByteBy{};   // the caller leaves without a first byte by then
  Reactor::TimerId mTimer{};

  std::set<std::string> mTriedServers; // servers that may have seen it
  std::set<std::string> mBadServers;   // servers that it isn't sent to again
  std::optional<TokenGrant> mGrant;    // while its tokens aren't used
  int mSends = 0;
  int mPossibleRuns = 0;    // sends that ended without proof that it didn't run
  bool mMayHaveRun = false; // a send ended without proof that it didn't
  std::shared_ptr<OutboundCall> mCall;
  std::string mServer; // of mCall
  TimePoint mSentAt{};
  TimePoint mFirstByteAt{}; // first byte of an answer to the caller
  HttpHead mAnswer;         // of mCall
  AnswerFacts mAnswerFacts;
  bool mHasAnswerHead = false;
  std::string mBody;       // of an answer that is handed over whole
  std::string mEvents;     // of a stream, not yet a whole event
  std::string mLastEvent;  // id of the last event handed over
  bool mStreaming = false; // the caller has the head of a stream
  bool mWaiting = false;
  bool mColdStart = false;  // its model or adapter had to be brought
  TimePoint mLastChunkAt{}; // of a stream
  bool mFinished = false;
};

} // namespace caraway

#endif
