#include "entry/LoadReports.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace caraway {

namespace {

// With 32 heartbeats a second these take about 10 KB a second in each
// direction.
constexpr size_t kMaxReports = 8;

// Older reports tell little that the receiver doesn't know.
constexpr Millis kMaxAge{ 2000 };

constexpr double kPercent = 100;

// As for what servers send themselves.
constexpr int kMaxRequests = 100000;
constexpr double kLeastPacePercent = 10;
constexpr double kMostPacePercent = 10000;

Millis
AgeOf(const Backend& aBackend, TimePoint aNow)
{
  return std::chrono::duration_cast<Millis>(aNow - aBackend.mLoadReportAt);
}

bool
IsPlausible(const Json::Value& aReport)
{
  auto within =
    [&aReport](Json::ArrayIndex aIndex, double aLeast, double aMost) {
      const Json::Value& figure = aReport[aIndex];
      return figure.isNumeric() && figure.asDouble() >= aLeast &&
             figure.asDouble() <= aMost;
    };
  return aReport.isArray() && aReport.size() >= 4 &&
         within(0, 0, static_cast<double>(kMaxAge.count())) &&
         within(1, 0, kMaxRequests) && within(2, 0, kMaxRequests) &&
         within(3, kLeastPacePercent, kMostPacePercent);
}

} // namespace

Json::Value
LoadReportsJson(const ServerView& aServers, TimePoint aNow)
{
  std::vector<const Backend*> known;
  for (const auto& [id, backend] : aServers.All()) {
    if (backend.mLoadReport && backend.mLoadReport->mPace &&
        AgeOf(backend, aNow) <= kMaxAge) {
      known.push_back(&backend);
    }
  }
  std::sort(
    known.begin(), known.end(), [](const auto* aOne, const auto* aOther) {
      return aOne->mLoadReportAt > aOther->mLoadReportAt;
    });
  known.resize(std::min(known.size(), kMaxReports));
  Json::Value reports(Json::objectValue);
  for (const Backend* backend : known) {
    const ServerLoadReport& report = *backend->mLoadReport;
    Json::Value& json = reports[backend->mEntry.mId];
    json.append(static_cast<Json::Int64>(AgeOf(*backend, aNow).count()));
    json.append(report.mRunning);
    json.append(report.mWaiting);
    json.append(static_cast<int>(std::lround(*report.mPace * kPercent)));
  }
  return reports;
}

int
ReadLoadReports(const Json::Value& aReports,
                Millis aLate,
                ServerView& aServers,
                TimePoint aNow)
{
  if (!aReports.isObject() && !aReports.isNull()) {
    return 1;
  }
  int leftOut = 0;
  for (const std::string& id : aReports.getMemberNames()) {
    const Json::Value& json = aReports[id];
    if (!IsPlausible(json)) {
      ++leftOut;
      continue;
    }
    ServerLoadReport report;
    report.mRunning = json[1].asInt();
    report.mWaiting = json[2].asInt();
    report.mPace = json[3].asDouble() / kPercent;
    Millis age{ json[0].asInt64() };
    aServers.OnLoadReport(id, report, aNow - age - aLate);
  }
  return leftOut;
}

} // namespace caraway
