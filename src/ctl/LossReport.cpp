#include "ctl/LossReport.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <vector>

#include "base/JsonText.h"

namespace caraway {

namespace {

constexpr int64_t kSecondMs = 1000;

// Statuses from here on are no service.
constexpr int kFirstFailure = 400;

// A second in which so much of a tenant's rate was refused is counted.
constexpr double kMinRefusedShare = 0.2;

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
  Spending& spending = mTenants[TextOf(json, "tenant")];
  if (event == "request_sent") {
    mRouteOf[id] = TextOf(json, "route");
    mTenantOf[id] = TextOf(json, "tenant");
    if (NumberOf(json, "send") == 1) {
      spending.mSent[second] += NumberOf(json, "tokens");
    }
  } else if (event == "request_refused") {
    mRouteOf[id] = TextOf(json, "route");
    mTenantOf[id] = TextOf(json, "tenant");
  } else if (event == "tokens_refused") {
    spending.mRefused[second] += NumberOf(json, "tokens");
    spending.mRate = NumberOf(json, "rate");
  } else if (event == "request_done") {
    double status = NumberOf(json, "status");
    if (status == 0 || status >= kFirstFailure) {
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
  text << "\ntenants in seconds in which they were refused by rate\n";
  for (const auto& [name, spending] : mTenants) {
    size_t seconds = 0;
    double sent = 0;
    double asked = 0;
    for (const auto& [second, refused] : spending.mRefused) {
      if (spending.mRate <= 0 || refused <= kMinRefusedShare * spending.mRate) {
        continue;
      }
      auto found = spending.mSent.find(second);
      double of = found == spending.mSent.end() ? 0 : found->second;
      ++seconds;
      sent += of / spending.mRate;
      asked += (of + refused) / spending.mRate;
    }
    if (seconds > 0) {
      auto count = static_cast<double>(seconds);
      text << "  " << name << ": " << seconds << " s, let in "
           << std::setprecision(2) << std::fixed << sent / count
           << " of the rate, asked " << asked / count << "\n";
    }
  }
  return text.str();
}

std::string
LossReport::Text() const
{
  // Cause, route and tenant, with all moments.
  using Cause = std::tuple<std::string, std::string, std::string>;
  std::map<Cause, std::pair<size_t, std::map<int64_t, size_t>>> causes;
  for (const auto& [key, count] : mLost) {
    const auto& [window, cause, route, tenant] = key;
    auto& [total, moments] = causes[{ cause, route, tenant }];
    total += count;
    moments[RelativeSecond(window)] += count;
  }
  std::vector<std::pair<size_t, Cause>> ranked;
  for (const auto& [cause, counts] : causes) {
    ranked.emplace_back(counts.first, cause);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::ostringstream text;
  text << mEvents << " events read, " << mUnreadable << " lines not readable\n"
       << "requests that weren't served: count, cause, route, tenant, and "
          "count by second\n";
  for (const auto& [count, cause] : ranked) {
    const auto& [why, route, tenant] = cause;
    text << std::setw(7) << count << "  " << why << "  "
         << (route.empty() ? "-" : route) << "  "
         << (tenant.empty() ? "-" : tenant) << " ";
    for (const auto& [second, times] : causes[cause].second) {
      text << " " << second << ":" << times;
    }
    text << "\n";
  }
  return text.str() + Tenants();
}

} // namespace caraway
