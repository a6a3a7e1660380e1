// MetricSeries.h: one distribution, e.g. the waits of a tenant's urgent calls.
#ifndef caraway_base_MetricSeries_h
#define caraway_base_MetricSeries_h

// Boost's quantile header uses std::ostringstream without including it.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace caraway {

// Upper bounds in seconds; a last bucket has no bound.
constexpr std::array<double, 12> kMetricBounds = { 0.005, 0.01, 0.025, 0.05,
                                                   0.1,   0.25, 0.5,   1,
                                                   2.5,   5,    15,    60 };

class MetricSeries
{
public:
  MetricSeries();
  void Add(double aSeconds);

  uint64_t Count() const;
  double Sum() const;
  double Max() const;
  double Quantile(double aFraction) const; // aFraction: 0.5, 0.95 or 0.99
  // Number of samples up to kMetricBounds[aBound], since the text format
  // requires cumulative buckets.
  uint64_t CumulativeCount(size_t aBound) const;

private:
  using Accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<
      boost::accumulators::tag::count,
      boost::accumulators::tag::sum,
      boost::accumulators::tag::max,
      boost::accumulators::tag::extended_p_square_quantile>>;

  Accumulator mAccumulator;
  std::array<uint64_t, kMetricBounds.size() + 1> mBuckets{};
};

} // namespace caraway

#endif
