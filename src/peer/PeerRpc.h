// PeerRpc.h: JSON-RPC between instances, with the library hidden.
//
// libjsonrpccpp's headers don't compile as C++17. Only PeerRpc.cpp includes
// them, and it alone is built as C++14, so this header must stay valid C++14.
#ifndef caraway_peer_PeerRpc_h
#define caraway_peer_PeerRpc_h

#include <functional>
#include <json/json.h>
#include <memory>
#include <string>
#include <vector>

namespace caraway {

// Maps a method's parameters to its result. Throws std::exception to answer
// with an error.
using PeerMethod = std::function<Json::Value(const Json::Value&)>;

// Server side: takes the text of a request and returns the text of its answer.
class PeerRpcServer
{
public:
  PeerRpcServer();
  ~PeerRpcServer();
  void Add(const std::string& aName, PeerMethod aMethod);
  std::string Answer(const std::string& aRequest);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

// Sends a request's text and returns the answer's text; throws
// std::runtime_error.
using PeerSend = std::function<std::string(const std::string&)>;

// Client side. Throws std::runtime_error if no answer came or the answer is an
// error.
Json::Value
PeerRpcCall(const PeerSend& aSend,
            const std::string& aMethod,
            const Json::Value& aParams);

} // namespace caraway

#endif
