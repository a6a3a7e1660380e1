// StandIn.h: functions shared by all stand-ins. Each stand-in runs as a process
// of its own, prints {"address":…} once it serves, and exits on SIGTERM.
#ifndef caraway_tests_StandIn_h
#define caraway_tests_StandIn_h

#include <functional>
#include <json/json.h>
#include <string>

#include "net/HttpPort.h"

namespace caraway {

using StandInRequest = Poco::Net::HTTPServerRequest;
using StandInResponse = Poco::Net::HTTPServerResponse;

// The request's body as JSON; an empty object if it can't be parsed.
Json::Value
StandInBody(StandInRequest& aRequest);
void
StandInSend(StandInResponse& aResponse, int aStatus, const Json::Value& aJson);
// Value of the query parameter aName, or aDefault if it is absent.
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

// Prints aAddresses, waits for SIGTERM and exits.
void
StandInServe(const Json::Value& aAddresses);

} // namespace caraway

#endif
