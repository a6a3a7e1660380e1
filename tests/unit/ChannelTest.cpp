// Connections of the reactor: what is written arrives whole, however slowly the
// other side reads.

#include <gtest/gtest.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include "caraway/BootClock.h"
#include "net/Channel.h"

namespace caraway {

// The reader is busy for a while, so that the socket's buffer fills and the
// rest must wait for it. A stream that loses its end here would reach its
// caller with pieces missing.
TEST(Channel, WholeOutputReachesASlowReader)
{
  BootClock clock;
  Reactor reactor(clock);
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  auto reader =
    Channel::Connect(reactor, listener.address().toString(), Seconds(1));
  auto writer = Channel::Accepted(reactor, listener.acceptConnection());
  constexpr size_t kBytes = 32u << 20; // more than any socket buffers
  writer->Write(std::string(kBytes, 'x'));
  EXPECT_LT(0u, writer->Queued());
  TimePoint until = clock.Now() + Seconds(10);
  size_t got = 0;
  while (got < kBytes && clock.Now() < until) {
    reactor.Turn(Millis(20));
    got += reader->Input().size();
    reader->Input().clear();
  }
  EXPECT_EQ(kBytes, got);
  EXPECT_EQ(0u, writer->Queued());
}

} // namespace caraway
