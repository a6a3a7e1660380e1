#include "net/HttpShutdown.h"

#include <cerrno>
#include <iterator>
#include <poll.h>

#include <Poco/Exception.h>

namespace caraway {

namespace {

void
SetSendTime(Poco::Net::StreamSocket aSocket, Millis aTime)
{
  try {
    aSocket.setSendTimeout(Poco::Timespan(Micros(aTime).count()));
  } catch (const Poco::Exception&) {
    // The caller has closed the connection.
  }
}

} // namespace

void
HttpShutdown::End()
{
  mLeaving = true;
  mEnded = true;
  mWake.Signal();
}

bool
HttpShutdown::WaitForInput(const Poco::Net::Socket& aSocket,
                           Millis aWithin,
                           int aWake) const
{
  // poll() ignores negative descriptors.
  pollfd fds[] = { { aSocket.impl()->sockfd(), POLLIN, 0 },
                   { mEnded ? -1 : mWake.Descriptor(), POLLIN, 0 },
                   { aWake, POLLIN, 0 } };
  int ready = 0;
  do {
    ready = poll(fds, std::size(fds), static_cast<int>(aWithin.count()));
  } while (ready < 0 && errno == EINTR);
  return ready > 0 && fds[0].revents != 0;
}

void
HttpShutdown::Add(const Poco::Net::StreamSocket& aSocket)
{
  std::lock_guard<std::mutex> lock(mLock);
  mOpen.insert(aSocket);
  if (mSendTime) {
    SetSendTime(aSocket, *mSendTime);
  }
}

void
HttpShutdown::Remove(const Poco::Net::StreamSocket& aSocket)
{
  std::lock_guard<std::mutex> lock(mLock);
  mOpen.erase(aSocket);
}

size_t
HttpShutdown::Open() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mOpen.size();
}

void
HttpShutdown::LimitSendTime(Millis aTime)
{
  std::lock_guard<std::mutex> lock(mLock);
  mSendTime = aTime;
  for (const Poco::Net::StreamSocket& socket : mOpen) {
    SetSendTime(socket, aTime);
  }
}

void
HttpShutdown::CutConnections()
{
  std::lock_guard<std::mutex> lock(mLock);
  for (Poco::Net::StreamSocket socket : mOpen) {
    try {
      socket.shutdown();
    } catch (const Poco::Exception&) {
      // The caller has closed the connection.
    }
  }
}

} // namespace caraway
