#include "decide/RunTimeEstimates.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

// Weights of the newest run, as in RFC 6298.
constexpr double kMeanGain = 0.125;
constexpr double kDeviationGain = 0.25;

// UsualTime() is the mean plus this many mean distances from it. One in ten
// values of a normal distribution lies beyond.
constexpr double kUsualDeviations = 1.6;

// Deviation assumed after a single run: most take between 60% and 160% of it.
constexpr double kFirstDeviation = 0.5;

// Points that a trend remembers; older ones fade.
constexpr double kTrendPoints = 64;

// Guesses until a route has enough runs, see Trend. A stream takes less than
// twice as long when its caller expects twice as many tokens: estimates are far
// off, and the prompt takes its time too.
constexpr double kGuessedLengthSlope = 0.5;
constexpr double kLengthGuessWeight = 4;

// Logarithm of how much longer a run takes on a server whose slots are all in
// use than on an idle one.
constexpr double kGuessedLoadSlope = 0.5;
constexpr double kLoadGuessWeight = 1;

// Bounds the memory used: routes come and go with configurations. At the limit
// all estimates are dropped and learned again.
constexpr size_t kMaxRoutes = 4096;

double
LogOf(Millis aTime)
{
  return std::log(std::max(1.0, static_cast<double>(aTime.count())));
}

double
LogLength(const RunFacts& aFacts)
{
  return std::log(aFacts.mExpectedTokens);
}

double
LoadSquare(const RunFacts& aFacts)
{
  return aFacts.mServerLoad * aFacts.mServerLoad;
}

} // namespace

Trend::Trend(double aGuessedSlope, double aGuessWeight)
  : mGuessedSlope(aGuessedSlope)
  , mGuessWeight(aGuessWeight)
  , mSquares(aGuessWeight)
  , mProducts(aGuessWeight * aGuessedSlope)
{
}

double
Trend::Record(double aX, double aY)
{
  if (mPoints < kTrendPoints) {
    ++mPoints;
  } else {
    constexpr double kKept = 1 - 1 / kTrendPoints;
    mSquares = mGuessWeight + (mSquares - mGuessWeight) * kKept;
    double guess = mGuessWeight * mGuessedSlope;
    mProducts = guess + (mProducts - guess) * kKept;
  }
  double fromMeanX = aX - mMeanX;
  double shift = fromMeanX / mPoints;
  double rise = mPoints > 1 ? Slope() * shift : 0;
  mMeanX += shift;
  mMeanY += (aY - mMeanY) / mPoints;
  mSquares += fromMeanX * (aX - mMeanX);
  mProducts += fromMeanX * (aY - mMeanY);
  return rise;
}

double
Trend::Rise(double aX) const
{
  return mPoints > 0 ? Slope() * (aX - mMeanX) : 0;
}

RunTimeEstimates::Estimate::Estimate()
  : mLength(kGuessedLengthSlope, kLengthGuessWeight)
  , mLoad(kGuessedLoadSlope, kLoadGuessWeight)
{
}

double
RunTimeEstimates::Estimate::LengthRise(const RunFacts& aFacts) const
{
  return aFacts.mExpectedTokens > 0 ? mLength.Rise(LogLength(aFacts)) : 0;
}

double
RunTimeEstimates::Estimate::LoadRise(const RunFacts& aFacts) const
{
  return mLoad.Rise(LoadSquare(aFacts));
}

// Each trend sees what the other one leaves.
void
RunTimeEstimates::Estimate::RecordTrends(const RunFacts& aFacts, double aTook)
{
  double length = LengthRise(aFacts);
  double load = LoadRise(aFacts);
  if (aFacts.mExpectedTokens > 0) {
    mMean += mLength.Record(LogLength(aFacts), aTook - load);
  }
  mMean += mLoad.Record(LoadSquare(aFacts), aTook - length);
}

void
RunTimeEstimates::Record(const std::string& aRoute,
                         Millis aTook,
                         RunFacts aFacts)
{
  if (mRoutes.size() >= kMaxRoutes && mRoutes.count(aRoute) == 0) {
    mRoutes.clear();
  }
  double took = LogOf(aTook);
  auto [at, isNew] = mRoutes.try_emplace(aRoute);
  Estimate& estimate = at->second;
  if (isNew) {
    estimate.mMean = took;
    estimate.mDeviation = kFirstDeviation;
  } else {
    double expected =
      estimate.mMean + estimate.LengthRise(aFacts) + estimate.LoadRise(aFacts);
    double error = took - expected;
    estimate.mDeviation +=
      kDeviationGain * (std::abs(error) - estimate.mDeviation);
    estimate.mMean += kMeanGain * error;
  }
  estimate.RecordTrends(aFacts, took);
}

Millis
RunTimeEstimates::TimeAt(const std::string& aRoute,
                         const RunFacts& aFacts,
                         double aDeviations) const
{
  auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    return Millis(0);
  }
  const Estimate& estimate = found->second;
  double log = estimate.mMean + estimate.LengthRise(aFacts) +
               estimate.LoadRise(aFacts) + aDeviations * estimate.mDeviation;
  // A few wild runs must not make the time overflow.
  constexpr double kMaxMs = 1e9;
  return Millis(std::llround(std::min(std::exp(log), kMaxMs)));
}

Millis
RunTimeEstimates::UsualTime(const std::string& aRoute, RunFacts aFacts) const
{
  return TimeAt(aRoute, aFacts, kUsualDeviations);
}

Millis
RunTimeEstimates::TypicalTime(const std::string& aRoute, RunFacts aFacts) const
{
  return TimeAt(aRoute, aFacts, 0);
}

} // namespace caraway
