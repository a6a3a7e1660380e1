// StopNewHandshakes.h: prepares a listening socket for a close without resets.
#ifndef caraway_net_StopNewHandshakes_h
#define caraway_net_StopNewHandshakes_h

#include <Poco/Net/ServerSocket.h>

#include "caraway/Time.h"

namespace caraway {

// A handshake in progress completes within this time, also between zones.
inline constexpr Millis kHandshakeTime{ 20 };

// Drops new connection attempts. After kHandshakeTime the caller accepts until
// no connections are left, and closes the socket. Closing it at once would
// reset connections that the system has accepted and whose callers may have
// sent a request already.
void
StopNewHandshakes(const Poco::Net::ServerSocket& aSocket);

} // namespace caraway

#endif
