// Exchange.h: one request of a caller, from its receipt to the final answer.
#ifndef caraway_exchange_Exchange_h
#define caraway_exchange_Exchange_h

#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "caraway/ErrorKind.h"
#include "decide/FirstTokenEstimate.h"
#include "decide/RegionRule.h"
#include "decide/RequestFacts.h"
#include "entry/CrashWatch.h"
#include "entry/EntryState.h"
#include "entry/ForwardPeers.h"
#include "entry/FreshnessCheck.h"
#include "entry/RateLimiter.h"
#include "entry/ServerPermits.h"
#include "entry/StreamOrigins.h"
#include "intake/InboundConnection.h"
#include "load/LoadRequester.h"
#include "net/EventStreamReader.h"
#include "net/OutboundCall.h"

namespace caraway {

class Exchange;

// What a pass over the waiting requests has found so far.
struct DispatchPass
{
  // Models for which there was no server that can take a request now, and what
  // was found. The requests that follow in the pass don't look again: with many
  // of them, looking through all servers for each one takes more time than
  // there is.
  std::unordered_map<std::string, ServerChoice> mWithoutServer;
  // See Exchange::InOrder().
  std::unordered_map<std::string, int> mAhead;      // still waiting, by pool
  std::unordered_map<std::string, Millis> mRunTime; // by service
};

// Keeps the requests that wait for a server; implemented by RequestDispatcher.
class ExchangeOwner
{
public:
  virtual ~ExchangeOwner() = default;
  virtual void WaitForServer(const std::shared_ptr<Exchange>& aExchange) = 0;
  // Tries the requests that wait in order, this one among them, after the
  // current event.
  virtual void TryInOrder(const std::shared_ptr<Exchange>& aExchange) = 0;
  // Whether requests of the service wait that are tried in order.
  virtual bool WaitInOrder(const std::string& aService) const = 0;
  virtual void OnExchangeDone(Exchange& aExchange) = 0;
};

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(EntryState& aState,
           ExchangeOwner& aOwner,
           RateLimiter& aRateLimiter,
           LoadRequester& aLoadRequester,
           ForwardPeers& aForwardPeers,
           StreamOrigins& aOrigins,
           CrashWatch& aCrashWatch,
           FreshnessCheck& aFreshnessCheck,
           ServerPermits& aServerPermits,
           std::shared_ptr<InboundConnection> aCaller,
           InboundRequest aRequest);

  void Begin();
  // Looks for a server again; returns true when the request no longer waits.
  bool TryDispatch(DispatchPass& aPass);
  // Whether the request is tried in the order of DispatchOrder, and refused by
  // SlotForecast: its servers report their pace.
  bool InOrder() const;
  WaitingRequest ToWaitingRequest() const;
  void OnCallerDisconnected();
  // Called before the process exits. Sends the final answer, "outcome unknown"
  // if the request may have run, or aborts a stream.
  void OnInstanceExit();

