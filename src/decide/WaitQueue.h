// WaitQueue.h: who is served next, and who is told now that it won't be.
#ifndef caraway_decide_WaitQueue_h
#define caraway_decide_WaitQueue_h

#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "caraway/ErrorKind.h"
#include "decide/QueuedRequest.h"
#include "decide/RetrySchedule.h"

namespace caraway {

struct WaitQueueLimits
{
  size_t mItems = 256; // waiting, of each class: a flood of briefings
                       // must not fill the place of a bulletin
  double mMaxTenantFraction = 0.5; // of mItems, for one tenant at most
};

struct WaitRefusal
{
  ErrorKind mKind;
  Millis mRetryAfter;
};

// One queue for all requests for one model in a zone. Classes are served in
// order; within a class the tenant that has had the least work served goes
// first, counted in tokens, so that a tenant sending several times its part
// waits behind itself and not in front of others; within a tenant the
// earliest deadline goes first.
class WaitQueue
{
public:
  explicit WaitQueue(WaitQueueLimits aLimits = {});

  // Nothing when it waits now. aRate is the service rate learnt, in tokens a
  // second over all replicas, 0 = not known; aReadyIn is the time until the
  // first replica can serve (a load). A request that can't start in time is
  // refused here, at once, rather than at its deadline.
  std::optional<WaitRefusal> Offer(const QueuedRequest& aItem,
                                   double aRate,
                                   Millis aReadyIn,
                                   TimePoint aNow);
  // The next to be served, if any of aClassLimit's urgency or above waits.
  std::optional<QueuedRequest> Next(RequestClass aClassLimit);
  // Those whose time has passed; they no longer wait.
  std::vector<QueuedRequest> Expire(TimePoint aNow);
  // Its caller has gone. False when it didn't wait any more.
  bool Withdraw(uint64_t aId);

  size_t Size() const;
  // Of those waiting; the least urgent when nobody does.
  RequestClass MostUrgent() const;
  // Expected time until an item of this class and tenant would start.
  // Counting returns that are due before aUntil as well.
  Millis PredictWait(const QueuedRequest& aItem,
                     double aRate,
                     TimePoint aNow,
                     TimePoint aUntil) const;

private:
  // Tokens a second that arrive, over the last seconds.
  struct ArrivalRate
  {
    double mRate = 0;
    TimePoint mAt{};

    void Add(double aTokens, TimePoint aNow);
    double At(TimePoint aNow) const;
  };
  struct TenantQueue
  {
    std::multimap<TimePoint, QueuedRequest> mItems; // by deadline
    double mTokens = 0;                             // waiting
  };
  using TenantQueues = std::map<std::string, TenantQueue>;
  struct ClassQueue
  {
    TenantQueues mTenantQueues;
    size_t mSize = 0;
    double mVirtualTime = 0; // served to the tenant last chosen
    std::map<std::string, ArrivalRate> mArrivals;
    // Tokens served to each tenant, kept while it is ahead of the others: one
    // that sends a request at a time would otherwise begin anew each time.
    std::map<std::string, double> mServedTokens;
    RetrySchedule mRetrySchedule;
  };

  TenantQueues::iterator Remove(
    ClassQueue& aClass,
    TenantQueues::iterator aQueue,
    std::multimap<TimePoint, QueuedRequest>::iterator aItem);
  double ServedTokens(ClassQueue& aClass, const std::string& aTenant) const;
  void PruneServedTokens(ClassQueue& aClass);
  WaitRefusal Refuse(const QueuedRequest& aItem,
                     ErrorKind aKind,
                     double aRate,
                     Millis aReadyIn,
                     TimePoint aNow);
  double TokensAhead(const QueuedRequest& aItem, TimePoint aUntil) const;
  double AvailableRate(const QueuedRequest& aItem,
                       double aRate,
                       TimePoint aNow) const;

  WaitQueueLimits mLimits;
  ClassQueue mClasses[kRequestClassCount];
};

} // namespace caraway

#endif
