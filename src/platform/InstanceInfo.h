// InstanceInfo.h: an entry of the platform's instance list.
#ifndef caraway_platform_InstanceInfo_h
#define caraway_platform_InstanceInfo_h

#include <string>

namespace caraway {

struct InstanceInfo
{
  std::string mId;
  std::string mZone;
  std::string mPeerAddress; // ip:port of the peer port
  bool mLeaving = false;
};

} // namespace caraway

#endif
