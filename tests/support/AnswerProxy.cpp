#include "support/AnswerProxy.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <utility>

#include "net/HttpHead.h"
#include "platform/WireNames.h"
#include "support/BrokenHeads.h"

namespace caraway {

namespace {

constexpr int kReceiveBytes = 65536;

} // namespace

// One connection of a client and the one to the server that belongs to it.
struct AnswerProxy::Link
{
  std::shared_ptr<Channel> mClient;
  std::shared_ptr<Channel> mServer;
  std::string mSecond; // see AnswerFault::Doubled
  bool mHolding = false;
  bool mUsed = false; // a request has been answered on it
};

class AnswerProxy::Listener
  : public SocketHandler
  , public std::enable_shared_from_this<Listener>
{
public:
  explicit Listener(AnswerProxy& aProxy)
    : mProxy(aProxy)
  {
    mSocket.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true);
    // Small, so that an upload that isn't read is still being written.
    mSocket.setReceiveBufferSize(kReceiveBytes);
    mSocket.listen(64);
    mSocket.setBlocking(false);
  }
  void OnReadable() override
  {
    try {
      mProxy.OnConnection(mSocket.acceptConnection());
    } catch (const Poco::Exception&) {
      return; // closed before it was accepted
    }
  }

  AnswerProxy& mProxy;
  Poco::Net::ServerSocket mSocket;
};

namespace {

constexpr Millis kConnectLimit{ 700 };

// From the part of an answer to the reset.
constexpr Millis kPartBeforeReset{ 5 };

constexpr int kPromises[] = { 408, 421, 429, 503 };

std::string
WithoutFields(const std::string& aHead, const std::vector<const char*>& aNames)
{
  HttpHead head;
  size_t used = 0;
  ReadAnswerHead(aHead, head, used);
  std::vector<HttpField> kept;
  for (const HttpField& field : head.mFields) {
    bool dropped = false;
    for (const char* name : aNames) {
      dropped = dropped || EqualsIgnoreCase(field.mName, name);
    }
    if (!dropped) {
      kept.push_back(field);
    }
  }
  return WriteHead(aHead.substr(0, aHead.find("\r\n")), kept);
}

} // namespace

AnswerProxy::AnswerProxy(Reactor& aReactor, std::string aServer, unsigned aSeed)
  : mReactor(aReactor)
  , mServer(std::move(aServer))
  , mRandom(aSeed)
  , mListener(std::make_shared<Listener>(*this))
{
  mReactor.Watch(mListener->mSocket, mListener);
}

AnswerProxy::~AnswerProxy()
{
  mReactor.Unwatch(mListener->mSocket);
}

std::string
AnswerProxy::Address() const
{
  return mListener->mSocket.address().toString();
}

AnswerFault
AnswerProxy::Draw()
{
  std::uniform_real_distribution<double> share(0, 1);
  if (mFaults.mKinds.empty() || share(mRandom) >= mFaults.mShare) {
    return AnswerFault::None;
  }
  std::uniform_int_distribution<size_t> kind(0, mFaults.mKinds.size() - 1);
  return mFaults.mKinds[kind(mRandom)];
}

void
AnswerProxy::OnConnection(const Poco::Net::StreamSocket& aSocket)
{
  auto link = std::make_shared<Link>();
  link->mClient = Channel::Accepted(mReactor, aSocket);
  link->mServer = Channel::Connect(mReactor, mServer, kConnectLimit);
  Channel::Events client;
  client.mData = [this, link] { OnRequestBytes(link); };
  client.mEnd = [link](ChannelCloseReason aReason) {
    aReason == ChannelCloseReason::Failed ? link->mServer->Reset()
                                          : link->mServer->Close();
  };
  link->mClient->SetEvents(std::move(client));
  Channel::Events server;
  server.mData = [this, link] { OnAnswerBytes(link); };
  server.mEnd = [link](ChannelCloseReason aReason) {
    if (!link->mHolding) {
      aReason == ChannelCloseReason::Failed ? link->mClient->Reset()
                                            : link->mClient->Finish();
    }
  };
  link->mServer->SetEvents(std::move(server));
}

void
AnswerProxy::Close(const std::shared_ptr<Link>& aLink)
{
  aLink->mServer->Close();
  aLink->mClient->Finish();
}

void
AnswerProxy::OnRequestBytes(const std::shared_ptr<Link>& aLink)
{
  std::string bytes = std::move(aLink->mClient->Input());
  aLink->mClient->Input().clear();
  aLink->mClient->Write(std::exchange(aLink->mSecond, ""));
  bool timeouts =
    !mFaults.mKinds.empty() && mFaults.mKinds.front() == AnswerFault::TimedOut;
  if (timeouts && aLink->mUsed && Draw() == AnswerFault::TimedOut) {
    ++mFaulty;
    aLink->mClient->Write("HTTP/1.1 408 Request Timeout\r\n"
                          "Connection: close\r\nContent-Length: 0\r\n\r\n");
    Close(aLink);
    return;
  }
  if (!ResetsUpload(aLink, bytes)) {
    aLink->mServer->Write(bytes);
  }
}

