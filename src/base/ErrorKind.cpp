#include "caraway/ErrorKind.h"

#include <cstring>

#include "caraway/Failure.h"

namespace caraway {

namespace {

constexpr Millis kNoRetry{ 0 };
constexpr Millis kRetrySoon{ 1000 };
constexpr Millis kRetryLater{ 5000 };

// clang-format off
constexpr ErrorAnswer kAnswers[] = {
  { ErrorKind::BadRequest, "bad_request", "The request can't be understood.", 400, RunState::NotRun, kNoRetry },
  { ErrorKind::BodyTooLarge, "body_too_large", "The body is over the limit.", 413, RunState::NotRun, kNoRetry },
  { ErrorKind::KeyMissing, "key_missing", "No tenant key was shown.", 401, RunState::NotRun, kNoRetry },
  { ErrorKind::KeyUnknown, "key_unknown", "The key isn't granted.", 401, RunState::NotRun, kNoRetry },
  { ErrorKind::KeyStateStale, "key_state_stale", "This instance can't confirm its keys.", 503, RunState::NotRun, kRetryLater },
  { ErrorKind::ProfileUnknown, "profile_unknown", "No such profile for this key.", 404, RunState::NotRun, kNoRetry },
  { ErrorKind::IdempotencyKeyMissing, "idempotency_key_missing", "This profile's calls must not be repeated: send an Idempotency-Key.", 400, RunState::NotRun, kNoRetry },
  { ErrorKind::IdempotencyConflict, "idempotency_conflict", "The Idempotency-Key was used with another body.", 422, RunState::NotRun, kNoRetry },
  { ErrorKind::ClaimUnknown, "claim_unknown", "Whether this order ran before can't be looked up now.", 502, RunState::MayHaveRun, kRetryLater },
  { ErrorKind::OutcomeUnknown, "outcome_unknown", "The order was handed on and its outcome can't be known.", 502, RunState::MayHaveRun, kRetryLater },
  { ErrorKind::OutcomePending, "outcome_pending", "The same order is still running.", 409, RunState::MayHaveRun, kRetrySoon },
  { ErrorKind::AnswerNotKept, "answer_not_kept", "The order ran; its answer was too large to keep.", 409, RunState::Ran, kNoRetry },
  { ErrorKind::RateExceeded, "rate_exceeded", "The tenant is over its rate.", 429, RunState::NotRun, kRetrySoon },
  { ErrorKind::RateUnavailable, "rate_unavailable", "The tenant's share can't be reached.", 503, RunState::NotRun, kRetrySoon },
  { ErrorKind::CostAboveBurst, "cost_above_burst", "The request costs more than the tenant's burst.", 400, RunState::NotRun, kNoRetry },
  { ErrorKind::QueueFull, "queue_full", "Too much is waiting.", 503, RunState::NotRun, kRetrySoon },
  { ErrorKind::DeadlineUnmeetable, "deadline_unmeetable", "It can't be served in its time.", 503, RunState::NotRun, kRetrySoon },
  { ErrorKind::DeadlinePassed, "deadline_passed", "Its time has passed.", 504, RunState::NotRun, kRetrySoon },
  { ErrorKind::NoEndpoint, "no_endpoint", "No endpoint can be reached.", 503, RunState::NotRun, kRetrySoon },
  { ErrorKind::NoCapacity, "no_capacity", "No endpoint has memory for the model.", 503, RunState::NotRun, kRetryLater },
  { ErrorKind::EndpointFailed, "endpoint_failed", "The endpoint failed while it answered.", 502, RunState::MayHaveRun, kRetrySoon },
  { ErrorKind::PlatformUnavailable, "platform_unavailable", "The platform can't be reached.", 503, RunState::NotRun, kRetryLater },
  { ErrorKind::RevisionConflict, "revision_conflict", "The configuration has changed meanwhile.", 409, RunState::NotRun, kNoRetry },
  { ErrorKind::ConfigInvalid, "config_invalid", "The configuration isn't valid.", 422, RunState::NotRun, kNoRetry },
  { ErrorKind::ConfigUnconfirmed, "config_unconfirmed", "This instance can't confirm its configuration.", 503, RunState::NotRun, kRetrySoon },
  { ErrorKind::NotReady, "not_ready", "This instance has no configuration yet.", 503, RunState::NotRun, kRetrySoon },
  { ErrorKind::ShuttingDown, "shutting_down", "This instance is leaving.", 503, RunState::NotRun, kRetrySoon },
  { ErrorKind::PromptBlocked, "prompt_blocked", "Requests with a part of its prompt crash the servers.", 503, RunState::NotRun, kRetryLater },
  { ErrorKind::RequestHarmful, "request_harmful", "Several servers ended, one after the other, while they ran this request.", 503, RunState::NotRun, kRetryLater },
  { ErrorKind::NotFound, "not_found", "No such thing.", 404, RunState::NotRun, kNoRetry },
  { ErrorKind::Forbidden, "forbidden", "The key doesn't allow this.", 403, RunState::NotRun, kNoRetry },
  { ErrorKind::Internal, "internal", "A fault of ours.", 500, RunState::MayHaveRun, kRetrySoon },
};
// clang-format on

} // namespace

const ErrorAnswer&
ErrorAnswerOf(ErrorKind aKind)
{
  for (const ErrorAnswer& answer : kAnswers) {
    if (answer.mKind == aKind) {
      return answer;
    }
  }
  return ErrorAnswerOf(ErrorKind::Internal);
}

ErrorKind
ErrorKindOf(const char* aName)
{
  for (const ErrorAnswer& answer : kAnswers) {
    if (std::strcmp(answer.mName, aName) == 0) {
      return answer.mKind;
    }
  }
  return ErrorKind::Internal;
}

const char*
RunStateName(RunState aRun)
{
  switch (aRun) {
    case RunState::NotRun:
      return "not_run";
    case RunState::Ran:
      return "ran";
    case RunState::MayHaveRun:
      return "may_have_run";
  }
  return "may_have_run";
}

Failure
FailureOf(ErrorKind aKind, std::string aDetail)
{
  const ErrorAnswer& answer = ErrorAnswerOf(aKind);
  return { aKind, std::move(aDetail), answer.mRun, answer.mRetryAfter };
}

} // namespace caraway
