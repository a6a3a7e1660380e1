// StopNewHandshakes.h: closes a listening socket under nobody's connection.
#ifndef caraway_net_StopNewHandshakes_h
#define caraway_net_StopNewHandshakes_h

#include <Poco/Net/ServerSocket.h>

namespace caraway {

// Attempts to connect find nobody from now on, while those whose connection is
// coming about still get it: accept until there are no more, and close. Closed
// at once, the socket would reset connections that the system has accepted and
// whose callers may have sent their request.
void
StopNewHandshakes(const Poco::Net::ServerSocket& aSocket);

} // namespace caraway

#endif
