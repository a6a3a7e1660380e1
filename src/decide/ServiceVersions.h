// ServiceVersions.h: which software versions a service's servers have, and had
// lately.
#ifndef caraway_decide_ServiceVersions_h
#define caraway_decide_ServiceVersions_h

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "caraway/Time.h"
#include "decide/BackendEntry.h"

namespace caraway {

class ServiceVersions
{
public:
  void OnListed(const BackendEntry& aEntry, TimePoint aNow);
  void OnUnlisted(const BackendEntry& aEntry, TimePoint aNow);

  // Changes whenever a service gets its first server of a version, or loses the
  // last one.
  uint64_t Changes() const { return mChanges; }
  // Whether a server of the service has another version.
  bool HasOther(const std::string& aService, const std::string& aVersion) const;
  // The version of all servers that the service has had for aWithin; nothing if
  // there were several.
  std::optional<std::string> Sole(const std::string& aService,
                                  Millis aWithin,
                                  TimePoint aNow) const;
  // Whether the service has, or had for aWithin, a server of another version.
  bool HadOther(const std::string& aService,
                const std::string& aVersion,
                Millis aWithin,
                TimePoint aNow) const;
  // Of the versions that the service has had for aWithin, the only one with a
  // server started before aUnixMs. Nothing if there are several, or if another
  // version came between aUnixMs and aUnawareUnixMs: whoever began a stream
  // then may have known it.
  std::optional<std::string> Before(const std::string& aService,
                                    int64_t aUnixMs,
                                    int64_t aUnawareUnixMs,
                                    Millis aWithin,
                                    TimePoint aNow) const;

private:
  struct Version
  {
    int mServers = 0;
    TimePoint mGoneAt{};         // when the last server went
    int64_t mFirstStartTime = 0; // of its servers, in Unix milliseconds

    bool PresentSince(TimePoint aTime) const
    {
      return mServers > 0 || mGoneAt > aTime;
    }
  };
  using Versions = std::map<std::string, Version>; // by name

  // Those of a service that isn't known: none.
  const Versions& Of(const std::string& aService) const;

  std::map<std::string, Versions> mServices;
  uint64_t mChanges = 0;
};

} // namespace caraway

#endif
