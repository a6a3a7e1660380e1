// RequestEndReports.h: how instances tell each other, and the store, under
// which requests servers ended.
//
// The next attempt of a caller comes within milliseconds, at another instance,
// and all instances may be killed before it does. So the news of an end leaves
// at once, more than once as datagrams may be lost, and the caller of a broken
// request gets its answer only when the end is in the store, or the store
// hasn't taken it in time. The decision is RequestEnds'.
#ifndef caraway_crash_RequestEndReports_h
#define caraway_crash_RequestEndReports_h

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decide/RequestEnds.h"
#include "decide/TokenBucket.h"
#include "entry/EntryState.h"
#include "entry/Peers.h"
#include "store/StoreClient.h"

namespace caraway {

class RequestEndReports
{
public:
  RequestEndReports(EntryState& aState, StoreClient& aStore, Peers& aPeers);

  void Start();
  void FillHeartbeat(Json::Value& aHeartbeat) const;
  void ReadHeartbeat(const Json::Value& aHeartbeat);

  // What earlier processes stored has been read, or can't be.
  bool Known() const { return mKnown; }
  const RequestEnds& Ends() const { return mEnds; }

  void OnEnd(const RunEnd& aEnd);
  void OnServed(const std::string& aRequest);
  void OnBytes(const std::string& aLife, TimePoint aSentAt);
  // Calls aDone once, later: when all ends so far are stored, or when that
  // takes too long.
  void WhenStored(std::function<void()> aDone);
  // Operators' call: the ends so far don't count any more.
  bool Lift(const std::string& aRequest);

private:
  struct Waiter
  {
    uint64_t mWrite = 0; // that contains what it waits for
    TimePoint mNotBefore{};
    TimePoint mUntil{};
    std::function<void()> mDone;
  };
  using EndId = std::pair<std::string, std::string>; // request, life

  Json::Value ToJson(const std::vector<RunEnd>& aEnds) const;
  void ReadEnds(const Json::Value& aEnds, Millis aAge);
  // Messages.
  void Tell();
  void OnServedMessage(const Json::Value& aMessage);
  void OnAliveMessage(const Json::Value& aMessage);
  // The own object in the store.
  void WriteSoon();
  void Write();
  void OnWritten(uint64_t aWrite,
                 StoreOutcome aOutcome,
                 const std::string& aBody);
  std::vector<RunEnd> OwnEnds() const;
  void CallWaiters();
  // The objects of all instances, as this process starts.
  void ReadPage(const std::string& aAfter);
  void OnPage(StoreOutcome aOutcome, const std::string& aBody);
  void TakeFrom(const StoreObject& aObject);
  int64_t UnixMs() const;

  EntryState& mState;
  StoreClient& mStore;
  Peers& mPeers;
  RequestEnds mEnds;
  std::vector<RunEnd> mToTell;
  std::set<EndId> mOwn;  // this instance's to store
  uint64_t mWrites = 0;  // begun
  uint64_t mWritten = 0; // the last that took effect
  int64_t mRevision = 0; // of the own object; 0 = none known
  TokenBucket mWriteBudget;
  bool mWriting = false;
  bool mWriteDue = false; // a write is scheduled
  bool mOutdated = false; // the own object lacks an end
  bool mFailing = false;  // the last write failed
  bool mKnown = false;
  std::vector<Waiter> mWaiters;
};

} // namespace caraway

#endif
