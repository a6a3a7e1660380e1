#include "net/LingeringCloser.h"

#include <algorithm>
#include <poll.h>

#include <Poco/Exception.h>

#include "caraway/Time.h"

namespace caraway {

namespace {

constexpr Millis kLinger{ 1000 };
constexpr Millis kPollInterval{ 100 };

using SteadyClock = std::chrono::steady_clock;

// Returns false if the caller has closed the connection.
bool
Discard(Poco::Net::StreamSocket& aSocket)
{
  char buffer[16 * 1024];
  try {
    return aSocket.receiveBytes(buffer, sizeof buffer) > 0;
  } catch (const Poco::Exception&) {
    return false;
  }
}

} // namespace

LingeringCloser::LingeringCloser(size_t aMostOpen)
  : mMostOpen(aMostOpen)
{
  mThread = std::thread([this] { Run(); });
}

LingeringCloser::~LingeringCloser()
{
  {
    std::lock_guard<std::mutex> lock(mLock);
    mStopping = true;
  }
  mWake.Signal();
  mThread.join();
}

void
LingeringCloser::Take(const Poco::Net::StreamSocket& aSocket)
{
  ClosingSocket closing{ aSocket, SteadyClock::now() + kLinger };
  try {
    closing.mSocket.shutdownSend();
  } catch (const Poco::Exception&) {
    return; // the caller has closed the connection
  }
  {
    std::lock_guard<std::mutex> lock(mLock);
    if (mOpenCount >= mMostOpen) {
      return;
    }
    ++mOpenCount;
    mTaken.push_back(closing);
  }
  mWake.Signal();
}

bool
LingeringCloser::Empty() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mOpenCount == 0;
}

bool
LingeringCloser::DiscardInput(std::vector<ClosingSocket>& aClosing) const
{
  std::vector<pollfd> fds;
  fds.push_back({ mWake.Descriptor(), POLLIN, 0 });
  for (const ClosingSocket& closing : aClosing) {
    fds.push_back({ closing.mSocket.impl()->sockfd(), POLLIN, 0 });
  }
  int wait = aClosing.empty() ? -1 : static_cast<int>(kPollInterval.count());
  poll(fds.data(), fds.size(), wait);
  auto now = SteadyClock::now();
  size_t at = 0;
  auto finished = [&](ClosingSocket& aOne) {
    bool readable = fds[++at].revents != 0;
    return now > aOne.mUntil || (readable && !Discard(aOne.mSocket));
  };
  aClosing.erase(std::remove_if(aClosing.begin(), aClosing.end(), finished),
                 aClosing.end());
  return fds[0].revents != 0;
}

void
LingeringCloser::Run()
{
  std::vector<ClosingSocket> closing;
  for (;;) {
    if (DiscardInput(closing)) {
      mWake.Clear();
    }
    std::lock_guard<std::mutex> lock(mLock);
    closing.insert(closing.end(), mTaken.begin(), mTaken.end());
    mTaken.clear();
    mOpenCount = closing.size();
    if (mStopping) {
      return;
    }
  }
}

} // namespace caraway
