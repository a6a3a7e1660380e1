// RequestFacts.h: what a caller's request says, typed once at the edge.
#ifndef caraway_decide_RequestFacts_h
#define caraway_decide_RequestFacts_h

#include <cstdint>
#include <optional>
#include <string>

#include "caraway/Time.h"

namespace caraway {

struct RequestFacts
{
  std::string mId; // of this attempt of the caller's
  std::string mHost;
  std::string mPath; // without the query
  std::string mKey;  // "" = none shown
  std::string mModel;
  std::string mAdapter; // of mModel; "" = none
  std::optional<double> mPromptTokens;
  std::optional<double> mOutputTokens; // at most
  std::optional<Millis> mDeadline;     // how long the caller will wait
  std::string mLastEvent;              // a stream goes on after it
};

// What a server's answer says beside its body.
struct AnswerFacts
{
  bool mFromServer = false; // it is a server's own answer
  bool mNotRun = false;     // proof that the request didn't run
  bool mEncoded = false;    // its body isn't the server's plain one
  std::string mId;          // of the request that it answers
  std::string mServer;      // that refused it, when it told its identity
};

} // namespace caraway

#endif
