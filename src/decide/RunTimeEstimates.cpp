#include "decide/RunTimeEstimates.h"

#include <cmath>

namespace caraway {

namespace {

// Weights of the newest run, as in RFC 6298.
constexpr double kMeanGain = 0.125;
constexpr double kDeviationGain = 0.25;

// UsualTime() is the mean plus this many deviations.
constexpr double kDeviations = 2;

// Bounds the memory used: routes come and go with configurations. At the limit
// all estimates are dropped and learned again.
constexpr size_t kMaxRoutes = 4096;

} // namespace

void
RunTimeEstimates::Record(const std::string& aRoute, Millis aTook)
{
  if (mRoutes.size() >= kMaxRoutes && mRoutes.count(aRoute) == 0) {
    mRoutes.clear();
  }
  auto took = static_cast<double>(aTook.count());
  auto [at, isNew] = mRoutes.try_emplace(aRoute);
  Estimate& estimate = at->second;
  if (isNew) {
    estimate = { took, took / 2 };
    return;
  }
  double error = std::abs(took - estimate.mMean);
  estimate.mDeviation += kDeviationGain * (error - estimate.mDeviation);
  estimate.mMean += kMeanGain * (took - estimate.mMean);
}

Millis
RunTimeEstimates::UsualTime(const std::string& aRoute) const
{
  auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    return Millis(0);
  }
  const Estimate& estimate = found->second;
  return Millis(
    static_cast<int64_t>(estimate.mMean + kDeviations * estimate.mDeviation));
}

} // namespace caraway