  const std::string& Id() const { return mFacts.mId; }
  int Priority() const { return mPriority; }
  const std::string& Service() const { return mService; }
  bool StillWaits() const { return mWaiting && !mFinished; }
  bool Streaming() const { return mStreaming; } // to the caller
  TimePoint Arrived() const { return mArrived; }
  const InboundConnection* Caller() const { return mCaller.get(); }

private:
  // Admission.
  bool Identify();
  bool AwaitCheck();
  bool Deny(ErrorKind aKind, const char* aWhy);
  void ApplyRoute();
  bool FollowConfig();
  bool AwaitFreshFeeds();
  void Admit();
  void SetDeadlines();
  void CountDemand();
  void AskForTokens(const TenantLimit& aTenant);
  void OnTokens(const TokenAnswer& aAnswer);
  // Choice of a server.
  void Dispatch();
  bool FindServer(DispatchPass& aPass);
  ServerChoice ChooseServer(DispatchPass& aPass);
  ServerRequirements RequirementsOf() const;
  // Zones whose servers the request must not reach.
  std::set<std::string> ExcludedZones() const;
  bool CallerStillWaits();
  void RefuseTooLate();
  bool OnEngine() const; // the service is one of model engines
  // The request has been sent to as many servers as its route allows, and none
  // of them is left.
  bool TriedServersGone(const ServerChoice& aChoice) const;
  // Servers that have named a rate limit.
  void AskForPermit(const std::string& aServer);
  void OnPermit(const ServerPermits::Answer& aAnswer);
  bool RefuseIfRateLimited();
  bool RefuseTooLateToStart(TimePoint aBegin);
  bool RefuseIfUnmeetable(const ServerChoice& aChoice, DispatchPass& aPass);
  void RefuseUnmeetable(Millis aWait, const ServerChoice& aChoice);
  void RefuseWithoutZone();
  Millis SpreadRetry(Millis aWait);
  void LogWaiting();
  void StopWaiting();
  bool ExpectsCallers() const;
  // Whether the request may be sent at aStart to a server of aServerLoad
  // requests per slot. False when the instance is leaving and would exit before
  // the answer is due.
  bool MayStart(TimePoint aStart, double aServerLoad = 0) const;
  Millis ExpectedRunTime(double aServerLoad) const;
  void RefuseShuttingDown();
  LoadRequest ToLoadRequest() const;
  LoadPurpose PurposeOfLoad() const;
  int MaxServers() const;  // that the request may be sent to
  Millis TimeLeft() const; // until the final answer is due
  // Order and forecast; see InOrder().
  std::string Pool() const; // the servers' slots that it competes for
  std::string ContentionKey(bool aReserved) const;
  bool LeavesReserve() const;
  bool RefuseByForecast(const ServerChoice& aChoice, DispatchPass& aPass);
  SlotFacts ToSlotFacts(const ServerChoice& aChoice, DispatchPass& aPass);
  void RecordInOrder();
  void RecordRejection();
  // Forwarding to another instance.
  int ServersLeft() const;
  bool HandOver();
  bool RefuseUnreachable();
  void Forward(const ForwardTarget& aPeer);
  void OnPeerUnreached();
  void OnPeerRejected();
  // Resumable streams; see StreamOrigins.
  bool Resumable() const;
  const std::string& StreamId() const;
  void DispatchFirst();
  void OnOrigin(const StreamLookup& aLookup);
  void RecordOrigin();
  void OnPeerVersion(const HttpHead& aHead);
  bool HoldEvents(size_t aBytes);
  bool ServerChangedVersion() const;
  bool AwaitEntry(size_t aBytes);
  bool EntryInDoubt() const;
  void OnEntryRead();
  bool AwaitFormerEnd(size_t aBytes);
  bool CheckRestart();
  void PinVersion();
  bool RefuseWithoutVersion();
  // Requests that crash servers; see CrashWatch.
  const RequestNames& Names();
  bool RefuseIfHarmful();
  void FailOnceStored();
  void Fail();
  const PromptParts& SharedParts();
  std::string SharedPartsText();
  bool RefuseIfBlocked();
  bool AwaitProbe();
  void OnProbeAnswer(bool aGranted);
  void RefuseBlocked(const CrashWatch::Block& aBlock);
  ServerLife RunLife() const { return { mServer, mRunStartTime }; }
  bool AnswerIsYoung() const;
  void WatchBytes();
  void WatchBroken(CallOutcome aOutcome);
  void WatchComplete();
  // The prompt at a server, until its first event; see FirstTokenEstimate.
  void ExpectFirstToken(const Backend& aBackend);
  void BeginPrompt();
  void OnFirstBytes();
  void EndPrompt();
  // One send to a server.
  void Send(Backend& aBackend);
  void StartCall(ChannelPool& aPool, OutboundRequest aRequest);
  std::string ServerRequestHead(const Backend& aBackend) const;
  void OnHead(const HttpHead& aHead);
  void RecordServerFacts();
  void OnBody(std::string& aBytes);
  void OnEvents(size_t aBytes);
  void EndIfEndless(const std::string& aKept);
  void OnCallDone(CallOutcome aOutcome);
  void LogUnserved(CallOutcome aOutcome);
  bool StreamEndedInsideEvent() const;
  void OnCompleteAnswer();
  void OnUnprovenRefusal();
  void OnNotRun();
  void OnNotSent();
  void OnAnswerLost(CallOutcome aOutcome);
  void ReleaseCall();
  // Retries.
  bool Repeatable() const;
  bool MayRerun() const;
  bool SpendRetry();
  bool MayRetry();
  bool RefuseWithoutRetry();
  void DispatchLater(Millis aDelay);
  // Answers.
  void StartStream(const HttpHead& aHead);
  void ForwardEvents(size_t aBytes);
  void RecordPause();
  void Refuse(ErrorKind aKind, Millis aAfter, const char* aWhy);
  void AnswerCaller(int aStatus,
                    std::vector<HttpField> aFields,
                    std::string_view aBody,
                    const char* aWhy);
  void OnDeadline();
  const char* AnswerFraming() const; // "" = no answer from a server
  void End(int aStatus, const char* aWhy);

