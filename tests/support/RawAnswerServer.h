// RawAnswerServer.h: a server that answers with given bytes, which need not be
// an answer, and ends the connection in a given way.
#ifndef caraway_tests_RawAnswerServer_h
#define caraway_tests_RawAnswerServer_h

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "caraway/Time.h"
#include "net/HttpHead.h"

namespace caraway {

enum class RawEnd
{
  KeepsOpen,           // until the client closes
  Reset,               // at once
  HalfCloseThenReset,  // an orderly end, and a reset after the pause
  HalfCloseThenUnread, // the same by a close with bytes of the request unread
  HalfCloseThenRead,   // an orderly end; the rest of the request is read
  ReadThenClose,       // the rest of the request is read before the orderly end
};

struct RawAnswer
{
  std::string mBytes;    // "{id}" in them is the request's id
  size_t mReadFirst = 0; // bytes of the request's body, before the answer
  Millis mPause{ 0 };    // between the answer and a reset
  RawEnd mEnd = RawEnd::KeepsOpen;
};

class RawAnswerServer
{
public:
  // Requests with a body of fewer than aSoundBelow bytes get a sound answer.
  explicit RawAnswerServer(RawAnswer aAnswer = RawAnswer(),
                           size_t aSoundBelow = 0);
  ~RawAnswerServer();
  std::string Address() const { return mServer.address().toString(); }

  void SetAnswer(RawAnswer aAnswer);
  void SetSoundBelow(size_t aBytes) { mSoundBelow = aBytes; }
  // Requests that got the raw answer.
  int RawAnswers() const { return mRawAnswers; }

private:
  void Run();
  void Serve(Poco::Net::StreamSocket aSocket);
  bool Receive(Poco::Net::StreamSocket& aSocket, std::string& aInput);
  bool ReadHead(Poco::Net::StreamSocket& aSocket,
                std::string& aInput,
                HttpHead& aHead);
  bool ReadBody(Poco::Net::StreamSocket& aSocket,
                std::string& aInput,
                size_t& aLeft,
                size_t aBytes);
  void End(Poco::Net::StreamSocket& aSocket,
           const RawAnswer& aAnswer,
           std::string& aInput,
           size_t aLeft);

  std::mutex mLock;
  RawAnswer mAnswer;
  std::atomic<size_t> mSoundBelow;
  Poco::Net::ServerSocket mServer;
  std::atomic<bool> mStopping{ false };
  std::atomic<int> mRawAnswers{ 0 };
  std::vector<std::thread> mConnections;
  std::thread mThread;
};

// An answer as servers of the platform give it: their seal, the request's id,
// aFraming (whole lines) and aBody.
std::string
SealedAnswer(const std::string& aFraming, const std::string& aBody);

} // namespace caraway

#endif
