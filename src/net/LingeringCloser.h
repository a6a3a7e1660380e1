// LingeringCloser.h: closes connections whose last answer is on its way.
#ifndef caraway_net_LingeringCloser_h
#define caraway_net_LingeringCloser_h

#include <Poco/Net/StreamSocket.h>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace caraway {

// Closed with bytes unread, a connection is reset, and the reset overtakes the
// answer. Each is told that nothing more comes, and read until its caller has
// closed it too or the time is over.
class LingeringCloser
{
public:
  LingeringCloser();
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
  // Whether it was woken.
  bool DiscardInput(std::vector<ClosingSocket>& aClosing) const;

  int mWake; // something was taken, or the end
  mutable std::mutex mLock;
  std::vector<ClosingSocket> mTaken;
  size_t mOpenCount = 0; // taken and not yet closed
  bool mStopping = false;
  std::thread mThread;
};

} // namespace caraway

#endif
