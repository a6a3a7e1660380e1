// PlatformApi.h: interface to the platform's object API.
#ifndef caraway_platform_PlatformApi_h
#define caraway_platform_PlatformApi_h

#include <string>
#include <vector>

#include "caraway/Result.h"
#include "platform/InstanceInfo.h"
#include "platform/PlatformObject.h"
#include "platform/PlatformWrite.h"

namespace caraway {

// Every call counts against the fleet's budget of platform calls, so callers
// must not read more often than they act on the result.
class PlatformApi
{
public:
  virtual ~PlatformApi() = default;

  // Errors: NotFound, PlatformUnavailable.
  virtual Result<PlatformObject> Read(const std::string& aKind,
                                      const std::string& aName) = 0;
  // All objects of a kind whose names begin with aPrefix.
  virtual Result<std::vector<PlatformObject>> List(
    const std::string& aKind,
    const std::string& aPrefix) = 0;
  // Writes conditionally. A lost answer is resolved by the write id.
  virtual WriteResult Write(const PlatformWrite& aWrite) = 0;
  // Returns once the object's version differs from aAfter; NotFound if it
  // doesn't within aWithin. A waiting watch counts as one call.
  virtual Result<PlatformObject> Watch(const std::string& aKind,
                                       const std::string& aName,
                                       int64_t aAfter,
                                       Millis aWithin) = 0;
  virtual Result<std::vector<InstanceInfo>> Instances() = 0;
};

} // namespace caraway

#endif
