// RequestFacts.h: the fields of a request and of an answer that decisions use,
// parsed once on arrival.
#ifndef caraway_decide_RequestFacts_h
#define caraway_decide_RequestFacts_h

#include <cstdint>
#include <optional>
#include <string>

#include "caraway/Time.h"
#include "decide/RunProof.h"

namespace caraway {

struct RequestFacts
{
  std::string mId; // of this attempt of the caller
  std::string mHost;
  std::string mPath;      // without the query
  std::string mTenantKey; // "" = none given
  std::string mModel;
  std::string mAdapter; // of mModel; "" = none
  std::optional<double> mPromptTokens;
  std::optional<double> mOutputTokens; // at most
  // The caller's estimate of the output tokens; may be far off.
  std::optional<double> mExpectedTokens;
  std::optional<Millis> mDeadline; // how long the caller waits
  std::string mLastEvent;          // a resumed stream continues after it
  // Of a resumed stream: id of the attempt that brought its first event; "" =
  // none given.
  std::string mResumes;
};

// What a server says of its load.
struct ServerLoadReport
{
  int mRunning = 0; // requests
  int mWaiting = 0;
  int mSlots = 1;
  // Time that work takes now, as a multiple of the usual; nothing = not told.
  std::optional<double> mPace;
};

// Facts about a server's answer, apart from its body.
struct AnswerFacts
{
  bool mFromServer = false; // from the server itself, not an intermediary
  bool mEncoded = false;    // has a content coding, which no request asks for
  AnswerMarks mMarks;       // what it states of its request
  // The server that refused the request, if it identified itself.
  std::string mServer;
  // The server fails if it has to reject more requests in a second.
  std::optional<double> mRejectionLimit;
  // Requests a second that the server takes from all instances together.
  std::optional<double> mRateLimit;
  bool mRateLimitUnreadable = false;
  std::optional<ServerLoadReport> mLoad;
  std::optional<Millis> mColdLeft; // how much longer the server stays cold
  bool mColdLeftUnreadable = false;
};

} // namespace caraway

#endif
