// caraway-standin: stand-ins for platform, engine, service and weight store,
// and a fault proxy.
#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

#include <Poco/URI.h>

#include "base/JsonText.h"
#include "standin/StandIn.h"

DEFINE_string(listen, "127.0.0.1:0", "ip:port; port 0 selects a free port");

namespace caraway {

Json::Value
StandInBody(StandInRequest& aRequest)
{
  std::string text(std::istreambuf_iterator<char>(aRequest.stream()), {});
  return JsonParseOrEmpty(text);
}

void
StandInSend(StandInResponse& aResponse, int aStatus, const Json::Value& aJson)
{
  std::string text = JsonWrite(aJson);
  aResponse.setStatus(
    static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aStatus));
  aResponse.setContentType("application/json");
  if (aStatus == Poco::Net::HTTPResponse::HTTP_NO_CONTENT) {
    // A body after status 204 would be parsed as the start of the next answer.
    aResponse.setContentLength(0);
    aResponse.send();
    return;
  }
  aResponse.sendBuffer(text.data(), text.size());
}

std::string
StandInQuery(const std::string& aUri,
             const std::string& aName,
             const std::string& aDefault)
{
  for (const auto& entry : Poco::URI(aUri).getQueryParameters()) {
    if (entry.first == aName) {
      return entry.second;
    }
  }
  return aDefault;
}

HttpPortLimits
StandInLimits()
{
  HttpPortLimits limits;
  limits.mThreads = 1000;
  limits.mWaiting = 1000;
  limits.mIdle = Seconds(300);
  limits.mTransfer = Seconds(60);
  return limits;
}

void
StandInServe(const Json::Value& aAddresses)
{
  std::printf("%s\n", JsonWrite(aAddresses).c_str());
  std::fflush(stdout);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
  // There is no state to save, and connections end with the process.
  std::_Exit(0);
}

} // namespace caraway

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::string kind = aCount > 1 ? aArguments[1] : "";
  if (kind == "platform") {
    return caraway::RunPlatform();
  }
  if (kind == "engine") {
    return caraway::RunEngine();
  }
  if (kind == "service") {
    return caraway::RunService();
  }
  if (kind == "store") {
    return caraway::RunStore();
  }
  if (kind == "proxy") {
    return caraway::RunProxy();
  }
  std::fprintf(stderr,
               "usage: caraway-standin platform|engine|service|store|proxy\n");
  return 2;
}
