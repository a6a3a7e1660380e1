// RunState.h: what an error answer states about whether the request has run.
#ifndef caraway_RunState_h
#define caraway_RunState_h

namespace caraway {

enum class RunState
{
  NotRun,     // no byte of the request was offered to an endpoint
  Ran,        // it ran, and the answer states its outcome
  MayHaveRun, // bytes were offered, and the outcome can't be known
};

const char*
RunStateName(RunState aRun); // "not_run", "ran", "may_have_run"

} // namespace caraway

#endif
