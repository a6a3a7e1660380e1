// ServerView.h: this instance's view of the servers, and the choice of a server
// for a request.
#ifndef caraway_decide_ServerView_h
#define caraway_decide_ServerView_h

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "decide/Backend.h"
#include "decide/ColdServerLimit.h"
#include "decide/FirstTokenEstimate.h"
#include "decide/RequestFacts.h"
#include "decide/ServerLives.h"
#include "decide/ServiceVersions.h"

namespace caraway {

struct ServerRequirements
{
  // Avoided servers are used only if no other is left: suspicion alone must not
  // empty a zone.
  bool Avoids(const Backend& aBackend, TimePoint aNow) const;

  std::string mService;
  std::string mModel; // "" = a plain service
  std::string mAdapter;
  std::string mZone;                    // of this instance
  std::set<std::string> mExcluded;      // servers that must not get it
  std::set<std::string> mOnly;          // unless empty, only these
  std::set<std::string> mExcludedZones; // their servers must not get it
  // If set, only servers of this software version.
  std::optional<std::string> mVersion;
  double mMaxPerSlot = 1; // limit on requests in flight per slot
  int mInstances = 1;     // that send to the servers
  // For services that report their pace.
  std::optional<double> mPromptTokens; // nothing = unknown
  Millis mTarget{ 1000 };              // until the first event
  Millis mGapAim{ 0 };                 // of the service
};

struct ServerChoice
{
  Backend* mBackend = nullptr; // null = none can take it now
  bool mHeld = false;          // some usable server holds the model
  // All servers of the service that the request might go to are in excluded
  // zones.
  bool mZonesExcluded = false;
  int mSlots = 0; // of the usable servers that hold it
  // If only cold servers without a permit have room: when the first of them can
  // take it.
  std::optional<TimePoint> mColdOpensAt;
  // If nothing else can take it: the server with room that has named a rate
  // limit and for which there is no permit; "" = none.
  std::string mNeedsPermit;
  int mNeedingPermit = 0; // servers of that kind
  // All servers that hold the model have named a rate limit.
  bool mOnlyLimited = false;
};

enum class ServerOutcome
{
  Good,   // answered
  Failed, // answered with a failure of its own
  Broken, // connection reset, timed out, malformed answer or unreachable
};

// Requests in flight of one instance, by server and MODEL or MODEL/ADAPTER.
using InFlightCounts = std::map<std::string, std::map<std::string, int>>;

class ServerView
{
public:
  // Returns true if anything that affects requests has changed. A difference
  // from the previous entry is applied, unless the lease holder has reported
  // the server's content recently: entries arrive late, and one written before
  // an order would undo the order's effect.
  bool Put(const BackendEntry& aEntry, TimePoint aNow);
  void Remove(const std::string& aId, TimePoint aNow);
  // Content reported by the lease holder that sends the server its orders.
  // Ignored if a later start time or order count is known already.
  bool PutContent(const std::string& aId,
                  int64_t aStartTime,
                  int64_t aOrderCount,
                  const HeldModels& aModels,
                  TimePoint aNow);
  // A request found that the server doesn't hold this. Requests for it skip the
  // server for a moment; mModels is left to the lease holder's reports.
  void MarkMissing(const std::string& aId,
                   const std::string& aModel,
                   const std::string& aAdapter,
                   TimePoint aNow);

  Backend* Find(const std::string& aId);

  // Software versions of the services' servers, draining ones included.
  const ServiceVersions& Versions() const { return mVersions; }
  ServerLives& Lives() { return mLives; }
  // Whether some server of the service has this software version and isn't
  // draining.
  bool HasVersion(const std::string& aService,
                  const std::string& aVersion,
                  const std::set<std::string>& aExcludedZones = {}) const;
  // Zones of all servers listed so far.
  const std::set<std::string>& Zones() const { return mZones; }
  // Whether the server is in aZone, or no server is.
  bool IsNear(const std::string& aId, const std::string& aZone) const;
  std::map<std::string, Backend>& All() { return mBackends; }
  const std::map<std::string, Backend>& All() const { return mBackends; }

  ServerChoice Choose(const ServerRequirements& aRequirements,
                      TimePoint aNow,
                      std::mt19937& aRandom);

