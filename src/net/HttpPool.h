// HttpPool.h: client connection pool for calls that may be repeated.
#ifndef caraway_net_HttpPool_h
#define caraway_net_HttpPool_h

#include <Poco/Net/HTTPClientSession.h>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "net/HttpCall.h"

namespace caraway {

// Idle connections by address. A connection whose answer was not read
// completely is closed: the next call on it would get the rest of that answer.
class HttpPool
{
public:
  explicit HttpPool(size_t aIdlePerAddress = 8);

  // Retries once on a new connection if a pooled one breaks before any byte of
  // an answer, or brings another call's; the call may arrive twice. A call
  // without mResend gets a new connection from the start.
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
