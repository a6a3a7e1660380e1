// RequestContext.h: state of one request inside this instance.
#ifndef caraway_serve_RequestContext_h
#define caraway_serve_RequestContext_h

#include <algorithm>
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

// Until when a request may wait to be admitted. The other half of the time to
// its first token is for serving it.
inline TimePoint
AdmissionDeadline(const RequestContext& aContext)
{
  constexpr int kAdmissionDivisor = 2;
  const Profile& profile = aContext.mProfile;
  return aContext.mArrived +
         std::min(profile.mFirstToken, profile.mAnswer) / kAdmissionDivisor;
}

} // namespace caraway

#endif
