// CallerAnswer.h: the single response to one request.
#ifndef caraway_serve_CallerAnswer_h
#define caraway_serve_CallerAnswer_h

#include <Poco/Net/HTTPServerResponse.h>
#include <functional>
#include <mutex>
#include <ostream>
#include <string>

#include "caraway/Failure.h"

namespace caraway {

// Written by the request's handler or, at shutdown, by the port while the
// handler still waits. Whichever comes second writes nothing.
class CallerAnswer
{
public:
  using Response = Poco::Net::HTTPServerResponse;

  // aBefore: run state reported if the port answers before Begin().
  CallerAnswer(Response& aResponse, std::string aRequestId, RunState aBefore);

  // Marks the start of work for this request. False if the port has already
  // answered.
  bool Begin();
  // Calls aWrite to send a complete response. False if one was sent already.
  bool Send(const std::function<void(Response&)>& aWrite);
  // Sends one event of a stream; the first one sends the response head. False
  // if the caller has disconnected or the port has ended the stream.
  bool SendEvent(const char* aName, const std::string& aData);
  // Called after the last event of a stream.
  void EndEvents();
  bool Streaming() const;

  // Answers ShuttingDown in place of the handler, unless a response was sent or
  // is being written. True if work had begun and is cut off.
  bool AnswerShuttingDown(const std::string& aWhy);

private:
  bool WriteEvent(const char* aName, const std::string& aData);
  void CloseStream();

  Response& mResponse;
  std::string mRequestId;
  RunState mRun;
  mutable std::timed_mutex mLock;
  std::ostream* mOut = nullptr; // set once a stream has begun
  bool mBegun = false;
  bool mDone = false;
};

} // namespace caraway

#endif
