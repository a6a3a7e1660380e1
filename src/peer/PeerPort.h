// PeerPort.h: the port other instances call.
#ifndef caraway_peer_PeerPort_h
#define caraway_peer_PeerPort_h

#include <atomic>
#include <memory>
#include <string>

#include "net/HttpPort.h"
#include "peer/PeerRpc.h"

namespace caraway {

// Open only to holders of the fleet's secret. Bound first, since our address
// is part of our name; calls are turned away until Serve.
class PeerPort
{
public:
  explicit PeerPort(const std::string& aSecret);

  void Open(const std::string& aListen, int aThreads);
  void Add(const std::string& aName, PeerMethod aMethod); // before Serve
  void Serve() { mServing = true; }
  std::string Address() const { return mPort->Address(); }
  void Close(Millis aWithin);

private:
  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse);

  std::string mSecretDigest;
  PeerRpcServer mRpc;
  std::atomic<bool> mServing{ false };
  std::unique_ptr<HttpPort> mPort;
};

} // namespace caraway

#endif
