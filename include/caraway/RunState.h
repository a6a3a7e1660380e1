// RunState.h: what a refusal says about the work it refuses.
#ifndef caraway_RunState_h
#define caraway_RunState_h

namespace caraway {

enum class RunState
{
  NotRun,     // no byte of the request was ever offered to an endpoint
  Ran,        // it ran, and this answer says how it ended
  MayHaveRun, // bytes were offered and the outcome can't be known
};

const char*
RunStateName(RunState aRun); // "not_run", "ran", "may_have_run"

} // namespace caraway

#endif
