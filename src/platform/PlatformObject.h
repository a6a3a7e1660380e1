// PlatformObject.h: one object as the platform's API gives it.
#ifndef caraway_platform_PlatformObject_h
#define caraway_platform_PlatformObject_h

#include <json/json.h>
#include <string>

namespace caraway {

struct PlatformObject
{
  std::string mName;
  int64_t mVersion = 0; // 0 = doesn't exist
  std::string mWriteId; // of the write that made this version
  Json::Value mValue;
};

} // namespace caraway

#endif
