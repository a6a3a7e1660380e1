#include "ctl/LossReport.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <vector>

#include "base/JsonText.h"

namespace caraway {

namespace {

constexpr int64_t kSecondMs = 1000;

// Requests with this status or above count as failed.
constexpr int kMinFailureStatus = 400;

// A second counts if more than this fraction of the tenant's rate was refused.
constexpr double kMinRefusedFraction = 0.2;

std::string
TextOf(const Json::Value& aLine, const char* aName)
{
  return aLine[aName].isString() ? aLine[aName].asString() : "";
}

double
NumberOf(const Json::Value& aLine, const char* aName)
{
  return aLine[aName].isNumeric() ? aLine[aName].asDouble() : 0;
}

} // namespace

void
LossReport::Read(const std::string& aText)
{
  std::istringstream lines(aText);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.find('{') != std::string::npos) {
      ReadLine(line.substr(line.find('{')));
    }
  }
}

void
LossReport::ReadLine(const std::string& aLine)
{
  Json::Value json = JsonParseOrEmpty(aLine);
  std::string event = TextOf(json, "event");
  if (event.empty() || !json["at"].isInt64()) {
    ++mUnreadable;
    return;
  }
  ++mEvents;
  int64_t at = json["at"].asInt64();
  mFirst = mFirst == 0 ? at : std::min(mFirst, at);
  std::string id = TextOf(json, "id");
  int64_t second = at / kSecondMs;
  TokenUsage& usage = mTenants[TextOf(json, "tenant")];
  if (event == "request_sent") {
    mRouteOf[id] = TextOf(json, "route");
    mTenantOf[id] = TextOf(json, "tenant");
    if (NumberOf(json, "send") == 1) {
      usage.mAdmittedTokens[second] += NumberOf(json, "tokens");
    }
  } else if (event == "request_forwarded") {
    mRouteOf[id] = TextOf(json, "route");
    mTenantOf[id] = TextOf(json, "tenant");
    if (NumberOf(json, "forward") == 1 && NumberOf(json, "sends") == 0) {
      usage.mAdmittedTokens[second] += NumberOf(json, "tokens");
    }
  } else if (event == "request_refused") {
    mRouteOf[id] = TextOf(json, "route");
    mTenantOf[id] = TextOf(json, "tenant");
  } else if (event == "tokens_refused") {
    usage.mRefusedTokens[second] += NumberOf(json, "tokens");
    usage.mRate = NumberOf(json, "rate");
  } else if (event == "request_done" && !json["forwarded"].asBool()) {
    double status = NumberOf(json, "status");
    if (status == 0 || status >= kMinFailureStatus) {
      int64_t window = at - at % kWindow.count();
      ++mLost[{ window, TextOf(json, "why"), mRouteOf[id], mTenantOf[id] }];
    }
    mRouteOf.erase(id);
    mTenantOf.erase(id);
  }
}

int64_t
LossReport::RelativeSecond(int64_t aAt) const
{
  return std::max<int64_t>(0, aAt - mFirst) / kSecondMs;
}

std::string
LossReport::Csv() const
{
  std::ostringstream text;
  text << "second,cause,route,tenant,count\n";
  for (const auto& [key, count] : mLost) {
    const auto& [window, cause, route, tenant] = key;
    text << RelativeSecond(window) << ",\"" << cause << "\"," << route << ","
         << tenant << "," << count << "\n";
  }
  return text.str();
}

std::string
LossReport::Tenants() const
{
  std::ostringstream text;
  text
    << "\ntenants, in the seconds in which their rate limit refused requests\n";
  for (const auto& [name, usage] : mTenants) {
    size_t seconds = 0;
    double admitted = 0;
    double requested = 0;
    for (const auto& [second, refused] : usage.mRefusedTokens) {
      if (usage.mRate <= 0 || refused <= kMinRefusedFraction * usage.mRate) {
        continue;
      }
      auto found = usage.mAdmittedTokens.find(second);
      double admittedTokens =
        found == usage.mAdmittedTokens.end() ? 0 : found->second;
      ++seconds;
      admitted += admittedTokens / usage.mRate;
      requested += (admittedTokens + refused) / usage.mRate;
    }
    if (seconds > 0) {
      auto count = static_cast<double>(seconds);
      text << "  " << name << ": " << seconds << " s, admitted "
           << std::setprecision(2) << std::fixed << admitted / count
           << " of the rate, requested " << requested / count << "\n";
    }
  }
  return text.str();
}

std::string
LossReport::Text() const
{
  // Cause, route and tenant, over all windows.
  using Cause = std::tuple<std::string, std::string, std::string>;
  std::map<Cause, std::pair<size_t, std::map<int64_t, size_t>>> causes;
  for (const auto& [key, count] : mLost) {
    const auto& [window, cause, route, tenant] = key;
    auto& [total, windows] = causes[{ cause, route, tenant }];
    total += count;
    windows[RelativeSecond(window)] += count;
  }
  std::vector<std::pair<size_t, Cause>> ranked;
  for (const auto& [cause, counts] : causes) {
    ranked.emplace_back(counts.first, cause);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::ostringstream text;
  text << mEvents << " events read, " << mUnreadable << " unreadable lines\n"
       << "failed requests: count, cause, route, tenant, and "
          "count by second\n";
  for (const auto& [count, cause] : ranked) {
    const auto& [why, route, tenant] = cause;
    text << std::setw(7) << count << "  " << why << "  "
         << (route.empty() ? "-" : route) << "  "
         << (tenant.empty() ? "-" : tenant) << " ";
    for (const auto& [second, number] : causes[cause].second) {
      text << " " << second << ":" << number;
    }
    text << "\n";
  }
  return text.str() + Tenants();
}

} // namespace caraway
