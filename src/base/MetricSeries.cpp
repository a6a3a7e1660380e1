#include "base/MetricSeries.h"

namespace caraway {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles = { 0.5, 0.95, 0.99 };

} // namespace

MetricSeries::MetricSeries()
  : mAccumulator(acc::extended_p_square_probabilities = kQuantiles)
{
}

void
MetricSeries::Add(double aSeconds)
{
  mAccumulator(aSeconds);
  size_t bucket = 0;
  while (bucket < kMetricBounds.size() && aSeconds > kMetricBounds[bucket]) {
    ++bucket;
  }
  ++mBuckets[bucket];
}

uint64_t
MetricSeries::Count() const
{
  return acc::count(mAccumulator);
}

double
MetricSeries::Sum() const
{
  return acc::sum(mAccumulator);
}

double
MetricSeries::Max() const
{
  return Count() == 0 ? 0 : acc::max(mAccumulator);
}

double
MetricSeries::Quantile(double aFraction) const
{
  // The estimator needs a few samples before its result is usable.
  constexpr uint64_t kMinSamples = 8;
  if (Count() < kMinSamples) {
    return Max();
  }
  return acc::quantile(mAccumulator, acc::quantile_probability = aFraction);
}

uint64_t
MetricSeries::CumulativeCount(size_t aBound) const
{
  uint64_t count = 0;
  for (size_t i = 0; i <= aBound; ++i) {
    count += mBuckets[i];
  }
  return count;
}

} // namespace caraway
