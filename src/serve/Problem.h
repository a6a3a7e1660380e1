// Problem.h: refusals as RFC 9457 problem documents.
#ifndef caraway_serve_Problem_h
#define caraway_serve_Problem_h

#include <Poco/Net/HTTPServerResponse.h>
#include <json/json.h>
#include <string>

#include "caraway/Failure.h"

namespace caraway {

Json::Value
ProblemJson(const Failure& aFailure, const std::string& aRequestId);

// Status, Retry-After and document, from the one table of error kinds.
void
ProblemSend(Poco::Net::HTTPServerResponse& aResponse,
            const Failure& aFailure,
            const std::string& aRequestId);

// The same at once. The above goes out when its handler returns, and that may
// be later than the caller can wait for.
void
ProblemSendNow(Poco::Net::HTTPServerResponse& aResponse,
               const Failure& aFailure,
               const std::string& aRequestId);

void
JsonSend(Poco::Net::HTTPServerResponse& aResponse,
         int aStatus,
         const Json::Value& aJson);

} // namespace caraway

#endif
