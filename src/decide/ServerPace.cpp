#include "decide/ServerPace.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

// A reported value counts half after this time.
constexpr Millis kReportHalfLife{ 1000 };

// Reports closer together than this count less in the mean, so that a burst of
// requests at one moment doesn't determine it.
constexpr Millis kMeanTime{ 10000 };

// After the first of these times without reports the mean returns to the usual;
// its distance halves in the second.
constexpr Millis kMeanHold{ 5000 };
constexpr Millis kMeanHalfLife{ 20000 };

// Values beyond count as these. A false one then costs or gains a server a few
// times its share of the requests at most.
constexpr double kMinPace = 0.5;
constexpr double kMaxPace = 5;

double
Halved(TimePoint aThen, TimePoint aNow, Millis aHalfLife)
{
  auto age = std::max(aNow - aThen, TimePoint::duration(0));
  return std::exp2(-std::chrono::duration<double>(age) /
                   std::chrono::duration<double>(aHalfLife));
}

} // namespace

double
ServerPace::MeanAt(TimePoint aNow) const
{
  return 1 + (mMean - 1) * Halved(mLastAt + kMeanHold, aNow, kMeanHalfLife);
}

void
ServerPace::Record(double aPace, TimePoint aAt)
{
  if (mLastAt != TimePoint() && aAt <= mLastAt) {
    return;
  }
  double pace = std::clamp(aPace, kMinPace, kMaxPace);
  double mean = MeanAt(aAt);
  double gain = 1 - Halved(mLastAt, aAt, kMeanTime);
  // A first report alone says little of the mean.
  constexpr double kMaxGain = 0.2;
  mMean = mean + std::min(gain, kMaxGain) * (pace - mean);
  mLast = pace;
  mLastAt = aAt;
}

double
ServerPace::Estimate(TimePoint aNow) const
{
  if (mLastAt == TimePoint()) {
    return 1;
  }
  double mean = MeanAt(aNow);
  return mean + (mLast - mean) * Halved(mLastAt, aNow, kReportHalfLife);
}

} // namespace caraway
