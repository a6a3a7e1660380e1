// LingeringCloser.h: closes connections after their last answer.
#ifndef caraway_net_LingeringCloser_h
#define caraway_net_LingeringCloser_h

#include <Poco/Net/StreamSocket.h>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

#include "net/WakeEvent.h"

namespace caraway {

// Closing a connection with unread input resets it, and the reset can overtake
// the answer. The sending side is shut down instead, and input is discarded
// until the caller has closed too or the linger time is over.
class LingeringCloser
{
public:
  // aMostOpen: limit of the sockets; more are closed at once.
  explicit LingeringCloser(size_t aMostOpen);
  ~LingeringCloser();
  LingeringCloser(const LingeringCloser&) = delete;
  LingeringCloser& operator=(const LingeringCloser&) = delete;

  void Take(const Poco::Net::StreamSocket& aSocket);
  bool Empty() const;

private:
  struct ClosingSocket
  {
    Poco::Net::StreamSocket mSocket;
    std::chrono::steady_clock::time_point mUntil;
  };

  void Run();
  // Returns whether the wake descriptor was signalled.
  bool DiscardInput(std::vector<ClosingSocket>& aClosing) const;

  const size_t mMostOpen;
  WakeEvent mWake; // a socket was taken, or stop
  mutable std::mutex mLock;
  std::vector<ClosingSocket> mTaken;
  size_t mOpenCount = 0; // sockets taken and not yet closed
  bool mStopping = false;
  std::thread mThread;
};

} // namespace caraway

#endif
