// PeerClient.h: RPC client for calls to other instances.
#ifndef caraway_peer_PeerClient_h
#define caraway_peer_PeerClient_h

#include <atomic>
#include <json/json.h>
#include <string>

#include "caraway/Result.h"
#include "net/HttpPool.h"

namespace caraway {

struct PeerCounts
{
  std::atomic<int64_t> mCalls{ 0 };
  std::atomic<int64_t> mFailures{ 0 };
  std::atomic<int64_t> mBytesOut{ 0 }; // bodies; headers add a constant
  std::atomic<int64_t> mBytesIn{ 0 };
};

class PeerClient
{
public:
  // aFrom: zone and id of this instance, sent with each call for diagnosis by
  // the peers' operators.
  PeerClient(std::string aSecret, std::string aFrom);

  // NoEndpoint if the peer can't be reached or doesn't answer. aResend: the
  // method may safely arrive twice.
  Result<Json::Value> Call(const std::string& aAddress,
                           const std::string& aMethod,
                           const Json::Value& aParams,
                           Millis aWithin,
                           bool aResend = true);

  const PeerCounts& Counts() const { return mCounts; }

private:
  std::string mSecret;
  std::string mFrom;
  HttpPool mPool;
  PeerCounts mCounts;
};

} // namespace caraway

#endif
