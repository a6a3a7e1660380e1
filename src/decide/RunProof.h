// RunProof.h: what proves that a request has not run where it was sent, and
// what its caller may be told.
//
// A caller who is told "not run" sends the request again, and so does an
// instance that believes it. Nothing that is missing from an answer proves
// anything: an unmarked refusal may be made by something between, after the
// request ran.
#ifndef caraway_decide_RunProof_h
#define caraway_decide_RunProof_h

#include <string>

namespace caraway {

enum class SendTarget
{
  Server,
  Instance, // another one, which sends it to a server
};

// What an answer states by its head.
struct AnswerMarks
{
  int mStatus = 0;
  std::string mId;              // of the request that it answers; "" = none
  bool mServerNotRun = false;   // a server: this send of it did not run
  bool mInstanceNotRun = false; // an instance: no server ran it or will
};

// The request that an answer belongs to, which came where the answer to a send
// was due.
enum class AnswerOwner
{
  This,
  Other,  // a late or second answer to another request
  Unsure, // it has no id, and the connection was used before
};

AnswerOwner
OwnerOf(const AnswerMarks& aMarks,
        const std::string& aRequestId,
        bool aUsedConnection);

enum class RunProof
{
  NotWritten, // no byte of it has left this process
  Refused,    // by whom it was sent to, on this connection, for this send
  None,       // it may have run, or run later
};

// "not_written", "refused" or "none", as in logs.
const char*
RunProofName(RunProof aProof);

// What the answer to a send proves, if it belongs to the request. No two sends
// of a request may use one connection; see CarriedRequests.
RunProof
ProofOf(SendTarget aTarget, const AnswerMarks& aMarks);

// Whether the status tells callers that the request hasn't run and never will.
bool
PromisesNotRun(int aStatus);

// The status that a caller may get in place of aStatus.
int
CallerStatus(int aStatus, bool aMayHaveRun);

// One request over all its sends.
class RunHistory
{
public:
  void OnSendEnded(RunProof aProof);
  bool MayHaveRun() const { return mPossibleRuns > 0; }
  // Whether it may be sent, if it may run on aMostServers at most. One that
  // must not be repeated may only while none can have run it.
  bool MaySend(bool aRepeatable, int aMostServers) const;
  int StatusFor(int aStatus) const
  {
    return CallerStatus(aStatus, MayHaveRun());
  }

private:
  int mPossibleRuns = 0; // ended sends without proof
};

} // namespace caraway

#endif
