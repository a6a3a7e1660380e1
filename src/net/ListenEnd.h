// ListenEnd.h: closes a listening socket under nobody's connection.
#ifndef caraway_net_ListenEnd_h
#define caraway_net_ListenEnd_h

#include <Poco/Net/ServerSocket.h>

namespace caraway {

// Attempts to connect find nobody from now on, while those whose connection is
// coming about still get it: accept until there are no more, and close. Closed
// at once, the socket would reset connections that the system has accepted and
// whose callers may have sent their request.
void
ListenEnd(const Poco::Net::ServerSocket& aSocket);

} // namespace caraway

#endif
