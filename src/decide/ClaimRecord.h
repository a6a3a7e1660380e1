// ClaimRecord.h: the stored claim of one non-repeatable order.
#ifndef caraway_decide_ClaimRecord_h
#define caraway_decide_ClaimRecord_h

#include <string>

namespace caraway {

enum class ClaimRecordState
{
  Claimed,  // only its creator may forward the order
  Released, // its creator gave up before any byte was sent
  Answered, // the endpoint's answer is stored in mAnswer
  Lost,     // forwarded; the outcome can't be determined
};

struct ClaimAnswer
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
  bool mKept = true; // false: body too large to store, only mStatus is kept
};

struct ClaimRecord
{
  ClaimRecordState mState = ClaimRecordState::Claimed;
  std::string mBodyDigest; // a different body under the same key is refused
  std::string mCreator;    // incarnation that may forward the order
  std::string mNonce;      // identifies the creator's attempt
  ClaimAnswer mAnswer;     // set when Answered
};

} // namespace caraway

#endif
