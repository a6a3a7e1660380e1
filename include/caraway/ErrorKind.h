// ErrorKind.h: the closed list of error kinds, and the table that maps each
// kind to an answer. A new kind of failure is a new row of the table, never a
// string elsewhere.
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
  ConfigUnconfirmed,
  NotReady,
  ShuttingDown,
  PromptBlocked,
  RequestHarmful,
  NotFound,
  Forbidden,
  Internal,
};

// One row of the table: the answer to a caller for one kind.
struct ErrorAnswer
{
  ErrorKind mKind;
  const char* mName;  // stable name in the problem document's type
  const char* mTitle; // one sentence for humans
  int mStatus;        // HTTP status
  RunState mRun;      // default; a failure may state another one
  Millis mRetryAfter; // default; 0 = a retry won't help
};

const ErrorAnswer&
ErrorAnswerOf(ErrorKind aKind);
// Kind of a stable name; Internal if the name isn't in the table.
ErrorKind
ErrorKindOf(const char* aName);

} // namespace caraway

#endif
