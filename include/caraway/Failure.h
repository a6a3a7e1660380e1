// Failure.h: the error object carried by LEAF results.
#ifndef caraway_Failure_h
#define caraway_Failure_h

#include <string>

#include "caraway/ErrorKind.h"

namespace caraway {

struct Failure
{
  ErrorKind mKind = ErrorKind::Internal;
  // For humans; never contains a key or a body.
  std::string mDetail;
  RunState mRun = RunState::NotRun; // whether the request has run
  Millis mRetryAfter{ 0 };          // 0 = a retry won't help
};

// Builds a failure with the run state and the retry time of its kind.
Failure
FailureOf(ErrorKind aKind, std::string aDetail);

} // namespace caraway

#endif
