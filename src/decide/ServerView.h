// ServerView.h: what this instance believes of the servers, and which one gets
// a request.
#ifndef caraway_decide_ServerView_h
#define caraway_decide_ServerView_h

#include <map>
#include <random>
#include <set>
#include <string>

#include "decide/BackendEntry.h"

namespace caraway {

// A server, with what this instance saw of it.
struct Backend
{
  BackendEntry mEntry;
  HeldModels mModels;      // the newest told, by its entry or by who orders
  int64_t mOrders = -1;    // accepted in this life; negative = not known
  TimePoint mReportedAt{}; // when who orders it last told mModels
  // Model and adapter that it was found not to hold, whatever is believed.
  std::map<std::pair<std::string, std::string>, TimePoint> mSuspectedMissing;
  // Own requests under way, by MODEL or MODEL/ADAPTER.
  std::map<std::string, int> mMine;
  std::map<std::string, int> mPeerRequests; // those of other instances, as told
  int mConsecutiveFailures = 0;             // failures in a row
  double mFailureShare = 0;                 // share of late failures, 0 to 1
  TimePoint mAvoidUntil{};
  TimePoint mAddressReusedUntil{}; // another server answers at its address
  TimePoint mLoadingUntil{};       // takes no order before, as its holder told

  // Until it takes an order, as far as is known.
  Millis LoadingFor(TimePoint aNow) const;
  int RequestsInFlight() const;
  // Of a model with its adapters, or of one MODEL/ADAPTER.
  int RequestsInFlight(const std::string& aName) const;
  bool Holds(const std::string& aModel, const std::string& aAdapter) const;
  bool SuspectedMissing(const std::string& aModel,
                        const std::string& aAdapter,
                        TimePoint aNow) const;
};

// What a request needs of a server.
struct ServerRequirements
{
  std::string mService;
  std::string mModel; // "" = a plain service
  std::string mAdapter;
  std::string mZone;               // of this instance
  std::set<std::string> mExcluded; // servers that may not get it
  std::set<std::string> mOnly;     // unless empty: no others
  double mMaxPerSlot = 1;          // requests a slot that a server may have
};

struct ServerChoice
{
  Backend* mBackend = nullptr; // null = none can take it now
  bool mHeld = false;          // some usable server has what it needs
};

enum class ServerOutcome
{
  Good,   // it answered
  Failed, // it answered with a failure of its own
  Broken, // reset, silent, garbled or not to be reached
};

// Requests of one instance under way, by server and MODEL or MODEL/ADAPTER.
using InFlightCounts = std::map<std::string, std::map<std::string, int>>;

class ServerView
{
public:
  // True when anything that matters to requests changed. What the entry shows
  // differently than the entry before is news, unless who orders the server
  // has told lately what it holds: entries come late, and one from before an
  // order would undo what the order did.
  bool Put(const BackendEntry& aEntry, TimePoint aNow);
  void Remove(const std::string& aId);
  // Told by the one who gives a server its orders. Ignored when what is
  // known is of a later life or order.
  bool PutContent(const std::string& aId,
                  int64_t aStartTime,
                  int64_t aOrders,
                  const HeldModels& aModels,
                  TimePoint aNow);
  // A request found that the server doesn't hold this. Nothing is sent there
  // for it for a moment; the account of what is held stays with who orders.
  void MarkMissing(const std::string& aId,
                   const std::string& aModel,
                   const std::string& aAdapter,
                   TimePoint aNow);

  Backend* Find(const std::string& aId);
  std::map<std::string, Backend>& All() { return mBackends; }
  const std::map<std::string, Backend>& All() const { return mBackends; }

  ServerChoice Choose(const ServerRequirements& aRequirements,
                      TimePoint aNow,
                      std::mt19937& aRandom);

  // aName: MODEL or MODEL/ADAPTER.
  void Began(const std::string& aId, const std::string& aName);
  void Ended(const std::string& aId, const std::string& aName);
  void Heard(const std::string& aId, ServerOutcome aOutcome, TimePoint aNow);
  // Another server answered at its address, which is given out again after
  // the server's end. Nothing is sent there for aFor, in which its entry
  // goes; each request sent there would be refused and sent once more.
  void Elsewhere(const std::string& aId, Millis aFor, TimePoint aNow);

  // Replaces what aPeer told before.
  void PutPeerRequests(const std::string& aPeer, InFlightCounts aCounts);
  // The same for the servers of aZone only.
  void PutPeerRequestsIn(const std::string& aZone,
                         const std::string& aPeer,
                         const InFlightCounts& aCounts);
  void ForgetPeer(const std::string& aPeer);

private:
  // Adds what a peer told to what servers have under way, or takes it away.
  void AddPeerRequests(const InFlightCounts& aCounts, int aSign);

  std::map<std::string, Backend> mBackends;
  std::map<std::string, InFlightCounts> mPeerCounts;
};

} // namespace caraway

#endif
