#include "serve/ChatReply.h"

#include "base/JsonText.h"
#include "serve/Problem.h"

namespace caraway {

Json::Value
ChatCompletionJson(const ModelCall& aCall, const ModelAnswer& aAnswer)
{
  std::string text;
  for (const std::string& token : aAnswer.mTokens) {
    text += token;
  }
  Json::Value json;
  json["id"] = aCall.mContext.mId;
  json["object"] = "chat.completion";
  json["model"] = aCall.mContext.mProfile.mName;
  json["choices"][0]["index"] = 0;
  json["choices"][0]["message"]["role"] = "assistant";
  json["choices"][0]["message"]["content"] = text;
  json["choices"][0]["finish_reason"] = aAnswer.mFinish;
  json["usage"]["prompt_tokens"] = aAnswer.mPromptTokens;
  json["usage"]["completion_tokens"] = static_cast<int>(aAnswer.mTokens.size());
  return json;
}

ChatStream::ChatStream(CallerAnswer& aAnswer, const ModelCall& aCall)
  : mAnswer(aAnswer)
  , mCall(aCall)
{
}

Json::Value
ChatStream::Chunk() const
{
  Json::Value json;
  json["id"] = mCall.mContext.mId;
  json["object"] = "chat.completion.chunk";
  json["model"] = mCall.mContext.mProfile.mName;
  json["choices"][0]["index"] = 0;
  json["choices"][0]["delta"] = Json::Value(Json::objectValue);
  return json;
}

bool
ChatStream::Token(const std::string& aText)
{
  Json::Value chunk = Chunk();
  chunk["choices"][0]["delta"]["content"] = aText;
  return mAnswer.SendEvent(nullptr, JsonWrite(chunk));
}

void
ChatStream::Finish(const std::string& aReason)
{
  Json::Value chunk = Chunk();
  chunk["choices"][0]["finish_reason"] = aReason;
  mAnswer.SendEvent(nullptr, JsonWrite(chunk));
  mAnswer.SendEvent(nullptr, "[DONE]");
  mAnswer.EndEvents();
}

void
ChatStream::SendError(const Failure& aFailure)
{
  mAnswer.SendEvent("error",
                    JsonWrite(ProblemJson(aFailure, mCall.mContext.mId)));
  mAnswer.EndEvents();
}

} // namespace caraway
