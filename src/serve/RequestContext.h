// RequestContext.h: state of one request inside this instance.
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
  ConfigPtr mConfig; // in force when the request was admitted
  Profile mProfile;
  TimePoint mArrived{};
};

} // namespace caraway

#endif
