#include "decide/ServiceVersions.h"

#include <algorithm>
#include <vector>

namespace caraway {

namespace {

// Longer than any stream takes.
constexpr Millis kVersionMemory{ 10 * 60 * 1000 };

} // namespace

// Versions that went long ago are forgotten as others come.
void
ServiceVersions::OnListed(const BackendEntry& aEntry, TimePoint aNow)
{
  Versions& versions = mServices[aEntry.mService];
  for (auto at = versions.begin(); at != versions.end();) {
    bool forgotten = !at->second.PresentSince(aNow - kVersionMemory);
    at = forgotten ? versions.erase(at) : std::next(at);
  }
  auto [at, added] = versions.try_emplace(aEntry.mVersion);
  Version& version = at->second;
  int64_t first = added ? aEntry.mStartTime : version.mFirstStartTime;
  version.mFirstStartTime = std::min(first, aEntry.mStartTime);
  mChanges += version.mServers == 0 ? 1 : 0;
  version.mServers += 1;
}

void
ServiceVersions::OnUnlisted(const BackendEntry& aEntry, TimePoint aNow)
{
  Version& version = mServices[aEntry.mService][aEntry.mVersion];
  version.mServers -= 1;
  if (version.mServers == 0) {
    version.mGoneAt = aNow;
    ++mChanges;
  }
}

const ServiceVersions::Versions&
ServiceVersions::Of(const std::string& aService) const
{
  static const Versions kNone;
  auto found = mServices.find(aService);
  return found == mServices.end() ? kNone : found->second;
}

bool
ServiceVersions::HasOther(const std::string& aService,
                          const std::string& aVersion) const
{
  const Versions& versions = Of(aService);
  return std::any_of(
    versions.begin(), versions.end(), [&aVersion](const auto& aOne) {
      return aOne.second.mServers > 0 && aOne.first != aVersion;
    });
}

std::optional<std::string>
ServiceVersions::Sole(const std::string& aService,
                      Millis aWithin,
                      TimePoint aNow) const
{
  std::optional<std::string> sole;
  for (const auto& [name, version] : Of(aService)) {
    if (!version.PresentSince(aNow - aWithin)) {
      continue;
    }
    if (sole || version.mServers == 0) {
      return std::nullopt;
    }
    sole = name;
  }
  return sole;
}

bool
ServiceVersions::HadOther(const std::string& aService,
                          const std::string& aVersion,
                          Millis aWithin,
                          TimePoint aNow) const
{
  const Versions& versions = Of(aService);
  return std::any_of(versions.begin(), versions.end(), [&](const auto& aOne) {
    return aOne.first != aVersion && aOne.second.PresentSince(aNow - aWithin);
  });
}

std::optional<std::string>
ServiceVersions::Before(const std::string& aService,
                        int64_t aUnixMs,
                        int64_t aUnawareUnixMs,
                        Millis aWithin,
                        TimePoint aNow) const
{
  std::optional<std::string> early;
  for (const auto& [name, version] : Of(aService)) {
    if (!version.PresentSince(aNow - aWithin)) {
      continue;
    }
    bool isEarly = version.mFirstStartTime < aUnixMs;
    if ((isEarly && early) ||
        (!isEarly && version.mFirstStartTime < aUnawareUnixMs)) {
      return std::nullopt;
    }
    early = isEarly ? std::optional(name) : early;
  }
  return early;
}

} // namespace caraway
