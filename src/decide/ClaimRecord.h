// ClaimRecord.h: what the platform keeps about one non-repeatable order.
#ifndef caraway_decide_ClaimRecord_h
#define caraway_decide_ClaimRecord_h

#include <string>

namespace caraway {

enum class ClaimRecordState
{
  Claimed,  // its creator alone may hand the order on
  Released, // its creator gave up before any byte went out
  Answered, // the endpoint's answer is kept here
  Lost,     // handed on, and its outcome can't be known
};

struct ClaimAnswer
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
  bool mKept = true; // false: too large to keep; only the status is
};

struct ClaimRecord
{
  ClaimRecordState mState = ClaimRecordState::Claimed;
  std::string mBodyDigest; // another body under the same key is refused
  std::string mCreator;    // incarnation that may hand it on
  std::string mNonce;      // of the creator's attempt
  ClaimAnswer mAnswer;     // when Answered
};

} // namespace caraway

#endif
