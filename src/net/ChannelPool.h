// ChannelPool.h: idle connections to servers, kept for the next request.
#ifndef caraway_net_ChannelPool_h
#define caraway_net_ChannelPool_h

#include <map>
#include <string>
#include <vector>

#include "net/Channel.h"

namespace caraway {

class ChannelPool
{
public:
  explicit ChannelPool(Reactor& aReactor);

  // A connection to aAddress that aPeer (the server's identity) answered on
  // last, idle for less than aIdle and less than aShare of the time that the
  // server keeps it; null when there is none.
  std::shared_ptr<Channel> Take(const std::string& aAddress,
                                const std::string& aPeer,
                                double aMaxShare);
  // aKept: how long the server said that it keeps idle connections.
  void Keep(const std::string& aAddress,
            const std::string& aPeer,
            std::shared_ptr<Channel> aChannel,
            Millis aIdleTimeout);
  // Closes what is idle for longer than its server keeps it.
  void Sweep();
  // Closes all that is idle to aPeer.
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
  std::map<Key, std::vector<IdleChannel>> mIdle;
};

} // namespace caraway

#endif
