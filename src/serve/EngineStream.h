// EngineStream.h: one generation at an engine, checked token by token.
#ifndef caraway_serve_EngineStream_h
#define caraway_serve_EngineStream_h

#include <functional>
#include <json/json.h>
#include <string>
#include <vector>

#include "caraway/RequestClass.h"
#include "caraway/Time.h"

namespace caraway {

struct GenerateCall
{
  std::string mAddress;
  std::string mRequestId;
  std::string mModel;
  std::string mVersion;
  std::string mAdapter;
  Json::Value mMessages;
  int mMaxTokens = 1;
  RequestClass mClass = RequestClass::Interactive; // the engine's priority
  std::vector<std::string> mSoFar;                 // tokens to go on after
  Millis mFirstToken{ 1400 }; // silence before the first token
  Millis mStall{ 10000 };     // silence between tokens
};

enum class GenerateOutcome
{
  NotOffered, // no connection came about
  Gone,       // refused before running: it hasn't the model
  Complete,   // end marker seen and all tokens before it
  Stopped,    // aOnToken returned false
  Broken,     // cut, stalled, of another request, or out of order
};

struct GenerateResult
{
  GenerateOutcome mEnd = GenerateOutcome::NotOffered;
  std::string mReason; // finish reason, or what broke
};

// aOnToken gets each token once and in order; false stops the engine, by
// closing the connection. A token is passed on only if it carries our request
// id and the next index: an answer that came late or crossed is cut off there.
GenerateResult
EngineGenerate(const GenerateCall& aCall,
               const std::function<bool(const std::string&)>& aOnToken);

} // namespace caraway

#endif
