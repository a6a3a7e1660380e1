// StandInServer.h: a server behind the entry instances that implements the
// platform's published protocol and can be made to fail as servers do.
#ifndef caraway_tests_StandInServer_h
#define caraway_tests_StandInServer_h

#include <deque>
#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "decide/BackendEntry.h"
#include "entry/EntryState.h"
#include "net/Channel.h"
#include "net/HttpHead.h"

#include <Poco/Net/ServerSocket.h>

namespace caraway {

// How the server handles the requests that it receives.
enum class ServerBehaviour
{
  Proper,
  Refuses,        // rejects with a proof that it did not run the request
  RunsThenCloses, // runs, then closes without an answer
  CutsHead,       // runs, then closes in the middle of its answer's head
  Truncates,      // closes in the middle of the body
  Unsealed,       // an answer without the server's seal; see mUnsealedStatus
  Encoded,        // a success in a content coding that was not requested
  LateAnswer,     // another request's answer first, then the right one
  ExtraAnswer,    // a second answer after the right one
  Garbage,        // bytes that are not an HTTP answer
  Fails,          // its own 500
  Hangs,          // never answers
  EndlessInterim, // interim answers without end
  EndlessHead,    // a header line without end
  EndlessTrailer, // trailer lines without end after the last chunk
  EndlessBody,    // a body without length or end
  EndlessEvent,   // a stream's event without end
  EndlessForeign, // an answer without end to another request
  StopsMidway,    // a stream stops in the middle of its third event
};

// When a server ends under a request with mCrashBody.
enum class CrashMoment
{
  MidEvent,     // mCrashDelay after the first bytes of a stream
  BeforeAnswer, // mCrashDelay after the request was taken on, without an answer
  Late,         // mCrashDelay after the beginning of a stream that goes on well
};

struct ServerRun
{
  std::string mId;
  std::string mTenant;
  std::string mKey; // the caller's key, which servers must never receive
  std::string mLastEvent;
  std::string mVersion; // of the server as it ran the request
  std::string mTarget;
  std::string mBody;
  int64_t mLeftMs = -1;
  TimePoint mAt{};
};

// One crash under a request with mCrashPart.
struct ServerCrashRecord
{
  std::string mId; // of the request
  TimePoint mReceivedAt{};
  TimePoint mAt{};
};

class StandInServer
{
public:
  StandInServer(Reactor& aReactor, std::string aId);
  ~StandInServer();

  // Refuses new connections; those that are open go on.
  void RefuseConnections();
  // Starts again under its id and address, empty, with another version of its
  // software. Its connections end; its entry is the caller's to list. Orders
  // that are still on their way reach the new process.
  void Restart(std::string aVersion);
  void Restart() { Restart(mVersion); }
  // Ends as its process does when it crashes, and is back after mDownTime under
  // its id and address, with the models that it held.
  void Crash();
  // An order as it arrives from anyone; returns the status of the answer.
  int CarryOut(const Json::Value& aOrder);

  const std::string& Id() const { return mId; }
  std::string Address() const;
  // The server's entry in the list of servers.
  Json::Value Entry(const std::string& aService,
                    const std::string& aZone,
                    const std::string& aState = "ready") const;

  std::vector<ServerRun> mRuns;
  int mArrivals = 0; // requests, including refused ones
  int mLeft = 0;     // connections closed while a request ran
  int mOrdersSeen = 0;
  int mOverCapacityLoads = 0; // beyond its memory or adapter slots
  // One line for each of them. The test that ends with one fails.
  std::vector<std::string> mOverCapacityOrders;
  std::set<std::string> mHolders;
  std::vector<int64_t> mTokens; // fencing tokens in the order received
  std::vector<std::pair<int64_t, std::string>> mOrderedBy; // token, holder

  std::multiset<std::string> mInUse;     // MODEL/ADAPTER of streams in progress
  std::set<std::string> mPendingUnloads; // unloaded when their streams end
  std::set<std::string> mNotYetReported; // loaded, but not yet in reports
  std::set<std::string> mComing;         // MODEL/ADAPTER being loaded

