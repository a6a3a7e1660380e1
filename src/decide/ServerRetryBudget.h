// ServerRetryBudget.h: how often requests may be sent to servers once more.
//
// When servers fail, every instance wants to repeat what failed, and the
// repeats are what keeps the servers down. Each instance spends a part that
// follows its own requests, and an equal part of the fixed rest; so the parts
// can't exceed the whole, without any message between instances.
#ifndef caraway_decide_ServerRetryBudget_h
#define caraway_decide_ServerRetryBudget_h

#include <deque>
#include <map>
#include <string>

#include "caraway/Time.h"

namespace caraway {

struct ServerRetryLimits
{
  double mRatio = 0.2; // repeats a request
  double mSlack = 0;   // besides, over all instances
  Millis mWindow{ 10000 };
};

class ServerRetryBudget
{
public:
  explicit ServerRetryBudget(ServerRetryLimits aLimits);

  void SetLimits(ServerRetryLimits aLimits) { mLimits = aLimits; }

  void OnRequest(const std::string& aService, TimePoint aNow);
  // True and spent, or false. aInstances: all that may be running.
  bool Spend(const std::string& aService, int aInstances, TimePoint aNow);

private:
  struct History
  {
    std::deque<TimePoint> mRequests;
    std::deque<TimePoint> mRetries;
  };
  void DropOld(History& aHistory, TimePoint aNow) const;

  ServerRetryLimits mLimits;
  std::map<std::string, History> mHistories;
};

} // namespace caraway

#endif
