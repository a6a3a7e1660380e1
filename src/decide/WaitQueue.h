// WaitQueue.h: order of service, and early refusal of requests that would miss
// their deadline.
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
  // Waiting, for each class: a flood of briefings must not take the capacity of
  // bulletins.
  size_t mItems = 256;
  double mMaxTenantFraction = 0.5; // of mItems
};

struct WaitRefusal
{
  ErrorKind mKind;
  Millis mRetryAfter;
};

// Queue of all requests for one model in a zone. Classes are served by
// priority. Within a class the tenant with the fewest tokens served goes first,
// so that a tenant that sends several times its fair part delays its own
// requests and not those of others. Within a tenant the earliest deadline goes
// first.
class WaitQueue
{
public:
  explicit WaitQueue(WaitQueueLimits aLimits = {});

  // Queues the request and returns nullopt, or refuses it: if the queue is full
  // or, at once rather than when the deadline passes, if it can't start in
  // time. aRate is the observed service rate in tokens a second over all
  // replicas, 0 = unknown; aReadyIn is the time until the first replica can
  // serve, during a load.
  std::optional<WaitRefusal> Offer(const QueuedRequest& aItem,
                                   double aRate,
                                   Millis aReadyIn,
                                   TimePoint aNow);
  // Takes the next request of class aClassLimit or more urgent, if any.
  std::optional<QueuedRequest> Next(RequestClass aClassLimit);
  // Removes and returns the requests whose deadline has passed.
  std::vector<QueuedRequest> Expire(TimePoint aNow);
  // Removes a request whose caller has gone. False when it isn't queued.
  bool Withdraw(uint64_t aId);

  size_t Size() const;
  // Most urgent class that waits; Batch when the queue is empty.
  RequestClass MostUrgent() const;
  // Expected time until aItem would start, counting retries that are due before
  // aUntil as well.
  Millis PredictWait(const QueuedRequest& aItem,
                     double aRate,
                     TimePoint aNow,
                     TimePoint aUntil) const;

private:
  // Tokens arriving per second, averaged with exponential decay.
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
    double mVirtualTime = 0; // tokens served to the tenant chosen last
    std::map<std::string, ArrivalRate> mArrivals;
    // Tokens served to each tenant, kept while it is ahead of the others: a
    // tenant that sends one request at a time would otherwise be level with the
    // others again on each request.
    std::map<std::string, double> mServedTokens;
    RetrySchedule mRetrySchedule;
  };

  TenantQueues::iterator Remove(
    ClassQueue& aClass,
    TenantQueues::iterator aQueue,
    std::multimap<TimePoint, QueuedRequest>::iterator aItem);
  double ServedTokens(ClassQueue& aClass, const std::string& aTenant) const;
  void PruneServedTokens(ClassQueue& aClass);
  static void PruneArrivals(ClassQueue& aClass, TimePoint aNow);
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
