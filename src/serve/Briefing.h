// Briefing.h: a request that may wait, stored at the platform until its result
// is fetched.
#ifndef caraway_serve_Briefing_h
#define caraway_serve_Briefing_h

#include <json/json.h>
#include <string>

#include "serve/Authenticator.h"

namespace caraway {

enum class BriefingState
{
  Accepted, // stored, not finished yet
  Done,     // mAnswer holds the result
  Refused,  // final; mAnswer holds the problem document
};

struct Briefing
{
  std::string mId;
  BriefingState mState = BriefingState::Accepted;
  Caller mCaller; // who submitted it; holds the key's digest, never the key
  std::string mProfile;
  Json::Value mMessages;
  int mMaxTokens = 0;   // 0 = limit of the profile
  int64_t mExpires = 0; // Unix time in ms; refused for good after it
  Json::Value mAnswer;
};

Briefing
BriefingParse(const Json::Value& aJson);
Json::Value
BriefingJson(const Briefing& aBriefing);
const char*
BriefingStateName(BriefingState aState);

} // namespace caraway

#endif
