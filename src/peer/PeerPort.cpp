#include "peer/PeerPort.h"

#include "base/Digest.h"

namespace caraway {

namespace {

constexpr size_t kBodyLimit = 4 * 1024 * 1024;
constexpr Millis kBodyTimeout{ 2000 };
const std::string kBearer = "Bearer ";

} // namespace

PeerPort::PeerPort(const std::string& aSecret)
  : mSecretDigest(DigestHex(kBearer + aSecret))
{
}

void
PeerPort::Add(const std::string& aName, PeerMethod aMethod)
{
  mRpc.Add(aName, std::move(aMethod));
}

void
PeerPort::Open(const std::string& aListen, const HttpPortLimits& aLimits)
{
  HttpPortLimits limits = aLimits;
  limits.mIdle = Seconds(60);
  mPort = std::make_unique<HttpPort>(
    aListen, limits, [this](auto& aRequest, auto& aResponse) {
      Handle(aRequest, aResponse);
    });
}

void
PeerPort::Close(Millis aWithin)
{
  mPort->End(aWithin);
}

void
PeerPort::Handle(Poco::Net::HTTPServerRequest& aRequest,
                 Poco::Net::HTTPServerResponse& aResponse)
{
  using Poco::Net::HTTPResponse;
  if (!mServing) {
    aResponse.setKeepAlive(false);
    aResponse.setStatusAndReason(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    aResponse.setContentLength(0);
    aResponse.send();
    return;
  }
  std::string presented = aRequest.get("Authorization", "");
  if (!DigestEqual(DigestHex(presented), mSecretDigest)) {
    aResponse.setKeepAlive(false);
    aResponse.setStatusAndReason(HTTPResponse::HTTP_UNAUTHORIZED);
    aResponse.setContentLength(0);
    aResponse.send();
    return;
  }
  auto body =
    Outcome([&] { return HttpReadBody(aRequest, kBodyLimit, kBodyTimeout); });
  if (auto* failure = std::get_if<Failure>(&body)) {
    aResponse.setKeepAlive(false);
    aResponse.setStatus(static_cast<HTTPResponse::HTTPStatus>(
      ErrorAnswerOf(failure->mKind).mStatus));
    aResponse.setContentLength(0);
    aResponse.send();
    return;
  }
  std::string answer = mRpc.Answer(std::get<std::string>(body));
  aResponse.setContentType("application/json");
  aResponse.sendBuffer(answer.data(), answer.size());
}

} // namespace caraway
