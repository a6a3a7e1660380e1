// Briefing.h: a request that may wait, kept at the platform until collected.
#ifndef caraway_serve_Briefing_h
#define caraway_serve_Briefing_h

#include <json/json.h>
#include <string>

#include "serve/Authenticator.h"

namespace caraway {

enum class BriefingState
{
  Accepted, // kept; not ended yet
  Done,     // mAnswer is its result
  Refused,  // mAnswer is the problem document; final
};

struct Briefing
{
  std::string mId;
  BriefingState mState = BriefingState::Accepted;
  Caller mCaller; // whose key it came with; its digest, never the key
  std::string mProfile;
  Json::Value mMessages;
  int mMaxTokens = 0;   // 0 = the profile's
  int64_t mExpires = 0; // calendar ms; refused for good after it
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
