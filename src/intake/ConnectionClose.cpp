#include "intake/ConnectionClose.h"

namespace caraway {

const char*
ConnectionCloseReasonName(ConnectionCloseReason aReason)
{
  switch (aReason) {
    case ConnectionCloseReason::AnswerWithClose:
      return "answer_said_so";
    case ConnectionCloseReason::InvalidRequest:
      return "unreadable";
    case ConnectionCloseReason::IdleTimeout:
      return "idle_too_long";
    case ConnectionCloseReason::Leaving:
      return "leaving";
    case ConnectionCloseReason::AnswerAborted:
      return "answer_broken";
    case ConnectionCloseReason::SlowReader:
      return "reader_slow";
    case ConnectionCloseReason::InstanceExit:
      return "instance_ends";
    case ConnectionCloseReason::OutOfMemory:
      return "out_of_memory";
    case ConnectionCloseReason::OutOfDescriptors:
      return "out_of_descriptors";
  }
  return "";
}

} // namespace caraway
