// HttpCall.h: one HTTP call, and how far it got.
#ifndef caraway_net_HttpCall_h
#define caraway_net_HttpCall_h

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

struct HttpCall
{
  std::string mAddress; // ip:port
  std::string mMethod = "GET";
  std::string mPath = "/";
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  Millis mConnectTimeout{ 500 };
  Millis mTimeout{ 2000 }; // whole call, connecting included
  bool mResend = true;     // HttpPool: may it go out a second time?
  size_t mReplyLimit = 8 * 1024 * 1024; // bytes of answer body
};

// How far a call got. The line between NotSent and Lost decides whether a
// refusal may say "not run": NotSent is claimed only while no byte of the
// request has been offered to a socket.
enum class HttpStage
{
  NotSent,  // no connection came about
  Lost,     // offered, and no whole answer came back
  Answered, // whole answer, its length checked
};

struct HttpReply
{
  HttpStage mStage = HttpStage::NotSent;
  int mStatus = 0;
  std::map<std::string, std::string> mHeaders; // names in lower case
  std::string mBody;
  std::string mError; // why not Answered

  std::string Header(const std::string& aName) const;
  bool Ok() const
  {
    return mStage == HttpStage::Answered && mStatus / 100 == 2;
  }
};

// A new connection for this one call, closed after it. For orders that must
// not be repeated: a kept-alive connection that the other side has closed
// would leave it unknown whether the order was read.
HttpReply
HttpCallOnce(const HttpCall& aCall);

} // namespace caraway

#endif
