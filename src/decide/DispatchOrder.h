// DispatchOrder.h: the order in which waiting requests are tried.
//
// The load that it is designed for: each of many instances has a few requests a
// second, so its queue is short, and slots are taken by whichever instance
// finds them first. Within the queue the more urgent class goes first, within a
// class the tenant that has had the fewest tokens served, within a tenant the
// earliest deadline.
#ifndef caraway_decide_DispatchOrder_h
#define caraway_decide_DispatchOrder_h

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "caraway/Time.h"
#include "decide/DemandTracker.h"

namespace caraway {

// What the order depends on.
struct WaitingRequest
{
  std::string mPool; // the servers' slots that it waits for: service, model,
                     // adapter and version
  int mClass = 0;    // 0 = most urgent
  std::string mTenant;
  double mTokens = 1; // expected cost
  TimePoint mArrived{};
  TimePoint mStartBy{}; // deadline
  Millis mTarget{ 0 };  // an answer within it is on time
};

class DispatchOrder
{
public:
  // Indices of aWaiting, those to be tried first at the front.
  std::vector<size_t> Sorted(const std::vector<WaitingRequest>& aWaiting,
                             TimePoint aNow) const;
  // A request was sent to a server, whether it had to wait or not.
  void OnDispatched(const WaitingRequest& aRequest, TimePoint aNow);
  // The server rejected it, so its tenant has not been served.
  void OnRejected(const WaitingRequest& aRequest, TimePoint aNow);
  // Whether the request is late and none of its class has been sent to its pool
  // since it arrived. One such request is tried before those of more urgent
  // classes, so that no class starves. It can't be on time any more, so its
  // class isn't served better than an urgent one.
  bool Starved(const WaitingRequest& aRequest, TimePoint aNow) const;

private:
  using PoolClass = std::pair<std::string, int>;
  double ServedTokens(const WaitingRequest& aRequest, TimePoint aNow) const;
  std::set<size_t> FirstStarved(const std::vector<WaitingRequest>& aWaiting,
                                const std::vector<size_t>& aOrder,
                                TimePoint aNow) const;
  void ForgetOld(TimePoint aNow);

  // Tokens served, by class and tenant. They fade, so that a tenant can't save
  // up a claim to all slots while it is idle.
  DemandTracker mServed;
  std::map<PoolClass, TimePoint> mDispatchedAt;
  TimePoint mForgotAt{};
};

} // namespace caraway

#endif