  RequestClass Class() const;
  std::string FullName() const; // MODEL or MODEL/ADAPTER

  EntryState& mState;
  ExchangeOwner& mOwner;
  RateLimiter& mRateLimiter;
  LoadRequester& mLoadRequester;
  ForwardPeers& mForwardPeers;
  StreamOrigins& mOrigins;
  CrashWatch& mCrashWatch;
  FreshnessCheck& mFreshnessCheck;
  ServerPermits& mServerPermits;
  std::shared_ptr<InboundConnection> mCaller;
  InboundRequest mRequest;  // without its body
  SharedBytes mRequestBody; // all sends share it
  RequestFacts mFacts;
  RegionRule mRegions; // by route and tenant
  // In force when the request was admitted, or as it last waited.
  ServingConfigPtr mConfig;
  int mChecks = 0;        // of the feeds, before it is admitted or denied
  TimePoint mDoubtedAt{}; // see AwaitFreshFeeds()
  const RouteSpec* mRoute = nullptr;
  std::string mService;
  std::string mTenant;
  int mPriority = 5;
  TimePoint mArrived;
  TimePoint mFinalAnswerBy{};
  TimePoint mFirstByteBy{}; // if later, the caller has given up
  Reactor::TimerId mTimer{};

  std::set<std::string> mTriedServers; // may have received the request
  std::set<std::string> mBadServers;   // not used again for this request
  std::optional<TokenGrant> mGrant;    // until a server runs the request
  int mSends = 0;
  RunHistory mRuns;
  std::shared_ptr<OutboundCall> mCall;
  std::string mServer; // of mCall; the peer's name while forwarding
  // Software version of mServer; nothing if a peer doesn't tell.
  std::optional<std::string> mRunVersion;
  int64_t mRunStartTime = 0; // of mServer, by its entry
  bool mContinues = false;   // mCall goes on where another run ended
  // Once the caller has an event of a resumable stream, only servers of this
  // version may run it.
  std::optional<std::string> mVersion;
  bool mForwarding = false; // mCall goes to another instance
  int mForwards = 0;
  int mUnreached = 0; // near servers to which no connection was established
  TimePoint mSentAt{};
  TimePoint mAnswerBeganAt{}; // first bytes of the body of mCall's answer
  RunFacts mRunFacts;         // of mCall
  // Of mCall, if its server's service reports its pace.
  std::optional<FirstTokenFacts> mFirstTokenFacts;
  Millis mExpectedFirst{ -1 };
  double mUnreadTokens = 0; // those counted as unread at mServer
  TimePoint mFirstByteAt{}; // of an answer to the caller
  HttpHead mAnswer;         // of mCall
  AnswerFacts mAnswerFacts;
  RunProof mProof = RunProof::None; // by the head of mCall's answer
  bool mHasAnswerHead = false;
  std::string mBody;      // of an answer that is not streamed
  std::string mEvents;    // of a stream: bytes not yet forwarded
  size_t mHeldEvents = 0; // bytes of mEvents that are complete events
  // Bytes of complete events that wait in AwaitEntry() or AwaitFormerEnd().
  size_t mUnsureEvents = 0;
  bool mEntryAsked = false;       // by AwaitEntry(), during mCall
  bool mAwaitsEntry = false;      // mUnsureEvents wait for the server's entry
  bool mCompleteUnsure = false;   // mCall ended whole while they waited
  EventStreamReader mEventReader; // of a stream: all bytes from mServer
  std::string mLastEvent;         // id of the last event forwarded
  bool mStreaming = false;        // the head of a stream was sent to the caller
  std::optional<PromptParts> mSharedParts; // see SharedParts()
  std::optional<RequestNames> mNames;      // see Names()
  int mEndsBefore = 0;     // servers that had ended under it as mCall was sent
  bool mProbing = false;   // may be sent though its part is blocked
  TimePoint mToldGoodAt{}; // when mCall's answer was last told to be good
  // Of a permit to send to a server that has named a rate limit: being asked
  // for, when it can be used, or when the next one is free if that is too late.
  bool mPermitAsked = false;
  TimePoint mPermitAt{};
  TimePoint mPermitFreeAt{};
  bool mWaiting = false;
  bool mWaitLogged = false; // since mWaiting: no server at the first attempt
  bool mRetryOwed = false;  // the next send is a retry and not yet spent
  bool mColdStart = false;  // waited for a model or adapter to be loaded
  TimePoint mLastChunkAt{}; // of a stream
  bool mFinished = false;
};

} // namespace caraway

#endif
