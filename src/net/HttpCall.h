// HttpCall.h: one blocking HTTP call, and how far it got.
#ifndef caraway_net_HttpCall_h
#define caraway_net_HttpCall_h

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

struct HttpReply;

struct HttpCall
{
  std::string mAddress; // ip:port
  std::string mMethod = "GET";
  std::string mPath = "/";
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  Millis mConnectTimeout{ 500 };
  Millis mTimeout{ 2000 }; // of the whole call, including the connect
  bool mResend = true;     // HttpPool may send it a second time
  size_t mReplyLimit = 8 * 1024 * 1024; // bytes of the answer's body
  // Whether an answer is one to this call, and not a second one to a call
  // before it on a pooled connection. None: any is.
  std::function<bool(const HttpReply&)> mIsOwn;
};

// How far a call got. A refusal may say "not run" after NotSent but not after
// Lost: NotSent is returned only if no byte of the request was written to a
// socket.
enum class HttpStage
{
  NotSent,  // no connection was established
  Lost,     // written, and no complete answer was received
  Answered, // complete answer, by its stated length
};

struct HttpReply
{
  HttpStage mStage = HttpStage::NotSent;
  int mStatus = 0;
  std::map<std::string, std::string> mHeaders; // names in lower case
  std::string mBody;
  std::string mError;   // the reason if not Answered
  bool mResent = false; // HttpPool sent it a second time

  std::string Header(const std::string& aName) const;
  bool Ok() const
  {
    return mStage == HttpStage::Answered && mStatus / 100 == 2;
  }
};

// Uses a new connection for this one call, closed after it. For orders that
// must not be repeated: on a kept-alive connection that the other side has
// closed it would be unknown whether the order was read.
HttpReply
HttpCallOnce(const HttpCall& aCall);

} // namespace caraway

#endif