  ServerBehaviour mBehaviour = ServerBehaviour::Proper;
  int mUnsealedStatus = 200;
  std::string mExpectedId; // a request for another id is answered by 421
  int mSlots = 32;
  // Requests that wait while all slots are taken; further ones are refused. -1
  // = all run at once.
  int mQueueLimit = -1;
  std::string mVersion = "v1"; // of its software
  int64_t mStartTime = 1000;   // Unix milliseconds; long ago
  HeldModels mModels;
  std::set<std::string> mOnDisk;
  int64_t mOrderCount = 0;
  bool mBusy = false;
  int mModelCapacity = 3; // models that fit
  int mAdapterCapacity = 8;
  Millis mWork{ 5 }; // time before an answer
  Millis mLoadTime{ 100 };
  Millis mAdapterLoadTime{ 0 };
  Millis mUnloadTime{ 0 }; // other orders are rejected meanwhile
  Millis mReportLag{ 0 };  // from the end of a load until a report shows it
  Millis mOrderDelay{ 0 }; // before an unanswered order is carried out
  bool mDropsOrderAnswers = false; // carries orders out without an answer
  // Connections whose answer is dropped stay open, also over a restart, as if
  // the machine had gone dark.
  bool mKeepsDropped = false;
  int mEvents = 5; // of each stream
  Millis mEventGap{ 10 };
  // Answers have neither a length nor chunks; the end of the connection ends
  // them.
  bool mUnframed = false;
  // An answer that breaks off is framed as complete: its last chunk is sent.
  bool mEndsBrokenStreams = false;
  int mRefusals = 0; // of the next requests, as Refuses does
  int mFailures = 0; // of the next requests that it runs, as Fails does
  // Answers of this status come once more, before the answer to the next
  // request on their connection, be it an order or a report; 0 = none.
  int mRepeatedStatus = 0;
  int mRepeats = 0;        // answers that came once more
  int mRejectionLimit = 0; // told in each answer; 0 = none
  // Requests a second that it takes from all instances, told in each answer; ""
  // = none is told. Any text may be told, a garbled one too.
  std::string mRateLimit;
  std::string mLoadFigures; // the same; "" = none
  // Requests that it bears in a second while cold, and how long it is cold, as
  // each answer tells; it crashes at more. 0 = not cold.
  double mColdPerSecond = 0;
  Millis mColdLeft{ 0 };
  int mColdCrashes = 0;
  // Times of all calls, orders and reports included, since a limit was told.
  std::deque<TimePoint> mLimitedCalls;
  // One line for each time at which it got more than the specified bound. The
  // test that ends with one fails.
  std::vector<std::pair<TimePoint, std::string>> mOverRate;
  long mEndlessBytes = 0; // sent, by the Endless behaviours
  bool mResets = false;   // breaks answers off by resets, not by orderly closes
  // It crashes mCrashDelay after it begins to answer a request with this part
  // of a prompt, unless that is the last part; "" = none.
  std::string mCrashPart;
  Millis mCrashDelay{ 50 };
  bool mCrashesBetweenEvents = false; // not in the middle of one
  // It also crashes under each request with this body, of which others may
  // have the same parts; "" = none.
  std::string mCrashBody;
  CrashMoment mCrashMoment = CrashMoment::MidEvent;
  Millis mDownTime{ 0 };
  std::vector<ServerCrashRecord> mCrashes;
  // Called when it is back after a crash.
  std::function<void(StandInServer&)> mOnBack;

private:
  class Listener;
  struct ClientConnection;
  void OnConnection(const Poco::Net::StreamSocket& aSocket);
  void OnData(const std::shared_ptr<ClientConnection>& aClient);
  void OnRequest(const std::shared_ptr<ClientConnection>& aClient,
                 const HttpHead& aHead,
                 const std::string& aBody);
  void RefuseFull(const std::shared_ptr<ClientConnection>& aClient,
                  const HttpHead& aHead);
  void Enqueue(const std::shared_ptr<ClientConnection>& aClient,
               const HttpHead& aHead,
               const std::string& aBody);
  void RunNext();
  void Run(const std::shared_ptr<ClientConnection>& aClient,
           const HttpHead& aHead,
           const std::string& aBody);
  void Work(const std::shared_ptr<ClientConnection>& aClient,
            const HttpHead& aHead,
            const std::string& aBody);
  void Stream(const std::shared_ptr<ClientConnection>& aClient,
              const std::string& aModel,
              int aNext);
  void OnOrder(const std::shared_ptr<ClientConnection>& aClient,
               const Json::Value& aOrder);
  void EndUse(const std::string& aModel);
  bool Present(const std::string& aModel, const std::string& aAdapter) const;
  int Load(const std::string& aModel);
  int LoadAdapter(const std::string& aModel, const std::string& aAdapter);
  int Unload(const std::string& aModel, const std::string& aAdapter);
  void CheckRoom(const Json::Value& aOrder);
  void AfterUnlessRestarted(Millis aDelay, std::function<void()> aDo);
  void Report(const std::shared_ptr<ClientConnection>& aClient);
  void BeginEndless(const std::shared_ptr<ClientConnection>& aClient,
                    std::vector<HttpField> aFields);
  // Sends aPiece again and again until the client closes.
  void WriteEndless(const std::shared_ptr<ClientConnection>& aClient,
                    const std::string& aPiece);
  bool CrashesOn(const HttpHead& aHead) const;
  bool CrashesCold();
  void TellLimits(std::vector<HttpField>& aFields);
  void JudgeRate();
  void BeginCrash(const std::shared_ptr<ClientConnection>& aClient,
                  const HttpHead& aHead);
  void CrashLater(const HttpHead& aHead);
  bool HarmedBy(const std::string& aBody, CrashMoment aMoment) const;
  void WritePiece(ClientConnection& aClient, const std::string& aText);
  void BreakOff(ClientConnection& aClient);
  void Reply(const std::shared_ptr<ClientConnection>& aClient,
             int aStatus,
             std::vector<HttpField> aFields,
             const std::string& aBody);

  Reactor& mReactor;
  std::string mId;
  std::shared_ptr<Listener> mListener;
  struct Waiting
  {
    std::shared_ptr<ClientConnection> mClient;
    HttpHead mHead;
    std::string mBody;
  };
  std::vector<std::weak_ptr<ClientConnection>> mClients;
  std::deque<Waiting> mQueue;          // see mQueueLimit
  int mRunning = 0;                    // the same
  std::deque<TimePoint> mColdArrivals; // of the last second
  std::string mToldLimit;              // as last told
  TimePoint mLimitToldAt{}; // first, without an answer without it since
  bool mDown = false;       // accepts no connection
  std::vector<std::shared_ptr<ClientConnection>> mKept; // see mKeepsDropped
};

} // namespace caraway

#endif
