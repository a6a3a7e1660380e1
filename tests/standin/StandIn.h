// StandIn.h: what all stand-ins share. Each runs as a process of its own,
// prints {"address":…} once it serves, and ends with SIGTERM.
#ifndef caraway_tests_StandIn_h
#define caraway_tests_StandIn_h

#include <functional>
#include <json/json.h>
#include <string>

#include "net/HttpPort.h"

namespace caraway {

using StandInRequest = Poco::Net::HTTPServerRequest;
using StandInResponse = Poco::Net::HTTPServerResponse;

// Body as JSON; an empty object when there is none.
Json::Value
StandInBody(StandInRequest& aRequest);
void
StandInSend(StandInResponse& aResponse, int aStatus, const Json::Value& aJson);
// "NAME=VALUE" of the query; aDefault without it.
std::string
StandInQuery(const std::string& aUri,
             const std::string& aName,
             const std::string& aDefault);
HttpPortLimits
StandInLimits();

// Each blocks until SIGTERM.
int
RunPlatform();
int
RunEngine();
int
RunService();
int
RunStore();
int
RunProxy();

// Prints aAddresses and waits for SIGTERM.
void
StandInServe(const Json::Value& aAddresses);

} // namespace caraway

#endif
