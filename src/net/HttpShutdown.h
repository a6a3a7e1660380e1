// HttpShutdown.h: shutdown state of an HttpPort, and its open connections.
#ifndef caraway_net_HttpShutdown_h
#define caraway_net_HttpShutdown_h

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <mutex>
#include <optional>
#include <set>

#include "caraway/Time.h"
#include "net/WakeEvent.h"

namespace caraway {

// Shared by the port's connections, each of which has its own thread.
class HttpShutdown
{
public:
  // From now on every answer carries "Connection: close".
  void Leave() { mLeaving = true; }
  bool Leaving() const { return mLeaving; }
  // From now on connections without a request end, and new connections get one
  // answer.
  void End();
  bool Ended() const { return mEnded; }

  // Waits until aSocket is readable (bytes, a new connection or a close), for
  // End(), or until the event descriptor aWake is readable; -1 = none. Returns
  // whether aSocket is readable.
  bool WaitForInput(const Poco::Net::Socket& aSocket,
                    Millis aWithin,
                    int aWake = -1) const;

  // Called at a request's first byte and after its answer's last one.
  void BeginRequest() { ++mBusy; }
  void EndRequest() { --mBusy; }
  int Busy() const { return mBusy; }

  // Called when a socket is accepted, and when it is closed or handed to the
  // LingeringCloser.
  void Add(const Poco::Net::StreamSocket& aSocket);
  void Remove(const Poco::Net::StreamSocket& aSocket);
  size_t Open() const;
  // For the open connections and all later ones.
  void LimitSendTime(Millis aTime);
  // Shuts down all open connections. What was sent still arrives; nothing more
  // is read or sent.
  void CutConnections();

private:
  WakeEvent mWake; // signalled by End()
  std::atomic<bool> mLeaving{ false };
  std::atomic<bool> mEnded{ false };
  std::atomic<int> mBusy{ 0 };
  mutable std::mutex mLock;
  std::set<Poco::Net::StreamSocket> mOpen;
  std::optional<Millis> mSendTime; // if limited
};

} // namespace caraway

#endif
