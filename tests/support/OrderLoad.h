// OrderLoad.h: instances as processes before plain servers that are often full,
// callers of a route that must not be repeated, and faults between instances
// and servers. Counts how often each request ran and what its caller was told.
#ifndef caraway_tests_OrderLoad_h
#define caraway_tests_OrderLoad_h

#include <deque>
#include <filesystem>
#include <map>
#include <optional>

#include "net/OutboundCall.h"
#include "support/AnswerProxy.h"
#include "support/EntryProcess.h"
#include "support/EntryTestFleet.h"

namespace caraway {

struct OrderLoadPlan
{
  std::string mProgram; // the entry daemon
  // Every second instance runs this one instead, for fleets of two versions.
  // What its own callers are told isn't judged.
  std::string mOtherProgram;
  std::filesystem::path mFolder;
  unsigned mSeed = 1;
  int mZones = 3;
  int mInstances = 2; // in each zone
  int mSlots = 6;
  int mQueue = 3;
  Millis mWork{ 30 };
  double mPerSecond = 53.7;
  int mClump = 12;       // requests that are sent at once
  size_t mBodyBytes = 4; // of each request
  Millis mDeadline{ 2500 };
  Millis mDuration{ 10000 };
  AnswerFaults mFaults;
  bool mCutOff = false;     // the first instance reaches no server
  bool mStops = false;      // instances are stopped and go on
  bool mTerminates = false; // instances are terminated and start again
};

// One request of a caller.
struct OrderAttempt
{
  std::string mId;
  size_t mInstance = 0;
  int mStatus = 0; // 0 = no complete answer
  int mRuns = 0;
  Millis mSentAt{ 0 }; // since the load began
  Millis mEndedAt{ 0 };
};

struct OrderLoadResult
{
  std::map<int, int> mStatuses;
  int mFaulty = 0; // answers that a fault befell
  std::vector<OrderAttempt> mRefusedAndRun;
  std::vector<OrderAttempt> mRunTwice;
  int mWrongAnswers = 0; // successes that aren't the server's whole answer
  int mUnexpectedExits = 0;

  std::string Text() const; // in one line
};

class OrderLoad
{
public:
  explicit OrderLoad(OrderLoadPlan aPlan);
  OrderLoadResult Run();

private:
  struct Instance
  {
    std::unique_ptr<EntryProcess> mProcess;
    bool mReady = false;
    bool mTerminated = false;
    std::shared_ptr<OutboundCall> mProbe;
  };
  bool RunsOtherProgram(size_t aIndex) const;
  void Configure();
  void ListServers();
  void StartInstances();
  void Probe(size_t aIndex);
  void Supervise(size_t aIndex);
  void SendClump();
  void Send(int aRetries);
  void OnAnswer(OrderAttempt& aAttempt,
                const BufferedAnswer& aAnswer,
                int aRetries);
  void StopOne();
  void TerminateOne();
  std::optional<size_t> Pick();
  Millis SinceStart() const;
  int Draw(int aFrom, int aTo);

  OrderLoadPlan mPlan;
  EntryTestFleet mFleet;
  std::mt19937 mRandom;
  ChannelPool mPool;
  std::vector<std::unique_ptr<AnswerProxy>> mProxies;
  Poco::Net::ServerSocket mUnreachable;
  std::vector<Instance> mInstances;
  std::deque<OrderAttempt> mAttempts;
  std::vector<std::shared_ptr<OutboundCall>> mCalls;
  TimePoint mBegan{};
  int mUnexpectedExits = 0;
  int mWrongAnswers = 0;
  bool mEnding = false;
};

// Whether the status tells a caller that its request hasn't run and never will.
bool
ToldNotRun(int aStatus);

} // namespace caraway

#endif
