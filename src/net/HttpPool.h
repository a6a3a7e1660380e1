// HttpPool.h: kept-alive connections, for calls that may be repeated.
#ifndef caraway_net_HttpPool_h
#define caraway_net_HttpPool_h

#include <Poco/Net/HTTPClientSession.h>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "net/HttpCall.h"

namespace caraway {

// Idle connections by address. A connection whose answer was not read whole
// is closed, never put back: the next call on it would be given the rest of
// somebody else's answer.
class HttpPool
{
public:
  explicit HttpPool(size_t aIdlePerAddress = 8);

  // One new try on a fresh connection when a kept one turns out closed before
  // any byte of answer came: the call may arrive twice. A call with mResend
  // off is given a fresh connection from the start.
  HttpReply Call(const HttpCall& aCall);

private:
  using SessionPtr = std::unique_ptr<Poco::Net::HTTPClientSession>;

  SessionPtr Take(const std::string& aAddress);
  HttpReply CallOnNewSession(const HttpCall& aCall);
  void Put(const std::string& aAddress, SessionPtr aSession);

  size_t mIdlePerAddress;
  std::mutex mLock;
  std::map<std::string, std::vector<SessionPtr>> mIdle;
};

} // namespace caraway

#endif
