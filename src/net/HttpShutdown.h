// HttpShutdown.h: how far a port is on its way out.
#ifndef caraway_net_HttpShutdown_h
#define caraway_net_HttpShutdown_h

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <mutex>
#include <set>

#include "caraway/Time.h"

namespace caraway {

// Shared by a port's connections, each on a thread of its own.
class HttpShutdown
{
public:
  HttpShutdown();
  ~HttpShutdown();
  HttpShutdown(const HttpShutdown&) = delete;
  HttpShutdown& operator=(const HttpShutdown&) = delete;

  // Every answer from now on says that its connection ends with it.
  void Leave() { mLeaving = true; }
  bool Leaving() const { return mLeaving; }
  // Connections without a request end, and those that come are answered once.
  void End();
  bool Ended() const { return mEnded; }

  // Waits for bytes, a caller, a caller's end, or End. False: nothing came.
  bool WaitForInput(const Poco::Net::Socket& aSocket, Millis aWithin) const;

  // From a request's first byte to its answer's last one.
  void BeginRequest() { ++mBusy; }
  void EndRequest() { --mBusy; }
  int Busy() const { return mBusy; }

  // From accepted to handed to the linger or closed.
  void Add(const Poco::Net::StreamSocket& aSocket);
  void Remove(const Poco::Net::StreamSocket& aSocket);
  size_t Open() const;
  void LimitSendTime(Millis aTime);
  // What was sent still arrives; nothing more is read or sent.
  void CutConnections();

private:
  int mWake; // readable from End on
  std::atomic<bool> mLeaving{ false };
  std::atomic<bool> mEnded{ false };
  std::atomic<int> mBusy{ 0 };
  mutable std::mutex mLock;
  std::set<Poco::Net::StreamSocket> mOpen;
};

} // namespace caraway

#endif
