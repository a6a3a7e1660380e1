#include "decide/DemandTracker.h"

#include <cmath>

#include "base/EraseIf.h"

namespace caraway {

namespace {

// One request a minute ago counts for more.
constexpr double kNegligibleCount = 1e-4;

} // namespace

double
DemandTracker::Decayed(const Count& aCount, TimePoint aNow) const
{
  std::chrono::duration<double, std::milli> age = aNow - aCount.mAt;
  return aCount.mValue *
         std::exp(-age.count() / static_cast<double>(mMemory.count()));
}

void
DemandTracker::Add(const std::string& aModel, double aCount, TimePoint aNow)
{
  if (aNow - mForgotAt > mMemory) {
    mForgotAt = aNow;
    ForgetDecayed(aNow);
  }
  Count& count = mCounts[aModel];
  count.mValue = Decayed(count, aNow) + aCount;
  count.mAt = aNow;
}

// Callers may ask for any name, also for models that don't exist.
void
DemandTracker::ForgetDecayed(TimePoint aNow)
{
  EraseIf(mCounts, [this, aNow](const auto& aCount) {
    return Decayed(aCount.second, aNow) < kNegligibleCount;
  });
}

double
DemandTracker::Rate(const std::string& aModel, TimePoint aNow) const
{
  auto found = mCounts.find(aModel);
  if (found == mCounts.end()) {
    return 0;
  }
  return Decayed(found->second, aNow) * 1000.0 /
         static_cast<double>(mMemory.count());
}

std::map<std::string, double>
DemandTracker::Rates(TimePoint aNow) const
{
  std::map<std::string, double> rates;
  for (const auto& [model, count] : mCounts) {
    rates[model] = Rate(model, aNow);
  }
  return rates;
}

} // namespace caraway
