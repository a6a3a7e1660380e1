#include "base/Metrics.h"

#include <functional>
#include <sstream>

namespace caraway {

namespace {

void
WriteSeries(std::ostream& aOut,
            const std::string& aKey,
            const MetricSeries& aSeries)
{
  size_t split = aKey.find('{');
  std::string name = aKey.substr(0, split);
  std::string labels = aKey.substr(split + 1);
  for (size_t i = 0; i < kMetricBounds.size(); ++i) {
    aOut << name << "_bucket{" << labels << ",le=\"" << kMetricBounds[i]
         << "\"} " << aSeries.CumulativeCount(i) << "\n";
  }
  aOut << name << "_bucket{" << labels << ",le=\"+Inf\"} " << aSeries.Count()
       << "\n";
  aOut << name << "_sum{" << labels << "} " << aSeries.Sum() << "\n";
  aOut << name << "_count{" << labels << "} " << aSeries.Count() << "\n";
  for (double fraction : { 0.5, 0.95, 0.99 }) {
    aOut << name << "_quantile{" << labels << ",quantile=\"" << fraction
         << "\"} " << aSeries.Quantile(fraction) << "\n";
  }
}

} // namespace

Metrics::Shard&
Metrics::ShardFor(const std::string& aKey)
{
  return mShards[std::hash<std::string>()(aKey) % kShards];
}

void
Metrics::Observe(const char* aMeasure,
                 const std::string& aTenant,
                 RequestClass aClass,
                 Micros aTime)
{
  std::string key = "caraway_" + std::string(aMeasure) + "_seconds{tenant=\"" +
                    aTenant + "\",class=\"" + RequestClassName(aClass) + "\"";
  Add(key, aTime);
}

void
Metrics::Time(const char* aName, const std::string& aLabels, Micros aTime)
{
  Add(std::string(aName) + "{" + aLabels, aTime);
}

void
Metrics::Add(const std::string& aKey, Micros aTime)
{
  Shard& shard = ShardFor(aKey);
  std::lock_guard<std::mutex> lock(shard.mLock);
  shard.mSeries[aKey].Add(std::chrono::duration<double>(aTime).count());
}

void
Metrics::Count(const char* aName, const std::string& aLabels, int64_t aBy)
{
  std::string key = std::string(aName) + "{" + aLabels + "}";
  Shard& shard = ShardFor(key);
  std::lock_guard<std::mutex> lock(shard.mLock);
  shard.mCounters[key] += aBy;
}

std::string
Metrics::Text() const
{
  std::ostringstream out;
  for (const Shard& shard : mShards) {
    std::lock_guard<std::mutex> lock(shard.mLock);
    for (const auto& counter : shard.mCounters) {
      out << counter.first << " " << counter.second << "\n";
    }
    for (const auto& series : shard.mSeries) {
      WriteSeries(out, series.first, series.second);
    }
  }
  return out.str();
}

} // namespace caraway
