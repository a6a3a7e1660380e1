#include "decide/UrgentDemand.h"

namespace caraway {

namespace {

// Two requests within a second or so; one alone is no demand.
constexpr double kMinRisingRate = 1.5;

// At a steady rate of ten a second, the last second's rate deviates from the
// mean by a fifth of it, so it hardly ever is twice the mean.
constexpr double kRisingFactor = 2;

} // namespace

bool
IsRising(const UrgentRates& aRates)
{
  return aRates.mRecent >= kMinRisingRate &&
         aRates.mRecent >= kRisingFactor * aRates.mFleet;
}

void
UrgentDemand::Add(const std::string& aModel,
                  const std::string& aZone,
                  double aCount,
                  TimePoint aNow)
{
  mFleet.Add(aModel, aCount, aNow);
  mRecent.Add(aModel, aCount, aNow);
  mZones[aZone].Add(aModel, aCount, aNow);
}

UrgentRates
UrgentDemand::RatesOf(const std::string& aModel,
                      const std::string& aZone,
                      TimePoint aNow) const
{
  auto zone = mZones.find(aZone);
  return { mFleet.Rate(aModel, aNow),
           zone == mZones.end() ? 0 : zone->second.Rate(aModel, aNow),
           mRecent.Rate(aModel, aNow) };
}

std::map<std::string, UrgentRates>
UrgentDemand::Rates(const std::string& aZone, TimePoint aNow) const
{
  std::map<std::string, UrgentRates> rates;
  for (const auto& [model, rate] : mFleet.Rates(aNow)) {
    rates[model] = RatesOf(model, aZone, aNow);
  }
  return rates;
}

} // namespace caraway
