#include "serve/ChatReply.h"

#include "base/JsonText.h"
#include "serve/Problem.h"

namespace caraway {

Json::Value
ChatWholeJson(const ModelCall& aCall, const ModelAnswer& aAnswer)
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

ChatStream::ChatStream(Poco::Net::HTTPServerResponse& aResponse,
                       const ModelCall& aCall)
  : mResponse(aResponse)
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
ChatStream::Event(const char* aName, const std::string& aData)
{
  try {
    if (!mOut) {
      mResponse.setStatus(Poco::Net::HTTPResponse::HTTP_OK);
      mResponse.setContentType("text/event-stream");
      mResponse.set("Cache-Control", "no-store");
      mResponse.set("X-Request-Id", mCall.mContext.mId);
      mResponse.setChunkedTransferEncoding(true);
      mOut = &mResponse.send();
    }
    if (aName) {
      *mOut << "event: " << aName << "\n";
    }
    *mOut << "data: " << aData << "\n\n" << std::flush;
    return mOut->good();
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool
ChatStream::Token(const std::string& aText)
{
  Json::Value chunk = Chunk();
  chunk["choices"][0]["delta"]["content"] = aText;
  return Event(nullptr, JsonWrite(chunk));
}

void
ChatStream::Finish(const std::string& aReason)
{
  Json::Value chunk = Chunk();
  chunk["choices"][0]["finish_reason"] = aReason;
  Event(nullptr, JsonWrite(chunk));
  Event(nullptr, "[DONE]");
}

void
ChatStream::Break(const Failure& aFailure)
{
  Event("error", JsonWrite(ProblemJson(aFailure, mCall.mContext.mId)));
}

} // namespace caraway
