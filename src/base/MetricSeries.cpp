#include "base/MetricSeries.h"

namespace caraway {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles = { 0.5, 0.95, 0.99 };

} // namespace

MetricSeries::MetricSeries()
  : mSet(acc::extended_p_square_probabilities = kQuantiles)
{
}

void
MetricSeries::Add(double aSeconds)
{
  mSet(aSeconds);
  size_t bucket = 0;
  while (bucket < kMetricBounds.size() && aSeconds > kMetricBounds[bucket]) {
    ++bucket;
  }
  ++mBuckets[bucket];
}

uint64_t
MetricSeries::Count() const
{
  return acc::count(mSet);
}

double
MetricSeries::Sum() const
{
  return acc::sum(mSet);
}

double
MetricSeries::Max() const
{
  return Count() == 0 ? 0 : acc::max(mSet);
}

double
MetricSeries::Quantile(double aPart) const
{
  // The estimator needs a few samples before its markers stand.
  constexpr uint64_t kLeast = 8;
  if (Count() < kLeast) {
    return Max();
  }
  return acc::quantile(mSet, acc::quantile_probability = aPart);
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
