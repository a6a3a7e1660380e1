// ChatReply.h: a chat answer as JSON or as server-sent events.
#ifndef caraway_serve_ChatReply_h
#define caraway_serve_ChatReply_h

#include <string>

#include "serve/CallerAnswer.h"
#include "serve/ModelCalls.h"

namespace caraway {

Json::Value
ChatCompletionJson(const ModelCall& aCall, const ModelAnswer& aAnswer);

// Headers go out with the first token, so that a refusal before it still has
// a status of its own.
class ChatStream
{
public:
  ChatStream(CallerAnswer& aAnswer, const ModelCall& aCall);

  bool Begun() const { return mAnswer.Streaming(); }
  bool Token(const std::string& aText); // false: the caller has gone
  void Finish(const std::string& aReason);
  // An error event in place of the end marker: a stream that ends without
  // either was cut, and no short answer looks complete.
  void Break(const Failure& aFailure);

private:
  Json::Value Chunk() const;

  CallerAnswer& mAnswer;
  const ModelCall& mCall;
};

} // namespace caraway

#endif
