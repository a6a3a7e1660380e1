// ExchangeRefuse.cpp: refusals of requests that no server can run in time, and
// permits of servers that have named a rate limit.
#include "exchange/Exchange.h"

#include <algorithm>

#include "decide/QueuedLoad.h"
#include "exchange/ExchangeTimes.h"

namespace caraway {

namespace {

// A permit is used within milliseconds of its time, or another request has
// taken it.
constexpr Millis kPermitPatience{ 100 };

} // namespace

// Another instance can serve the request, so the retry-after time is short.
void
Exchange::RefuseShuttingDown()
{
  Refuse(
    ErrorKind::ShuttingDown, kRetryAfterElsewhere, "instance is shutting down");
}

void
Exchange::RefuseTooLate()
{
  Refuse(ErrorKind::DeadlineUnmeetable,
         kRetryAfterDefault,
         "deadline passed before the request was sent");
}

// A permit that another waiting request has taken is asked for again.
void
Exchange::AskForPermit(const std::string& aServer)
{
  TimePoint now = mState.Now();
  bool expected =
    mPermitAt != TimePoint() && now <= mPermitAt + kPermitPatience;
  if (mPermitAsked || expected || now < mPermitFreeAt) {
    return;
  }
  mPermitAsked = true;
  auto left = std::chrono::duration_cast<Millis>(mFirstByteBy - now);
  std::weak_ptr<Exchange> weak = weak_from_this();
  mServerPermits.Request(aServer,
                         std::max(left - kServiceTime, Millis(0)),
                         [weak](const ServerPermits::Answer& aAnswer) {
                           auto exchange = weak.lock();
                           if (exchange && !exchange->mFinished) {
                             exchange->OnPermit(aAnswer);
                           }
                         });
}

void
Exchange::OnPermit(const ServerPermits::Answer& aAnswer)
{
  mPermitAsked = false;
  TimePoint at = mState.Now() + aAnswer.mWait;
  mPermitAt = aAnswer.mGranted ? at : TimePoint();
  mPermitFreeAt = aAnswer.mGranted ? TimePoint() : at;
  // The requests that wait are tried again within milliseconds.
}

// All servers of the model have named a rate limit. A request waits for its
// permit, or for a load elsewhere; if both come too late it is refused at once.
bool
Exchange::RefuseIfRateLimited()
{
  TimePoint now = mState.Now();
  if (mPermitAsked || mPermitAt != TimePoint() || now >= mPermitFreeAt) {
    return RefuseTooLateToStart(now);
  }
  auto load = mLoadRequester.Expected(ToLoadRequest());
  Millis wait = std::chrono::ceil<Millis>(mPermitFreeAt - now);
  if (load && now + *load + kServiceTime <= mFirstByteBy) {
    return RefuseTooLateToStart(now + *load);
  }
  wait = load ? std::min(wait, *load) : wait;
  mState.mMetrics.Count("caraway_rate_limited_refused_total", "");
  Refuse(ErrorKind::NoCapacity,
         SpreadRetry(wait),
         "all servers of the model are at their rate limits");
  return true;
}

// The instance may be leaving, or the request's time may be over.
bool
Exchange::RefuseTooLateToStart(TimePoint aBegin)
{
  if (!MayStart(std::max(aBegin, mState.Now() + kRetryAfterDefault))) {
    RefuseShuttingDown();
    return true;
  }
  if (mState.Now() + kServiceTime <= mFirstByteBy) {
    return false;
  }
  RefuseTooLate();
  return true;
}

void
Exchange::RefuseWithoutZone()
{
  const char* why = "all zones of the service are evacuated";
  if (ServersLeft() <= 0) {
    why = "all servers tried are in zones that are excluded by now";
  } else if (mRegions.Restricts()) {
    why = mState.mEvacuations.Zones().empty()
            ? "no server of the service is in a permitted region"
            : "all zones of the service are evacuated or not permitted";
  }
  Refuse(ErrorKind::NoEndpoint, kRetryAfterZonesExcluded, why);
}

bool
Exchange::TriedServersGone(const ServerChoice& aChoice) const
{
  return !mWaitLogged && !mTriedServers.empty() && !aChoice.mHeld &&
         ServersLeft() <= 0;
}

// A request that can't be served in time is refused at once, with the time
// after which a retry can succeed.
bool
Exchange::RefuseIfUnmeetable(const ServerChoice& aChoice, DispatchPass& aPass)
{
  if (TriedServersGone(aChoice)) {
    Refuse(
      ErrorKind::NoEndpoint, kRetryAfterDefault, "all servers tried are gone");
    return true;
  }
  Millis wait{ 0 };
  if (!aChoice.mHeld) {
    wait = mLoadRequester.Expected(ToLoadRequest()).value_or(Millis(0));
  } else if (aChoice.mColdOpensAt) {
    wait = std::chrono::ceil<Millis>(*aChoice.mColdOpensAt - mState.Now());
  }
  TimePoint begin = mState.Now() + wait;
  // The time until a server slot comes free isn't known; the default
  // retry-after time stands in for it.
  if (!MayStart(std::max(begin, mState.Now() + kRetryAfterDefault))) {
    RefuseShuttingDown();
    return true;
  }
  if (aChoice.mHeld && !aChoice.mColdOpensAt && InOrder()) {
    return RefuseByForecast(aChoice, aPass);
  }
  if (begin + kServiceTime <= mFirstByteBy) {
    return false;
  }
  RefuseUnmeetable(wait, aChoice);
  return true;
}

Millis
Exchange::SpreadRetry(Millis aWait)
{
  std::uniform_int_distribution<int64_t> spread(0, RetrySpread(aWait).count());
  return std::max(aWait, kRetryAfterDefault) + Millis(spread(mState.mRandom));
}

void
Exchange::RefuseUnmeetable(Millis aWait, const ServerChoice& aChoice)
{
  Millis after = SpreadRetry(aWait);
  if (aChoice.mColdOpensAt) {
    mState.mMetrics.Count("caraway_cold_refused_total", "");
    Refuse(ErrorKind::NoCapacity, after, "all servers with room are cold");
  } else if (aChoice.mHeld) {
    Refuse(ErrorKind::NoCapacity, after, "all servers are at capacity");
  } else {
    Refuse(ErrorKind::DeadlineUnmeetable,
           after,
           "model load would miss the deadline");
  }
}

} // namespace caraway
