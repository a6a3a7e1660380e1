// Profile.h: what operators change, and callers name.
#ifndef caraway_Profile_h
#define caraway_Profile_h

#include <string>

#include "caraway/RequestClass.h"
#include "caraway/Time.h"

namespace caraway {

struct Profile
{
  std::string mName;    // what callers send as `model`
  std::string mTenant;  // owner; "" = every tenant
  std::string mModel;   // "" for a plain service
  std::string mAdapter; // "" = none
  std::string mService; // endpoint group of a service
  RequestClass mClass = RequestClass::Interactive;
  Millis mFirstToken{ 1400 }; // time to first token, warm
  Millis mColdStart{ 30000 }; // first token when a load waits
  Millis mAnswer{ 60000 };    // whole answer
  bool mRepeatable = true;    // false: at most once
  int mMaxTokens = 512;       // tokens generated at most
};

} // namespace caraway

#endif
