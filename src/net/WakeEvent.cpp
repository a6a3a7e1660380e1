#include "net/WakeEvent.h"

#include <stdexcept>
#include <sys/eventfd.h>
#include <unistd.h>

namespace caraway {

WakeEvent::WakeEvent()
  : mDescriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  if (mDescriptor < 0) {
    throw std::runtime_error("eventfd failed");
  }
}

WakeEvent::~WakeEvent()
{
  close(mDescriptor);
}

void
WakeEvent::Signal() const
{
  eventfd_write(mDescriptor, 1);
}

void
WakeEvent::Clear() const
{
  eventfd_t count = 0;
  eventfd_read(mDescriptor, &count);
}

} // namespace caraway
