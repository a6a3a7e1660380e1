// WaitQueue.h: who is served next, and who is told now that it won't be.
#ifndef caraway_decide_WaitQueue_h
#define caraway_decide_WaitQueue_h

#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "caraway/ErrorKind.h"
#include "decide/RetrySchedule.h"
#include "decide/WaitItem.h"

namespace caraway {

struct WaitQueueLimits
{
  size_t mItems = 256;      // waiting, of each class: a flood of briefings
                            // must not fill the place of a bulletin
  double mTenantPart = 0.5; // of mItems, for one tenant at most
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
  std::optional<WaitRefusal> Offer(const WaitItem& aItem,
                                   double aRate,
                                   Millis aReadyIn,
                                   TimePoint aNow);
  // The next to be served, if any of aClassLimit's urgency or above waits.
  std::optional<WaitItem> Next(RequestClass aClassLimit);
  // Those whose time has passed; they no longer wait.
  std::vector<WaitItem> Expire(TimePoint aNow);
  // Its caller has gone. False when it didn't wait any more.
  bool Withdraw(uint64_t aId);

  size_t Size() const;
  // Of those waiting; the least urgent when nobody does.
  RequestClass MostUrgent() const;
  // Expected time until an item of this class and tenant would start.
  // Counting returns that are due before aUntil as well.
  Millis Predict(const WaitItem& aItem,
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
  struct TenantLine
  {
    std::multimap<TimePoint, WaitItem> mItems; // by deadline
    double mTokens = 0;                        // waiting
  };
  using Lines = std::map<std::string, TenantLine>;
  struct ClassLines
  {
    Lines mLines;
    size_t mSize = 0;
    double mVirtualTime = 0; // served to the tenant last chosen
    std::map<std::string, ArrivalRate> mArrivals;
    // Tokens served to each tenant, kept while it is ahead of the others: one
    // that sends a request at a time would otherwise begin anew each time.
    std::map<std::string, double> mServed;
    RetrySchedule mReturns;
  };

  Lines::iterator Leave(ClassLines& aClass,
                        Lines::iterator aLine,
                        std::multimap<TimePoint, WaitItem>::iterator aItem);
  double Served(ClassLines& aClass, const std::string& aTenant) const;
  void ForgetBehind(ClassLines& aClass);
  WaitRefusal Refuse(const WaitItem& aItem,
                     ErrorKind aKind,
                     double aRate,
                     Millis aReadyIn,
                     TimePoint aNow);
  double WorkBefore(const WaitItem& aItem, TimePoint aUntil) const;
  double RateLeftFor(const WaitItem& aItem, double aRate, TimePoint aNow) const;

  WaitQueueLimits mLimits;
  ClassLines mClasses[kRequestClassCount];
};

} // namespace caraway

#endif
