// DemandTracker.h: request rate of each model, over all instances.
#ifndef caraway_decide_DemandTracker_h
#define caraway_decide_DemandTracker_h

#include <map>
#include <string>

#include "caraway/Time.h"

namespace caraway {

// Exponentially decaying counts: a request weighs a third after the memory.
// Demand moves to other models within seconds, so a memory longer than kMemory
// would keep models that are no longer requested.
class DemandTracker
{
public:
  static constexpr Millis kMemory{ 8000 };

  explicit DemandTracker(Millis aMemory = kMemory)
    : mMemory(aMemory)
  {
  }

  void Add(const std::string& aModel, double aCount, TimePoint aNow);
  // Requests per second.
  double Rate(const std::string& aModel, TimePoint aNow) const;
  std::map<std::string, double> Rates(TimePoint aNow) const;

private:
  struct Count
  {
    double mValue = 0;
    TimePoint mAt{};
  };
  double Decayed(const Count& aCount, TimePoint aNow) const;
  void ForgetDecayed(TimePoint aNow);

  Millis mMemory;
  std::map<std::string, Count> mCounts;
  TimePoint mForgotAt{};
};

} // namespace caraway

#endif
