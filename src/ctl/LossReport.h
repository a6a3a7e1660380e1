// LossReport.h: where requests were lost, from the logs of all instances.
#ifndef caraway_ctl_LossReport_h
#define caraway_ctl_LossReport_h

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "caraway/Time.h"

namespace caraway {

// Requests that weren't served, by cause and moment; and for each tenant what
// was let in against its limit while some were refused by it.
class LossReport
{
public:
  // Width of a moment.
  static constexpr Millis kWindow{ 2000 };

  // One file's text. Lines that can't be read are counted and passed over.
  void Read(const std::string& aText);

  size_t Unreadable() const { return mUnreadable; }
  size_t Events() const { return mEvents; }
  // For people: causes, the most first, then tenants.
  std::string Text() const;
  // second,cause,route,tenant,count
  std::string Csv() const;

private:
  // Begin of a window in Unix milliseconds, cause, route, tenant.
  using Key = std::tuple<int64_t, std::string, std::string, std::string>;

  // Of one tenant, by second.
  struct TokenUsage
  {
    std::map<int64_t, double> mAdmittedTokens; // tokens
    std::map<int64_t, double> mRefusedTokens;  // tokens
    double mRate = 0;                          // tokens a second
  };
  void ReadLine(const std::string& aLine);
  int64_t RelativeSecond(int64_t aAt) const;
  std::string Tenants() const;

  std::map<Key, size_t> mLost;
  std::map<std::string, TokenUsage> mTenants;
  std::map<std::string, std::string> mRouteOf; // by request's id
  std::map<std::string, std::string> mTenantOf;
  int64_t mFirst = 0; // Unix ms
  size_t mEvents = 0;
  size_t mUnreadable = 0;
};

} // namespace caraway

#endif
