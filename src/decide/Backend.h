// Backend.h: a model server, as this instance knows it.
#ifndef caraway_decide_Backend_h
#define caraway_decide_Backend_h

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "decide/BackendEntry.h"
#include "decide/NamedLimit.h"
#include "decide/RequestFacts.h"
#include "decide/ServerPace.h"

namespace caraway {

// A server's entry, and what this instance knows about the server.
struct Backend
{
  // The requests that a server reports count for this time.
  static constexpr Millis kReportedLoadLife{ 1000 };

  BackendEntry mEntry;
  HeldModels mModels; // newest known, from the entry or from the lease holder
  int64_t mOrderCount = -1; // accepted since mStartTime; negative = unknown
  TimePoint mReportedAt{};  // time of the lease holder's last report of mModels
  // Models and adapters that a request found missing, and until when that is
  // assumed, whatever mModels says.
  std::map<std::pair<std::string, std::string>, TimePoint> mSuspectedMissing;
  // Own requests in flight, by MODEL or MODEL/ADAPTER.
  std::map<std::string, int> mOwnRequests;
  // In flight from other instances, as reported.
  std::map<std::string, int> mPeerRequests;
  int mConsecutiveFailures = 0; // connection failures since the last answer
  double mFailureShare = 0;     // moving average, 0 to 1
  TimePoint mAvoidUntil{};
  TimePoint mVersionUnsureUntil{}; // it may have started again since its entry
  TimePoint mEntryReadAt{};        // when its entry was last read by itself
  TimePoint mAddressReusedUntil{}; // another server answers at its address
  // It accepts no order before this time, as the lease holder reported.
  TimePoint mLoadingUntil{};
  // It fails if it has to reject more requests in a second.
  NamedLimit mRejectionLimit;
  // Requests that it takes in a second.
  NamedLimit mRateLimit;
  // When this instance may send it a request each, while it has a rate limit.
  std::deque<TimePoint> mRatePermits;
  TimePoint mFullUntil{}; // it gets no request before
  // What the server said last of its load, to this instance or another, and
  // when.
  std::optional<ServerLoadReport> mLoadReport;
  TimePoint mLoadReportAt{};
  ServerPace mPace;
  // Slots that own requests took (1) or freed (-1) lately, with the times.
  std::deque<std::pair<TimePoint, int>> mOwnChanges;
  double mUnreadTokens = 0; // of own prompts there without a first event yet
  // It is cold until then by its entry, its answers or AssumeCold(). For the
  // time after its start see ServerView::ColdUntil().
  TimePoint mColdUntil{};
  TimePoint mColdKnownAt{}; // when mColdUntil was last set
  // When this instance learnt that it has started; nothing = long ago.
  std::optional<TimePoint> mStartedAt;

  // Whether the process at the other end of a connection that was established
  // at aEstablishedAt has told the store of itself before mEntry was read, by
  // itself or with the list at aListAt. A server may start again under its id.
  bool EntryCovers(TimePoint aEstablishedAt, TimePoint aListAt) const;
  // Time until it accepts an order, as far as is known; 0 = now.
  Millis LoadingFor(TimePoint aNow) const;
  int RequestsInFlight() const;
  double Load() const; // requests in flight per slot
  // Requests there by the server's report and the own ones since; 0 = no recent
  // report.
  int ReportedRequests(TimePoint aNow) const;
  // Cost of a choice; aLoad in requests per slot.
  double Cost(double aLoad, const std::string& aZone) const;
  // Whether it takes one more request of this instance, one of aInstances.
  bool HasRoom(double aMaxPerSlot, int aInstances, TimePoint aNow) const;
  // The same, and neither the server's report nor a rejection says otherwise.
  bool HasRoomAsReported(double aMaxPerSlot,
                         int aInstances,
                         TimePoint aNow) const;
  // Whether its rate limit, if it has one, allows a request of this instance.
  bool HasRatePermit(TimePoint aNow) const;
  // For a model with all its adapters, or for one MODEL/ADAPTER.
  int RequestsInFlight(const std::string& aName) const;
  bool Holds(const std::string& aModel, const std::string& aAdapter) const;
  bool SuspectedMissing(const std::string& aModel,
                        const std::string& aAdapter,
                        TimePoint aNow) const;
};

} // namespace caraway

#endif
