// PlatformApi.h: what the system asks of the platform's object API.
#ifndef caraway_platform_PlatformApi_h
#define caraway_platform_PlatformApi_h

#include <string>
#include <vector>

#include "caraway/Result.h"
#include "platform/InstanceInfo.h"
#include "platform/PlatformObject.h"
#include "platform/PlatformWrite.h"

namespace caraway {

// Every call takes part in the fleet's budget of calls at the platform, so
// callers read no more often than they act on what they read.
class PlatformApi
{
public:
  virtual ~PlatformApi() = default;

  // NotFound, or PlatformUnavailable.
  virtual Result<PlatformObject> Read(const std::string& aKind,
                                      const std::string& aName) = 0;
  // All objects of a kind whose names begin with aPrefix.
  virtual Result<std::vector<PlatformObject>> List(
    const std::string& aKind,
    const std::string& aPrefix) = 0;
  // Conditional. A lost answer is resolved by re-reading the write id.
  virtual WriteResult Write(const PlatformWrite& aWrite) = 0;
  // Returns once the object's version differs from aAfter; NotFound when
  // aWithin passes first. A waiting watch counts as one call.
  virtual Result<PlatformObject> Watch(const std::string& aKind,
                                       const std::string& aName,
                                       int64_t aAfter,
                                       Millis aWithin) = 0;
  virtual Result<std::vector<InstanceInfo>> Instances() = 0;
};

} // namespace caraway

#endif
