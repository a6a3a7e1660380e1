// EngineStream.h: runs one generation at an engine and checks every token.
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
  std::vector<std::string> mSoFar;                 // tokens to resume after
  Millis mFirstToken{ 1400 }; // timeout for the first token
  Millis mStall{ 10000 };     // timeout between tokens
};

enum class GenerateOutcome
{
  NotSent,      // the connection failed; nothing was sent
  ModelMissing, // refused before running: model not loaded
  Complete,     // end marker received after all tokens
  Stopped,      // aOnToken returned false
  Broken,       // cut off, stalled, out of order or of another request
};

struct GenerateResult
{
  GenerateOutcome mOutcome = GenerateOutcome::NotSent;
  std::string mReason; // finish reason, or description of the failure
  bool mEnded = false; // Broken: the engine ended the connection
};

// Calls aOnToken for each token once and in order; if it returns false the
// connection is closed, which stops the engine. A token is passed on only if it
// carries this request's id and the next index, so an answer that comes late or
// belongs to another request is cut off there.
GenerateResult
EngineGenerate(const GenerateCall& aCall,
               const std::function<bool(const std::string&)>& aOnToken);

} // namespace caraway

#endif
