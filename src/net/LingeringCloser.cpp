#include "net/LingeringCloser.h"

#include <algorithm>
#include <poll.h>
#include <stdexcept>
#include <sys/eventfd.h>
#include <unistd.h>

#include <Poco/Exception.h>

#include "caraway/Time.h"

namespace caraway {

namespace {

constexpr Millis kLinger{ 1000 };
constexpr Millis kLook{ 100 };
constexpr size_t kMost = 1024; // held open; more are closed at once

using SteadyClock = std::chrono::steady_clock;

// False: its caller has closed it.
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

LingeringCloser::LingeringCloser()
  : mWake(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  if (mWake < 0) {
    throw std::runtime_error("no event descriptor");
  }
  mThread = std::thread([this] { Run(); });
}

LingeringCloser::~LingeringCloser()
{
  {
    std::lock_guard<std::mutex> lock(mLock);
    mEnding = true;
  }
  eventfd_write(mWake, 1);
  mThread.join();
  close(mWake);
}

void
LingeringCloser::Take(const Poco::Net::StreamSocket& aSocket)
{
  Leaving leaving{ aSocket, SteadyClock::now() + kLinger };
  try {
    leaving.mSocket.shutdownSend();
  } catch (const Poco::Exception&) {
    return; // its caller has gone
  }
  {
    std::lock_guard<std::mutex> lock(mLock);
    if (mHeld >= kMost) {
      return;
    }
    ++mHeld;
    mTaken.push_back(leaving);
  }
  eventfd_write(mWake, 1);
}

bool
LingeringCloser::Empty() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mHeld == 0;
}

bool
LingeringCloser::DiscardInput(std::vector<Leaving>& aLeaving) const
{
  std::vector<pollfd> ends;
  ends.push_back({ mWake, POLLIN, 0 });
  for (const Leaving& leaving : aLeaving) {
    ends.push_back({ leaving.mSocket.impl()->sockfd(), POLLIN, 0 });
  }
  int wait = aLeaving.empty() ? -1 : static_cast<int>(kLook.count());
  poll(ends.data(), ends.size(), wait);
  auto now = SteadyClock::now();
  size_t at = 0;
  auto over = [&](Leaving& aOne) {
    bool readable = ends[++at].revents != 0;
    return now > aOne.mUntil || (readable && !Discard(aOne.mSocket));
  };
  aLeaving.erase(std::remove_if(aLeaving.begin(), aLeaving.end(), over),
                 aLeaving.end());
  return ends[0].revents != 0;
}

void
LingeringCloser::Run()
{
  std::vector<Leaving> leaving;
  for (;;) {
    if (DiscardInput(leaving)) {
      eventfd_t count = 0;
      eventfd_read(mWake, &count);
    }
    std::lock_guard<std::mutex> lock(mLock);
    leaving.insert(leaving.end(), mTaken.begin(), mTaken.end());
    mTaken.clear();
    mHeld = leaving.size();
    if (mEnding) {
      return;
    }
  }
}

} // namespace caraway