// aBytes: the first that came of a request, if it is an upload.
bool
AnswerProxy::ResetsUpload(const std::shared_ptr<Link>& aLink,
                          const std::string& aBytes)
{
  HttpHead head;
  size_t used = 0;
  bool upload = ReadRequestHead(aBytes, head, used) == HeadState::Complete &&
                head.mLength > aBytes.size() - used &&
                head.Find(wire::kRequestId);
  bool resets = std::count(mFaults.mKinds.begin(),
                           mFaults.mKinds.end(),
                           AnswerFault::ResetUnderUpload) > 0;
  if (!upload || !resets || Draw() != AnswerFault::ResetUnderUpload) {
    return false;
  }
  ++mFaulty;
  aLink->mServer->Reset();
  aLink->mClient->SetReading(false); // the upload is still being written
  aLink->mClient->Write(
    WriteHead("HTTP/1.1 200 OK",
              { { wire::kRequestId, *head.Find(wire::kRequestId) },
                { wire::kSeal, "seal" } }) +
    "a part of a body");
  mReactor.After(kPartBeforeReset, [aLink] { aLink->mClient->Reset(); });
  return true;
}

void
AnswerProxy::OnAnswerBytes(const std::shared_ptr<Link>& aLink)
{
  std::string& input = aLink->mServer->Input();
  HttpHead head;
  size_t used = 0;
  while (aLink->mServer->Open() &&
         ReadAnswerHead(input, head, used) == HeadState::Complete) {
    bool whole = head.mFraming == BodyFraming::Length;
    if (!whole || !head.Find(wire::kRequestId)) {
      aLink->mClient->Write(input);
      input.clear();
      return;
    }
    if (input.size() < used + head.mLength) {
      return;
    }
    std::string headText = input.substr(0, used);
    std::string body = input.substr(used, head.mLength);
    input.erase(0, used + head.mLength);
    aLink->mUsed = true;
    AnswerFault fault = Draw();
    bool counts = fault != AnswerFault::None &&
                  fault != AnswerFault::TimedOut &&
                  fault != AnswerFault::ResetUnderUpload;
    mFaulty += counts ? 1 : 0;
    Deliver(aLink, fault, headText, body);
  }
}

void
AnswerProxy::Deliver(const std::shared_ptr<Link>& aLink,
                     AnswerFault aFault,
                     const std::string& aHead,
                     const std::string& aBody)
{
  Channel& client = *aLink->mClient;
  auto draw = [this](size_t aMost) {
    return std::uniform_int_distribution<size_t>(0, aMost)(mRandom);
  };
  switch (aFault) {
    case AnswerFault::None:
    case AnswerFault::TimedOut:
    case AnswerFault::ResetUnderUpload:
      client.Write(aHead + aBody);
      break;
    case AnswerFault::Doubled:
      client.Write(aHead + aBody);
      aLink->mSecond = aHead + aBody;
      break;
    case AnswerFault::Late: {
      aLink->mHolding = true;
      auto most = static_cast<size_t>(mFaults.mLongest.count());
      Millis delay(static_cast<int64_t>(draw(most)));
      mReactor.After(delay, [aLink, text = aHead + aBody] {
        aLink->mHolding = false;
        aLink->mClient->Write(text);
        if (!aLink->mServer->Open()) {
          aLink->mClient->Finish();
        }
      });
      break;
    }
    case AnswerFault::CutInHead:
      client.Write(aHead.substr(0, draw(aHead.size() - 1)));
      Close(aLink);
      break;
    case AnswerFault::CutInBody:
      client.Write(aHead + aBody.substr(0, aBody.size() / 2));
      Close(aLink);
      break;
    case AnswerFault::BrokenHead: {
      const std::vector<BrokenHead> heads = BrokenHeads();
      size_t fields = aHead.find("\r\n") + 2;
      std::string own = WithoutFields(aHead, { "Content-Length" });
      client.Write(BrokenAnswer(heads[draw(heads.size() - 1)],
                                own.substr(fields, own.size() - fields - 2),
                                aBody));
      break;
    }
    case AnswerFault::Shortened: {
      std::string part = aBody.substr(0, aBody.size() / 2);
      std::string head = WithoutFields(aHead, { "Content-Length" });
      head.insert(head.size() - 2,
                  "Content-Length: " + std::to_string(part.size()) + "\r\n");
      client.Write(head + part);
      break;
    }
    case AnswerFault::Reset:
      aLink->mServer->Reset();
      client.Reset();
      break;
    case AnswerFault::Unmarked:
      client.Write(WithoutFields(aHead, { wire::kNotRun, wire::kSeal }) +
                   aBody);
      break;
    case AnswerFault::WithoutId:
      client.Write(WithoutFields(aHead, { wire::kRequestId }) + aBody);
      break;
    case AnswerFault::Replaced: {
      int status = kPromises[draw(std::size(kPromises) - 1)];
      std::vector<HttpField> fields = { { "Content-Length", "0" } };
      HttpHead head;
      size_t used = 0;
      ReadAnswerHead(aHead, head, used);
      if (draw(1) == 0) {
        fields.push_back({ wire::kRequestId, *head.Find(wire::kRequestId) });
      }
      client.Write(
        WriteHead("HTTP/1.1 " + std::to_string(status) + " Status", fields));
      break;
    }
  }
}

} // namespace caraway
