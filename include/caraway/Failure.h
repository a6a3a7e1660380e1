// Failure.h: the one error object that LEAF carries.
#ifndef caraway_Failure_h
#define caraway_Failure_h

#include <string>

#include "caraway/ErrorKind.h"

namespace caraway {

struct Failure
{
  ErrorKind mKind = ErrorKind::Internal;
  std::string mDetail;              // for people; never a key or a body
  RunState mRun = RunState::NotRun; // what is known about the work
  Millis mRetryAfter{ 0 };          // 0 = coming back won't help
};

// A failure with the run state and the retry time of its kind's row.
Failure
FailureOf(ErrorKind aKind, std::string aDetail);

} // namespace caraway

#endif
