#include "decide/RunProof.h"

namespace caraway {

namespace {

constexpr int kFirstFailure = 400;   // lowest status of a refusal
constexpr int kOutcomeUnknown = 502; // promises nothing

} // namespace

AnswerOwner
OwnerOf(const AnswerMarks& aMarks,
        const std::string& aRequestId,
        bool aUsedConnection)
{
  if (aMarks.mId == aRequestId) {
    return AnswerOwner::This;
  }
  if (!aMarks.mId.empty()) {
    return AnswerOwner::Other;
  }
  return aUsedConnection ? AnswerOwner::Unsure : AnswerOwner::This;
}

const char*
RunProofName(RunProof aProof)
{
  switch (aProof) {
    case RunProof::NotWritten:
      return "not_written";
    case RunProof::Refused:
      return "refused";
    case RunProof::None:
      break;
  }
  return "none";
}

RunProof
ProofOf(SendTarget aTarget, const AnswerMarks& aMarks)
{
  bool stated = aTarget == SendTarget::Server ? aMarks.mServerNotRun
                                              : aMarks.mInstanceNotRun;
  return stated && aMarks.mStatus >= kFirstFailure ? RunProof::Refused
                                                   : RunProof::None;
}

bool
PromisesNotRun(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

int
CallerStatus(int aStatus, bool aMayHaveRun)
{
  return aMayHaveRun && PromisesNotRun(aStatus) ? kOutcomeUnknown : aStatus;
}

void
RunHistory::OnSendEnded(RunProof aProof)
{
  mPossibleRuns += aProof == RunProof::None ? 1 : 0;
}

bool
RunHistory::MaySend(bool aRepeatable, int aMostServers) const
{
  return mPossibleRuns == 0 || (aRepeatable && mPossibleRuns < aMostServers);
}

} // namespace caraway
