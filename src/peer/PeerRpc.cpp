#include "peer/PeerRpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <map>
#include <stdexcept>

namespace caraway {

namespace {

// Passes request and answer as texts, since POCO serves the port.
class TextConnector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void* aInto) override
  {
    *static_cast<std::string*>(aInto) = aResponse;
    return true;
  }
};

class MethodServer : public jsonrpc::AbstractServer<MethodServer>
{
public:
  explicit MethodServer(TextConnector& aConnector)
    : jsonrpc::AbstractServer<MethodServer>(aConnector)
  {
  }

  void Add(const std::string& aName, PeerMethod aMethod)
  {
    mMethods[aName] = std::move(aMethod);
    jsonrpc::Procedure procedure(
      aName, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr);
    // The member pointer is never called: HandleMethodCall looks the method up
    // in mMethods.
    bindAndAddMethod(procedure, nullptr);
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    try {
      aOutput = mMethods.at(aProcedure.GetProcedureName())(aInput);
    } catch (const std::exception& error) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                      error.what());
    }
  }

private:
  std::map<std::string, PeerMethod> mMethods;
};

class SendConnector : public jsonrpc::IClientConnector
{
public:
  explicit SendConnector(const PeerSend& aSend)
    : mSend(aSend)
  {
  }

  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    try {
      aResult = mSend(aMessage);
    } catch (const std::exception& error) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      error.what());
    }
  }

private:
  const PeerSend& mSend;
};

} // namespace

struct PeerRpcServer::Impl
{
  TextConnector mConnector;
  MethodServer mServer{ mConnector };
};

PeerRpcServer::PeerRpcServer()
  : mImpl(new Impl)
{
}

PeerRpcServer::~PeerRpcServer() = default;

void
PeerRpcServer::Add(const std::string& aName, PeerMethod aMethod)
{
  mImpl->mServer.Add(aName, std::move(aMethod));
}

std::string
PeerRpcServer::Answer(const std::string& aRequest)
{
  std::string answer;
  mImpl->mConnector.OnRequest(aRequest, &answer);
  return answer;
}

Json::Value
PeerRpcCall(const PeerSend& aSend,
            const std::string& aMethod,
            const Json::Value& aParams)
{
  SendConnector connector(aSend);
  jsonrpc::Client client(connector);
  try {
    return client.CallMethod(aMethod, aParams);
  } catch (const jsonrpc::JsonRpcException& error) {
    throw std::runtime_error(error.GetMessage());
  }
}

} // namespace caraway
