// ChannelPool.h: idle connections to servers, kept for later requests.
#ifndef caraway_net_ChannelPool_h
#define caraway_net_ChannelPool_h

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/Channel.h"

namespace caraway {

class EventLog;

class ChannelPool
{
public:
  explicit ChannelPool(Reactor& aReactor);
  // Answers that are rejected are logged there.
  void SetLog(EventLog& aLog) { mLog = &aLog; }
  void LogRejected(const std::string& aAddress,
                   const std::string& aPeer,
                   const char* aWrong) const;

  // Returns a connection to aAddress whose last answer came from aPeer (the
  // server's identity), which has been idle for less than aMaxShare of the
  // server's idle timeout and may carry aNext; null if there is none.
  std::shared_ptr<Channel> Take(const std::string& aAddress,
                                const std::string& aPeer,
                                double aMaxShare,
                                const RequestIdentity& aNext);
  // aIdleTimeout: how long the server keeps idle connections, by its own
  // answer. Closes one that no other request may use.
  void Keep(const std::string& aAddress,
            const std::string& aPeer,
            std::shared_ptr<Channel> aChannel,
            Millis aIdleTimeout);
  // Closes connections that have been idle for longer than their server's
  // timeout.
  void Sweep();
  // Closes all idle connections to aPeer.
  void Drop(const std::string& aAddress, const std::string& aPeer);

private:
  struct IdleChannel
  {
    std::shared_ptr<Channel> mChannel;
    TimePoint mSince;
    Millis mIdleTimeout;
  };
  using Key = std::pair<std::string, std::string>;

  Reactor& mReactor;
  EventLog* mLog = nullptr;
  std::map<Key, std::vector<IdleChannel>> mIdle;
};

} // namespace caraway

#endif
