#include "net/StopNewHandshakes.h"

#include <linux/filter.h>
#include <sys/socket.h>

namespace caraway {

void
StopNewHandshakes(const Poco::Net::ServerSocket& aSocket)
{
  constexpr uint32_t kFlags = 13; // offset in the TCP header
  constexpr uint32_t kSyn = 2;
  constexpr uint32_t kDrop = 0;
  constexpr uint32_t kPass = 0xffffffff;
  sock_filter steps[] = {
    { BPF_LD | BPF_B | BPF_ABS, 0, 0, kFlags },
    { BPF_JMP | BPF_JSET | BPF_K, 0, 1, kSyn },
    { BPF_RET | BPF_K, 0, 0, kDrop },
    { BPF_RET | BPF_K, 0, 0, kPass },
  };
  sock_fprog program{ sizeof steps / sizeof steps[0], steps };
  // If the system doesn't support the filter, connections established between
  // the last accept and the close are reset.
  setsockopt(aSocket.impl()->sockfd(),
             SOL_SOCKET,
             SO_ATTACH_FILTER,
             &program,
             sizeof program);
}

} // namespace caraway
