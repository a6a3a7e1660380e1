// Profile.h: a named set of serving parameters; operators maintain profiles,
// callers refer to them by name.
#ifndef caraway_Profile_h
#define caraway_Profile_h

#include <string>

#include "caraway/RequestClass.h"
#include "caraway/Time.h"

namespace caraway {

struct Profile
{
  std::string mName;    // sent by callers as `model`
  std::string mTenant;  // the only user; "" = all tenants
  std::string mModel;   // "" for a plain service
  std::string mAdapter; // "" = none
  std::string mService; // endpoint group of a plain service
  RequestClass mClass = RequestClass::Interactive;
  Millis mFirstToken{ 1400 }; // time to first token if the model is loaded
  // Time to first token if the request waits for a load.
  Millis mColdStart{ 30000 };
  Millis mAnswer{ 60000 }; // time to the complete answer
  bool mRepeatable = true; // false = at most once
  int mMaxTokens = 512;    // limit on generated tokens
};

} // namespace caraway

#endif
