// ListenPort.h: a listening socket whose connections go to one handler.
#ifndef caraway_entry_ListenPort_h
#define caraway_entry_ListenPort_h

#include <Poco/Net/ServerSocket.h>
#include <memory>
#include <string>
#include <vector>

#include "entry/InboundConnection.h"

namespace caraway {

class ListenPort
  : public SocketHandler
  , public std::enable_shared_from_this<ListenPort>
{
public:
  // aMost: connections at a time; more are closed at once. Throws
  // Poco::Exception when the address can't be bound.
  static std::shared_ptr<ListenPort> Open(Reactor& aReactor,
                                          const std::string& aAddress,
                                          InboundHandler& aHandler,
                                          size_t aMaxOpen);
  std::string Address() const;
  size_t Connections() const { return mConns.size(); }
  bool AllClosed() const;
  // Takes those who have connected, and no new ones from now on.
  void Close();
  // Closes connections on which nothing has been under way for aQuiet.
  void CloseIdle(ConnectionCloseReason aReason, Millis aIdleTime);
  // Refuses requests that aren't read to their end.
  void RejectPartialRequests();
  // Ends all connections, as the process does.
  void EndAll();
  // Forgets closed connections, ends those that are too slow or idle.
  void Sweep();

  void OnReadable() override;

private:
  bool AcceptBatch();
  ListenPort(Reactor& aReactor, InboundHandler& aHandler, size_t aMaxOpen);

  Reactor& mReactor;
  InboundHandler& mHandler;
  size_t mMaxOpen;
  Poco::Net::ServerSocket mSocket;
  std::vector<std::shared_ptr<InboundConnection>> mConns;
  bool mOpen = true;
};

} // namespace caraway

#endif