  // Begin and end of an own request; aName is MODEL or MODEL/ADAPTER.
  void OnRequestBegan(const std::string& aId,
                      const std::string& aName,
                      TimePoint aNow);
  void OnRequestEnded(const std::string& aId, const std::string& aName);
  // An own request began, or ended after it had run, since when the server's
  // last report is no longer all that is known.
  void OnSlotTaken(const std::string& aId, TimePoint aNow);
  void OnSlotFreed(const std::string& aId, TimePoint aNow);
  // An own prompt was sent, or the server has read it: its first event arrived,
  // or its request ended.
  void OnPromptSent(const std::string& aId, double aTokens);
  void OnPromptRead(const std::string& aId, double aTokens);
  FirstTokenEstimate& FirstToken(const std::string& aService)
  {
    return mFirstTokens[aService];
  }
  void RecordOutcome(const std::string& aId,
                     ServerOutcome aOutcome,
                     TimePoint aNow);
  // As the server said in an answer to a request that was sent at aAskedAt.
  void OnRejectionLimit(const std::string& aId,
                        std::optional<double> aLimit,
                        TimePoint aAskedAt);
  void OnRateLimit(const std::string& aId,
                   std::optional<double> aLimit,
                   TimePoint aAskedAt);
  // This instance may send the server one request at aAt.
  void OnRatePermit(const std::string& aId, TimePoint aAt);
  size_t RateLimitedServers() const;
  // The server rejected a request for want of room. One with a limit of
  // rejections gets none from this instance for a while: the aInstances share
  // the limit. One that reports its pace gets none for a moment.
  void OnRejected(const std::string& aId, int aInstances, TimePoint aNow);
  // aAt: when the server said so; a report older than the last is ignored.
  void OnLoadReport(const std::string& aId,
                    const ServerLoadReport& aReport,
                    TimePoint aAt);
  // Cold servers: slow, and they fail above a rate. See ColdServerLimit.
  ColdServerLimit& ColdLimit() { return mColdLimit; }
  void SetColdSpecs(std::map<std::string, ColdSpec> aByService)
  {
    mColdSpecs = std::move(aByService);
  }
  // The server said with an answer how much longer it stays cold. aAskedAt:
  // when the request was sent; what became known since may be newer.
  void OnColdReport(const std::string& aId,
                    Millis aLeft,
                    TimePoint aAskedAt,
                    TimePoint aNow);
  // All servers of the zone may have been started again until aNow.
  void AssumeCold(const std::string& aZone, TimePoint aNow);
  // A time in the past if the server isn't cold.
  TimePoint ColdUntil(const Backend& aBackend) const
  {
    return ColdUntil(aBackend, ColdSpecOf(aBackend.mEntry.mService));
  }
  size_t ColdServers(TimePoint aNow) const;
  // Some server of the service has told its pace.
  bool ReportsPace(const std::string& aService) const
  {
    return mPacedServices.count(aService) > 0;
  }
  // Another server answered at its address: an address is assigned again after
  // its server ends. The server gets no requests for aFor, within which its
  // entry is removed; each request sent there would be refused and need a
  // retry.
  void OnAddressReused(const std::string& aId, Millis aFor, TimePoint aNow);

  // Replaces all counts that aPeer reported before.
  void PutPeerRequests(const std::string& aPeer, InFlightCounts aCounts);
  // Replaces aPeer's counts for the servers of aZone only.
  void PutPeerRequestsIn(const std::string& aZone,
                         const std::string& aPeer,
                         const InFlightCounts& aCounts);
  void ForgetPeer(const std::string& aPeer);

private:
  // Whether requests with aRequirements may be sent there, apart from its load.
  bool Usable(const Backend& aBackend,
              const ServerRequirements& aRequirements,
              TimePoint aNow) const;
  // Whether the service has servers that the request might go to, and all of
  // them are in excluded zones.
  bool AllInExcludedZones(const ServerRequirements& aRequirements) const;
  ServerChoice ChoosePaced(const ServerRequirements& aRequirements,
                           TimePoint aNow,
                           std::mt19937& aRandom);
  void ReadStart(Backend& aBackend,
                 bool aAdded,
                 int64_t aStartBefore,
                 TimePoint aNow);
  void ReadColdLeft(Backend& aBackend, TimePoint aNow);
  // Whether a request may be sent to the server, as far as its being cold goes.
  // If not, notes in aChoice when it may.
  bool HasColdPermit(const Backend& aBackend,
                     const ColdSpec& aSpec,
                     TimePoint aNow,
                     ServerChoice& aChoice);
  ColdSpec ColdSpecOf(const std::string& aService) const;
  static TimePoint ColdUntil(const Backend& aBackend, const ColdSpec& aSpec);

  // Adds a peer's counts to the servers (aSign 1), or subtracts them (-1).
  void AddPeerRequests(const InFlightCounts& aCounts, int aSign);

  std::map<std::string, Backend> mBackends;
  std::map<std::string, InFlightCounts> mPeerCounts;
  ServiceVersions mVersions;
  ServerLives mLives;
  std::set<std::string> mPacedServices;                   // see ReportsPace()
  std::map<std::string, FirstTokenEstimate> mFirstTokens; // by service
  std::map<std::string, ColdSpec> mColdSpecs;             // by service
  ColdServerLimit mColdLimit;
  std::set<std::string> mZones; // see Zones()
};

} // namespace caraway

#endif
