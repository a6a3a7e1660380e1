#include "entry/ConnectionClose.h"

namespace caraway {

const char*
ConnEndName(ConnEndReason aReason)
{
  switch (aReason) {
    case ConnEndReason::AnswerSaidSo:
      return "answer_said_so";
    case ConnEndReason::Unreadable:
      return "unreadable";
    case ConnEndReason::IdleTooLong:
      return "idle_too_long";
    case ConnEndReason::Leaving:
      return "leaving";
    case ConnEndReason::AnswerBroken:
      return "answer_broken";
    case ConnEndReason::ReaderSlow:
      return "reader_slow";
    case ConnEndReason::InstanceEnds:
      return "instance_ends";
  }
  return "";
}

} // namespace caraway
