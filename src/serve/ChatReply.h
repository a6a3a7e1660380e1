// ChatReply.h: encodes a chat answer as JSON or as server-sent events.
#ifndef caraway_serve_ChatReply_h
#define caraway_serve_ChatReply_h

#include <string>

#include "serve/CallerAnswer.h"
#include "serve/ModelCalls.h"

namespace caraway {

Json::Value
ChatCompletionJson(const ModelCall& aCall, const ModelAnswer& aAnswer);

// Sends the response head with the first token, so that an earlier refusal can
// still set its own status.
class ChatStream
{
public:
  ChatStream(CallerAnswer& aAnswer, const ModelCall& aCall);

  bool Begun() const { return mAnswer.Streaming(); }
  bool Token(const std::string& aText); // false: the caller has disconnected
  void Finish(const std::string& aReason);
  // Sends an error event instead of the end marker. A stream with neither was
  // cut off, so a short answer never looks complete.
  void SendError(const Failure& aFailure);

private:
  Json::Value Chunk() const;

  CallerAnswer& mAnswer;
  const ModelCall& mCall;
};

} // namespace caraway

#endif
