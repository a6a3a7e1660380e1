// RequestHold.h: what one request holds at a port with threads, from its first
// byte to its answer, and how its connection is woken when it is given up.
#ifndef caraway_net_RequestHold_h
#define caraway_net_RequestHold_h

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <chrono>

#include "net/SharedRequestAccount.h"

namespace caraway {

// A port's part of the account.
struct RequestHoldPort
{
  SharedRequestAccount& mAccount;
  RequestAccount::Group mGroup = nullptr;
  // Requests that were given up and whose threads haven't noticed yet.
  std::atomic<size_t>& mEnding;
};

class RequestHold
{
public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  // aSocket: of AcceptRequestSocket(); its reads count for this request until
  // the hold is destroyed. They end at aDeadline.
  RequestHold(const RequestHoldPort& aPort,
              const Poco::Net::StreamSocket& aSocket,
              SteadyTime aDeadline);
  ~RequestHold();
  RequestHold(const RequestHold&) = delete;
  RequestHold& operator=(const RequestHold&) = delete;

  // The request holds aBytes besides its head while its body is being received.
  // Returns false if it was given up, now or before.
  bool Receive(size_t aBytes);
  // The same once it is complete: from here on it is never given up.
  bool Run(size_t aBytes);
  // Reads end at aDeadline, in place of the one before.
  void SetDeadline(SteadyTime aDeadline) { mDeadline = aDeadline; }
  bool GivenUp() const { return mGivenUp; }
  // The client has closed its side, or was cut.
  bool Ended() const { return mEnded; }
  size_t MostForOne() const { return mPort.mAccount.MostForOne(); }

  // Called by the socket. Throws Poco::TimeoutException after the deadline.
  void BeforeRead() const;
  void AfterRead(int aCount);

private:
  RequestHoldPort mPort;
  Poco::Net::StreamSocket mSocket;
  RequestAccount::Id mId;
  SteadyTime mDeadline;
  size_t mHeadBytes = 0; // held
  bool mInHead = true;   // until Receive() or Run()
  bool mEnded = false;
  std::atomic<bool> mGivenUp{ false };
};

// Accepts a connection. Throws Poco::Exception if there is none.
Poco::Net::StreamSocket
AcceptRequestSocket(const Poco::Net::ServerSocket& aListener);

// The hold that counts aSocket's reads; null = none.
RequestHold*
HoldOf(const Poco::Net::StreamSocket& aSocket);

} // namespace caraway

#endif
