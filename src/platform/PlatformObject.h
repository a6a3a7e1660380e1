// PlatformObject.h: an object of the platform's API.
#ifndef caraway_platform_PlatformObject_h
#define caraway_platform_PlatformObject_h

#include <json/json.h>
#include <string>

namespace caraway {

struct PlatformObject
{
  std::string mName;
  int64_t mVersion = 0; // 0 = doesn't exist
  std::string mWriteId; // id of the write that made this version
  Json::Value mValue;
};

} // namespace caraway

#endif
