// Metrics.h: counters and histograms in Prometheus text format.
#ifndef caraway_base_Metrics_h
#define caraway_base_Metrics_h

#include <array>
#include <map>
#include <mutex>
#include <string>

#include "base/MetricSeries.h"
#include "caraway/RequestClass.h"
#include "caraway/Time.h"

namespace caraway {

// Sharded, each shard with its own lock, because every request updates it.
class Metrics
{
public:
  // aMeasure: "wait", "cold_start", "first_token" or "whole".
  void Observe(const char* aMeasure,
               const std::string& aTenant,
               RequestClass aClass,
               Micros aTime);
  // Records a duration that doesn't belong to a tenant's request; aLabels as
  // for Count().
  void Time(const char* aName, const std::string& aLabels, Micros aTime);
  // aLabels: as in the text format, e.g. kind="rate_exceeded".
  void Count(const char* aName, const std::string& aLabels, int64_t aBy = 1);

  std::string Text() const;

private:
  struct Shard
  {
    mutable std::mutex mLock;
    std::map<std::string, MetricSeries> mSeries; // by name and labels
    std::map<std::string, int64_t> mCounters;
  };
  Shard& ShardFor(const std::string& aKey);
  void Add(const std::string& aKey, Micros aTime);

  static constexpr size_t kShards = 8;
  std::array<Shard, kShards> mShards;
};

} // namespace caraway

#endif
