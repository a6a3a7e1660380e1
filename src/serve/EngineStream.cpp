#include "serve/EngineStream.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <istream>

#include "base/JsonText.h"
#include "net/BoundedSocket.h"
#include "net/HttpExchange.h"

namespace caraway {

namespace {

constexpr Millis kConnectTimeout{ 500 };
constexpr int kModelNotLoaded = 404;
constexpr size_t kLineLimit = 64 * 1024;

// What is read ahead of a line, and the framing of its chunk.
constexpr size_t kReadAhead = 16 * 1024;

Poco::Timespan
TimespanOf(Millis aTime)
{
  return Poco::Timespan(Micros(aTime).count());
}

std::string
BodyOf(const GenerateCall& aCall)
{
  Json::Value body;
  body["request_id"] = aCall.mRequestId;
  body["model"] = aCall.mModel;
  body["version"] = aCall.mVersion;
  body["adapter"] = aCall.mAdapter;
  body["messages"] = aCall.mMessages;
  body["max_tokens"] = aCall.mMaxTokens;
  body["priority"] = static_cast<int>(aCall.mClass);
  body["so_far"] = Json::Value(Json::arrayValue);
  for (const std::string& token : aCall.mSoFar) {
    body["so_far"].append(token);
  }
  return JsonWrite(body);
}

// The next bytes, one line or the head, come within aWithin.
void
BoundNext(Poco::Net::HTTPClientSession& aSession, Millis aWithin)
{
  BoundAnswer(aSession.socket(),
              kLineLimit + kReadAhead,
              std::chrono::steady_clock::now() + aWithin);
}

// True if the engine, or its machine's network, ended the connection: not a
// timeout, nor an answer that can't be read.
bool
EndsConnection(const Poco::Exception& aError)
{
  using namespace Poco::Net;
  return dynamic_cast<const NoMessageException*>(&aError) ||
         dynamic_cast<const ConnectionResetException*>(&aError) ||
         dynamic_cast<const ConnectionAbortedException*>(&aError);
}

// Reads lines until the end marker. After anything other than the next token of
// this request the rest of the stream can't be trusted either.
GenerateResult
ReadTokens(const GenerateCall& aCall,
           Poco::Net::HTTPClientSession& aSession,
           std::istream& aIn,
           const std::function<bool(const std::string&)>& aOnToken)
{
  int64_t next = static_cast<int64_t>(aCall.mSoFar.size());
  std::string line;
  while (std::getline(aIn, line)) {
    if (line.size() > kLineLimit) {
      return { GenerateOutcome::Broken,
               "engine stream: a line exceeds 64 KiB" };
    }
    Json::Value json = JsonParseOrEmpty(line);
    if (json["id"].asString() != aCall.mRequestId) {
      return { GenerateOutcome::Broken,
               "engine stream: token of another request" };
    }
    if (json["end"].asBool()) {
      bool complete = json["n"].asInt64() == next;
      return complete ? GenerateResult{ GenerateOutcome::Complete,
                                        json["reason"].asString() }
                      : GenerateResult{
                          GenerateOutcome::Broken,
                          "engine stream: tokens missing before the end marker"
                        };
    }
    if (!json["t"].isString() || json["i"].asInt64() != next) {
      return { GenerateOutcome::Broken, "engine stream: token out of order" };
    }
    ++next;
    if (!aOnToken(json["t"].asString())) {
      return { GenerateOutcome::Stopped, "" };
    }
    aSession.socket().setReceiveTimeout(TimespanOf(aCall.mStall));
    BoundNext(aSession, aCall.mStall);
  }
  const Poco::Exception* error = aSession.networkException();
  return { GenerateOutcome::Broken,
           "engine stream ended without its end marker",
           !error || EndsConnection(*error) };
}

} // namespace

GenerateResult
EngineGenerate(const GenerateCall& aCall,
               const std::function<bool(const std::string&)>& aOnToken)
{
  HttpCall call;
  call.mAddress = aCall.mAddress;
  call.mConnectTimeout = kConnectTimeout;
  call.mTimeout = aCall.mFirstToken;
  std::string error;
  Poco::Net::StreamSocket socket = HttpConnect(call, error);
  if (!error.empty()) {
    return { GenerateOutcome::NotSent, error };
  }
  try {
    Poco::Net::HTTPClientSession session(socket);
    // Set on the socket, since a session made from a connected socket ignores
    // its own timeout.
    socket.setReceiveTimeout(TimespanOf(aCall.mFirstToken));
    socket.setSendTimeout(TimespanOf(aCall.mFirstToken));
    Poco::Net::HTTPRequest request(
      "POST", "/generate", Poco::Net::HTTPMessage::HTTP_1_1);
    std::string body = BodyOf(aCall);
    request.setHost(aCall.mAddress);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body << std::flush;
    Poco::Net::HTTPResponse response;
    BoundNext(session, aCall.mFirstToken);
    std::istream& in = ReceiveHead(session, aCall.mAddress, response);
    BoundNext(session, aCall.mFirstToken);
    if (response.getStatus() == kModelNotLoaded) {
      return { GenerateOutcome::ModelMissing,
               "the engine has not loaded the model" };
    }
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      return { GenerateOutcome::Broken,
               "engine answered with status " +
                 std::to_string(response.getStatus()) };
    }
    return ReadTokens(aCall, session, in, aOnToken);
  } catch (const Poco::Exception& failure) {
    return { GenerateOutcome::Broken,
             failure.displayText(),
             EndsConnection(failure) };
  } catch (const std::exception& failure) {
    return { GenerateOutcome::Broken, failure.what() };
  }
}

} // namespace caraway
