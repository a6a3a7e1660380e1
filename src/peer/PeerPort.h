// PeerPort.h: the port for calls from other instances.
#ifndef caraway_peer_PeerPort_h
#define caraway_peer_PeerPort_h

#include <atomic>
#include <memory>
#include <string>

#include "net/HttpPort.h"
#include "peer/PeerRpc.h"

namespace caraway {

// Requires the fleet's shared secret. Opened before anything else is built,
// since the bound address is part of the incarnation's name; calls are refused
// until Serve().
class PeerPort
{
public:
  explicit PeerPort(const std::string& aSecret);

  void Open(const std::string& aListen, const HttpPortLimits& aLimits);
  void Add(const std::string& aName, PeerMethod aMethod); // before Serve()
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
