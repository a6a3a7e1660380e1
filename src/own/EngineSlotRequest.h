// EngineSlotRequest.h: requests to a model's owner for an engine slot.
#ifndef caraway_own_EngineSlotRequest_h
#define caraway_own_EngineSlotRequest_h

#include <cstdint>
#include <json/json.h>
#include <optional>
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
  uint64_t mRequestDigest = 0; // recognizes a retry
  double mTokens = 1;          // expected cost
  Millis mStartWithin{ 1400 }; // if a replica is ready
  Millis mColdWithin{ 30000 }; // if the model must be loaded
  Millis mMaxHold{ 60000 };    // the slot is reclaimed after this
  bool mNoRedirect = false;    // must be served in this zone
  std::string mFailedZone;     // home zone that didn't serve it; "" = none
  bool mZoneSilent = false;    // mFailedZone didn't answer
  // If set, only engines of this software version; see EndpointSpec.
  std::optional<std::string> mSoftware;
};

// A granted slot, a ticket to poll with, or another zone to ask.
struct EngineSlotGrant
{
  uint64_t mTicket = 0;       // not 0: still queued
  std::string mRedirectZone;  // not "": the home zone, to be asked instead
  uint64_t mEngineSlotId = 0; // of the granted slot, for its release
  std::string mEndpoint;
  std::string mAddress;
  std::string mSoftware; // version of the engine's software
  bool mCold = false;    // the request waited for a load
  Millis mWaited{ 0 };
};

struct EngineSlotRelease
{
  uint64_t mEngineSlotId = 0;
  double mTokens = 0;         // tokens generated
  bool mModelMissing = false; // the engine doesn't have the model
  bool mFailed = false;       // the engine didn't answer
  bool mEnded = false;  // it ended the connection in the middle of the run
  bool mServed = false; // it answered completely
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
