// ErrorKind.h: the closed list of error kinds, and the table from kind to
// answer. A new way to fail is a new row here, never a string elsewhere.
#ifndef caraway_ErrorKind_h
#define caraway_ErrorKind_h

#include "caraway/RunState.h"
#include "caraway/Time.h"

namespace caraway {

enum class ErrorKind
{
  BadRequest,
  BodyTooLarge,
  KeyMissing,
  KeyUnknown,
  KeyStateStale,
  ProfileUnknown,
  IdempotencyKeyMissing,
  IdempotencyConflict,
  ClaimUnknown,
  OutcomeUnknown,
  OutcomePending,
  AnswerNotKept,
  RateExceeded,
  RateUnavailable,
  CostAboveBurst,
  QueueFull,
  DeadlineUnmeetable,
  DeadlinePassed,
  NoEndpoint,
  NoCapacity,
  EndpointFailed,
  PlatformUnavailable,
  RevisionConflict,
  ConfigInvalid,
  NotReady,
  ShuttingDown,
  NotFound,
  Forbidden,
  Internal,
};

// One row of the table: how a kind is told to a caller.
struct ErrorAnswer
{
  ErrorKind mKind;
  const char* mName;  // stable word in the problem document's type
  const char* mTitle; // one sentence for people
  int mStatus;        // HTTP status
  RunState mRun;      // default; a failure may carry a weaker one
  Millis mRetryAfter; // default; 0 = coming back won't help
};

const ErrorAnswer&
ErrorAnswerOf(ErrorKind aKind);
// Kind by its stable name; Internal when the name isn't on the list.
ErrorKind
ErrorKindOf(const char* aName);

} // namespace caraway

#endif
