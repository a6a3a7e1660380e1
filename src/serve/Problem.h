// Problem.h: errors as RFC 9457 problem documents.
#ifndef caraway_serve_Problem_h
#define caraway_serve_Problem_h

#include <Poco/Net/HTTPServerResponse.h>
#include <json/json.h>
#include <string>

#include "caraway/Failure.h"

namespace caraway {

Json::Value
ProblemJson(const Failure& aFailure, const std::string& aRequestId);

// Sends status, Retry-After and document as the table of error kinds defines
// them.
void
ProblemSend(Poco::Net::HTTPServerResponse& aResponse,
            const Failure& aFailure,
            const std::string& aRequestId);

// The same, but flushes immediately. ProblemSend's response goes out when the
// handler returns, which may be too late during shutdown.
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
