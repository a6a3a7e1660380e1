// ListenPort.h: a listening socket with one handler for its connections.
#ifndef caraway_intake_ListenPort_h
#define caraway_intake_ListenPort_h

#include <Poco/Net/ServerSocket.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "intake/InboundConnection.h"

namespace caraway {

class ListenPort
  : public SocketHandler
  , public std::enable_shared_from_this<ListenPort>
{
public:
  // aMaxOpen: limit of open connections. A new one beyond it takes the place of
  // one that stands still; if there is none, it is closed at once. Throws
  // Poco::Exception if the address can't be bound.
  static std::shared_ptr<ListenPort> Open(Reactor& aReactor,
                                          RequestAccount& aAccount,
                                          const std::string& aAddress,
                                          InboundHandler& aHandler,
                                          size_t aMaxOpen);
  std::string Address() const;
  size_t Connections() const { return mConns.size(); }
  uint64_t TurnedAway() const { return mTurnedAway; } // connections, so far
  bool AllClosed() const;
  // Accepts the connections that are established, and closes the socket after
  // kHandshakeTime.
  void Close();
  // Closes connections that have been idle for at least aIdleTime.
  void CloseIdle(ConnectionCloseReason aReason, Millis aIdleTime);
  // The same for connections that have carried a request. On others the first
  // request may be on its way.
  void CloseUsedIdle(ConnectionCloseReason aReason, Millis aIdleTime);
  // Refuses the requests that have not been received completely.
  void RejectPartialRequests();
  // Aborts all connections because the process exits.
  void EndAll();
  // Drops closed connections, and closes those that are too slow or idle.
  void Sweep();

  void OnReadable() override;

private:
  enum class State
  {
    Open,
    Closing, // takes those who have connected, see StopNewHandshakes()
    Closed,
  };

  bool AcceptBatch();
  void Accept(const Poco::Net::StreamSocket& aSocket);
  void AcceptLast();
  bool MakeRoom();
  bool ReplaceStanding();
  void PauseAccepting();
  ListenPort(Reactor& aReactor,
             RequestAccount& aAccount,
             InboundHandler& aHandler,
             size_t aMaxOpen);

  Reactor& mReactor;
  RequestAccount& mAccount;
  InboundHandler& mHandler;
  size_t mMaxOpen;
  size_t mOpenLimit; // lower for a while after no descriptor was left
  Poco::Net::ServerSocket mSocket;
  std::vector<std::shared_ptr<InboundConnection>> mConns;
  TimePoint mSweptAt{};
  uint64_t mTurnedAway = 0;
  bool mPaused = false; // see PauseAccepting()
  State mState = State::Open;
};

} // namespace caraway

#endif
