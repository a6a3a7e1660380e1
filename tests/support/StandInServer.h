// StandInServer.h: a server behind the entry instances, by the platform's
// published protocol, with the faults that servers have.
#ifndef caraway_tests_StandInServer_h
#define caraway_tests_StandInServer_h

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

// How it treats the requests that come.
enum class ServerBehaviour
{
  Proper,
  Refuses,        // proves that it did not run them
  RunsThenCloses, // runs, then closes without an answer
  Truncates,      // closes in the middle of the body
  Unsealed,       // a success that isn't marked as its own
  Encoded,        // a success in a coding that nobody asked for
  LateAnswer,     // another request's answer first, then the right one
  ExtraAnswer,    // a second answer behind the right one
  Garbage,        // bytes that are no answer
  Fails,          // 500 of its own
  Hangs,          // never answers
  StopsMidway,    // a stream stops in the middle of its third event
};

struct ServerRun
{
  std::string mId;
  std::string mTenant;
  std::string mKey; // must never be there
  std::string mLastEvent;
  std::string mTarget;
  std::string mBody;
  int64_t mLeftMs = -1;
  TimePoint mAt{};
};

class StandInServer
{
public:
  StandInServer(Reactor& aReactor, std::string aId);
  ~StandInServer();

  const std::string& Id() const { return mId; }
  std::string Address() const;
  // Its entry in the list of servers.
  Json::Value Entry(const std::string& aService,
                    const std::string& aZone,
                    const std::string& aState = "ready") const;

  std::vector<ServerRun> mRuns;
  int mArrivals = 0; // of requests, refused ones too
  int mLeft = 0;     // connections closed while it worked
  int mOrdersSeen = 0;
  int mOverCapacityLoads =
    0; // loads ordered beyond its memory or adapter places
  std::set<std::string> mHolders;
  std::vector<int64_t> mTokens; // fencing tokens, as they came
  std::vector<std::pair<int64_t, std::string>> mOrderedBy; // token, holder

  std::multiset<std::string> mInUse;     // MODEL/ADAPTER of streams under way
  std::set<std::string> mPendingUnloads; // unloaded when their streams end
  std::set<std::string> mNotYetReported; // loaded, and not yet in its reports

  ServerBehaviour mBehaviour = ServerBehaviour::Proper;
  std::string mExpectedId; // answers 421 to who expects another
  HeldModels mModels;
  std::set<std::string> mOnDisk;
  int64_t mOrders = 0;
  bool mBusy = false;
  int mPlaces = 3; // models that fit
  int mAdapterCapacity = 8;
  Millis mWork{ 5 }; // before an answer
  Millis mLoadTime{ 100 };
  Millis mUnloadTime{ 0 }; // no other order is accepted meanwhile
  Millis mReportLag{ 0 };  // a load that ended shows so much later
  Millis mOrderDelay{ 0 }; // orders are answered and begun so much later
  bool mDropsOrderAnswers = false; // carries them out, answers none
  int mEvents = 5;                 // of a stream
  Millis mEventGap{ 10 };

private:
  class Listener;
  struct Visitor;
  void OnVisitor(const Poco::Net::StreamSocket& aSocket);
  void OnData(const std::shared_ptr<Visitor>& aVisitor);
  void OnRequest(const std::shared_ptr<Visitor>& aVisitor,
                 const HttpHead& aHead,
                 const std::string& aBody);
  void Work(const std::shared_ptr<Visitor>& aVisitor,
            const HttpHead& aHead,
            const std::string& aBody);
  void Stream(const std::shared_ptr<Visitor>& aVisitor,
              const std::string& aModel,
              int aNext);
  void OnOrder(const std::shared_ptr<Visitor>& aVisitor,
               const Json::Value& aOrder);
  void EndUse(const std::string& aModel);
  int CarryOut(const Json::Value& aOrder);
  void Report(const std::shared_ptr<Visitor>& aVisitor);
  void Reply(const std::shared_ptr<Visitor>& aVisitor,
             int aStatus,
             std::vector<HttpField> aFields,
             const std::string& aBody);

  Reactor& mReactor;
  std::string mId;
  std::shared_ptr<Listener> mListener;
};

} // namespace caraway

#endif
