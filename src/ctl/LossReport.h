// LossReport.h: lost requests, from the logs of all instances.
#ifndef caraway_ctl_LossReport_h
#define caraway_ctl_LossReport_h

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "caraway/Time.h"

namespace caraway {

// Counts failed requests by cause and time window. For each tenant it also
// reports how much was admitted against its limit while requests were refused
// by that limit.
class LossReport
{
public:
  // Width of a time window.
  static constexpr Millis kWindow{ 2000 };

  // Reads the text of one file. Unreadable lines are counted and skipped.
  void Read(const std::string& aText);

  size_t Unreadable() const { return mUnreadable; }
  size_t Events() const { return mEvents; }
  // For display: causes in descending order of count, then tenants.
  std::string Text() const;
  // Columns: second,cause,route,tenant,count.
  std::string Csv() const;

private:
  // Start of the window in Unix ms, cause, route, tenant.
  using Key = std::tuple<int64_t, std::string, std::string, std::string>;

  // Tokens of one tenant, by second.
  struct TokenUsage
  {
    std::map<int64_t, double> mAdmittedTokens; // tokens
    std::map<int64_t, double> mRefusedTokens;  // tokens
    double mRate = 0;                          // tokens per second
  };
  void ReadLine(const std::string& aLine);
  int64_t RelativeSecond(int64_t aAt) const;
  std::string Tenants() const;

  std::map<Key, size_t> mLost;
  std::map<std::string, TokenUsage> mTenants;
  std::map<std::string, std::string> mRouteOf; // by request id
  std::map<std::string, std::string> mTenantOf;
  int64_t mFirst = 0; // Unix ms of the first event
  size_t mEvents = 0;
  size_t mUnreadable = 0;
};

} // namespace caraway

#endif
