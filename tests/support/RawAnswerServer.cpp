#include "support/RawAnswerServer.h"

#include <Poco/Exception.h>
#include <algorithm>

#include "platform/WireNames.h"

namespace caraway {

namespace {

const Poco::Timespan kPollTime(0, 20000);
constexpr size_t kReadBytes = 65536;

// Small and fixed, so that an upload that isn't read is still being written.
constexpr int kReceiveBufferBytes = 65536;
const std::string kIdMark = "{id}";

std::string
WithId(std::string aText, const std::string& aId)
{
  size_t at = aText.find(kIdMark);
  return at == std::string::npos ? aText
                                 : aText.replace(at, kIdMark.size(), aId);
}

} // namespace

std::string
SealedAnswer(const std::string& aFraming, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + std::string(wire::kRequestId) + ": " +
         kIdMark + "\r\n" + wire::kSeal + ": seal\r\n" + aFraming + "\r\n" +
         aBody;
}

RawAnswerServer::RawAnswerServer(RawAnswer aAnswer, size_t aSoundBelow)
  : mAnswer(std::move(aAnswer))
  , mSoundBelow(aSoundBelow)
  , mServer(Poco::Net::SocketAddress("127.0.0.1", 0))
{
  mServer.setReceiveBufferSize(kReceiveBufferBytes);
  mThread = std::thread([this] { Run(); });
}

RawAnswerServer::~RawAnswerServer()
{
  mStopping = true;
  mThread.join();
  for (std::thread& connection : mConnections) {
    connection.join();
  }
}

void
RawAnswerServer::SetAnswer(RawAnswer aAnswer)
{
  std::lock_guard<std::mutex> lock(mLock);
  mAnswer = std::move(aAnswer);
}

void
RawAnswerServer::Run()
{
  while (!mStopping) {
    if (mServer.poll(kPollTime, Poco::Net::Socket::SELECT_READ)) {
      mConnections.emplace_back(
        [this, socket = mServer.acceptConnection()] { Serve(socket); });
    }
  }
}

// Returns false if the client has closed, or the server stops.
bool
RawAnswerServer::Receive(Poco::Net::StreamSocket& aSocket, std::string& aInput)
{
  while (!aSocket.poll(kPollTime, Poco::Net::Socket::SELECT_READ)) {
    if (mStopping) {
      return false;
    }
  }
  std::string bytes(kReadBytes, '\0');
  int count = aSocket.receiveBytes(bytes.data(), static_cast<int>(kReadBytes));
  aInput.append(bytes, 0, static_cast<size_t>(std::max(count, 0)));
  return count > 0;
}

bool
RawAnswerServer::ReadHead(Poco::Net::StreamSocket& aSocket,
                          std::string& aInput,
                          HttpHead& aHead)
{
  size_t used = 0;
  HeadState state = ReadRequestHead(aInput, aHead, used);
  while (state == HeadState::Partial && Receive(aSocket, aInput)) {
    state = ReadRequestHead(aInput, aHead, used);
  }
  aInput.erase(0, used);
  return state == HeadState::Complete;
}

// Reads aBytes of the body, of which aLeft are left, or all if there are fewer.
bool
RawAnswerServer::ReadBody(Poco::Net::StreamSocket& aSocket,
                          std::string& aInput,
                          size_t& aLeft,
                          size_t aBytes)
{
  size_t wanted = std::min(aLeft, aBytes);
  while (wanted > 0) {
    if (aInput.empty() && !Receive(aSocket, aInput)) {
      return false;
    }
    size_t count = std::min(wanted, aInput.size());
    aInput.erase(0, count);
    wanted -= count;
    aLeft -= count;
  }
  return true;
}

void
RawAnswerServer::Serve(Poco::Net::StreamSocket aSocket)
{
  std::string input;
  HttpHead head;
  try {
    while (ReadHead(aSocket, input, head)) {
      const std::string* field = head.Find(wire::kRequestId);
      std::string id = field ? *field : "";
      size_t left = head.mLength;
      RawAnswer answer;
      {
        std::lock_guard<std::mutex> lock(mLock);
        answer = mAnswer;
      }
      bool sound = left < mSoundBelow;
      if (sound) {
        answer.mBytes = SealedAnswer("Content-Length: 5\r\n", "sound");
        answer.mReadFirst = SIZE_MAX;
      }
      mRawAnswers += sound ? 0 : 1;
      if (!ReadBody(aSocket, input, left, answer.mReadFirst)) {
        return;
      }
      std::string text = WithId(answer.mBytes, id);
      aSocket.sendBytes(text.data(), static_cast<int>(text.size()));
      if (!sound && answer.mEnd != RawEnd::KeepsOpen) {
        End(aSocket, answer, input, left);
        return;
      }
    }
  } catch (const Poco::Exception&) {
    return; // the client has reset the connection
  }
}

void
RawAnswerServer::End(Poco::Net::StreamSocket& aSocket,
                     const RawAnswer& aAnswer,
                     std::string& aInput,
                     size_t aLeft)
{
  bool halfCloses = aAnswer.mEnd == RawEnd::HalfCloseThenReset ||
                    aAnswer.mEnd == RawEnd::HalfCloseThenUnread ||
                    aAnswer.mEnd == RawEnd::HalfCloseThenRead;
  if (halfCloses) {
    aSocket.shutdownSend();
  }
  if (aAnswer.mEnd == RawEnd::HalfCloseThenRead ||
      aAnswer.mEnd == RawEnd::ReadThenClose) {
    ReadBody(aSocket, aInput, aLeft, SIZE_MAX);
  } else {
    std::this_thread::sleep_for(aAnswer.mPause);
  }
  if (aAnswer.mEnd == RawEnd::Reset ||
      aAnswer.mEnd == RawEnd::HalfCloseThenReset) {
    aSocket.setLinger(true, 0);
  }
  aSocket.close();
}

} // namespace caraway
