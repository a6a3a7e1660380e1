// EngineSlotRequest.h: asking a model's owner for a place at an engine.
#ifndef caraway_own_EngineSlotRequest_h
#define caraway_own_EngineSlotRequest_h

#include <cstdint>
#include <json/json.h>
#include <string>

#include "caraway/RequestClass.h"
#include "caraway/Time.h"

namespace caraway {

struct EngineSlotRequest
{
  std::string mModel;
  std::string mAdapter; // "" = none
  std::string mTenant;
  RequestClass mClass = RequestClass::Interactive;
  uint64_t mRequestDigest = 0; // digest of what is asked, to know a return by
  double mTokens = 1;          // expected work
  Millis mStartWithin{ 1400 }; // when the model is ready somewhere
  Millis mColdWithin{ 30000 }; // when it has to be loaded
  Millis mMaxHold{ 60000 };    // a place not given back by then is taken back
  bool mNoRedirect = false;    // not to be sent to another zone
  std::string mFailedZone;     // the home that didn't serve it; "" = none
  bool mZoneSilent = false;    // it didn't answer, that is
};

// A place, or a ticket to ask again with, or another zone to ask.
struct EngineSlotGrant
{
  uint64_t mTicket = 0; // not 0: still waiting
  std::string
    mRedirectZone; // not "": the model's home zone, to be asked instead
  uint64_t mEngineSlotId = 0; // to give back
  std::string mEndpoint;
  std::string mAddress;
  bool mCold = false; // it waited for a load
  Millis mWaited{ 0 };
};

struct EngineSlotRelease
{
  uint64_t mEngineSlotId = 0;
  double mTokens = 0;   // work done
  bool mGone = false;   // the engine hadn't the model (any more)
  bool mFailed = false; // the engine didn't answer
};

Json::Value
EngineSlotRequestJson(const EngineSlotRequest& aRequest);
EngineSlotRequest
EngineSlotRequestParse(const Json::Value& aJson);
Json::Value
EngineSlotGrantJson(const EngineSlotGrant& aGrant);
EngineSlotGrant
EngineSlotGrantParse(const Json::Value& aJson);
Json::Value
EngineSlotReleaseJson(const EngineSlotRelease& aRelease);
EngineSlotRelease
EngineSlotReleaseParse(const Json::Value& aJson);

} // namespace caraway

#endif
