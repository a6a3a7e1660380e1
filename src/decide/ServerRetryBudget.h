// ServerRetryBudget.h: limits how often requests are retried on servers.
//
// When servers fail, every instance retries what failed, and the retries keep
// the servers overloaded. Each instance spends in proportion to its own
// requests, plus an equal part of the fixed slack. So the total stays within
// the limit without any message between instances.
#ifndef caraway_decide_ServerRetryBudget_h
#define caraway_decide_ServerRetryBudget_h

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "caraway/Time.h"

namespace caraway {

struct ServerRetryLimits
{
  double mRatio = 0.2; // retries per request
  double mSlack = 0;   // further retries per window, over all instances
  Millis mWindow{ 10000 };
};

class ServerRetryBudget
{
public:
  explicit ServerRetryBudget(ServerRetryLimits aLimits);

  void SetLimits(ServerRetryLimits aLimits) { mLimits = aLimits; }

  void OnRequest(const std::string& aService, TimePoint aNow);
  // Spends one retry and returns true, or returns false. aInstances: number of
  // instances that may be running.
  bool Spend(const std::string& aService, int aInstances, TimePoint aNow);
  // When one more retry may be spent if requests go on at the rate of the last
  // window; aNow = at once, nothing = not without more requests.
  std::optional<TimePoint> NextAt(const std::string& aService,
                                  int aInstances,
                                  TimePoint aNow);

private:
  struct History
  {
    std::deque<TimePoint> mRequests;
    std::deque<TimePoint> mRetries;
  };
  void DropOld(History& aHistory, TimePoint aNow) const;
  // Retries per window that this instance may spend.
  double Allowed(double aRequests, int aInstances) const;

  ServerRetryLimits mLimits;
  std::map<std::string, History> mHistories;
};

} // namespace caraway

#endif
