// RequestContext.h: one request on its way through this instance.
#ifndef caraway_serve_RequestContext_h
#define caraway_serve_RequestContext_h

#include <string>

#include "caraway/ConfigSnapshot.h"
#include "serve/Authenticator.h"

namespace caraway {

struct RequestContext
{
  std::string mId;
  Caller mCaller;
  ConfigPtr mConfig; // the one it was let in under
  Profile mProfile;
  TimePoint mArrived{};
};

} // namespace caraway

#endif
