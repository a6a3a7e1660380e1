// StopNewHandshakes.h: prepares a listening socket for a close without resets.
#ifndef caraway_net_StopNewHandshakes_h
#define caraway_net_StopNewHandshakes_h

#include <Poco/Net/ServerSocket.h>

namespace caraway {

// Drops new connection attempts and lets handshakes in progress complete. The
// caller then accepts until no connections are left, and closes the socket.
// Closing it at once would reset connections that the system has accepted and
// whose callers may have sent a request already.
void
StopNewHandshakes(const Poco::Net::ServerSocket& aSocket);

} // namespace caraway

#endif
