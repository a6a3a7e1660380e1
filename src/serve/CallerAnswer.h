// CallerAnswer.h: the one answer to one request.
#ifndef caraway_serve_CallerAnswer_h
#define caraway_serve_CallerAnswer_h

#include <Poco/Net/HTTPServerResponse.h>
#include <functional>
#include <mutex>
#include <ostream>
#include <string>

#include "caraway/Failure.h"

namespace caraway {

// Written by the request's handler, or at the instance's end by the port while
// the handler still waits for somebody: whoever comes second writes nothing.
class CallerAnswer
{
public:
  using Response = Poco::Net::HTTPServerResponse;

  // aBefore: what is known of the work before this request begins it.
  CallerAnswer(Response& aResponse, std::string aRequestId, RunState aBefore);

  // Work may begin whose answer this will be. False: it was given up.
  bool Begin();
  // aWrite sends a whole answer. False: there is one already.
  bool Send(const std::function<void(Response&)>& aWrite);
  // One event of a stream; the first sends the head. False: the caller has
  // gone, or it was given up.
  bool Event(const char* aName, const std::string& aData);
  // No event follows.
  void EndEvents();
  bool Streaming() const;

  // The last answer in the handler's place, where nobody is writing one. True
  // when work had begun and is cut.
  bool AnswerShuttingDown(const std::string& aWhy);

private:
  bool WriteEvent(const char* aName, const std::string& aData);
  void CloseStream();

  Response& mResponse;
  std::string mRequestId;
  RunState mRun;
  mutable std::timed_mutex mLock;
  std::ostream* mOut = nullptr; // of a stream
  bool mBegun = false;
  bool mDone = false;
};

} // namespace caraway

#endif
