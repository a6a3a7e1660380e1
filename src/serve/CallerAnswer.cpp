#include "serve/CallerAnswer.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPChunkedStream.h>

#include "base/JsonText.h"
#include "base/Log.h"
#include "serve/Problem.h"

namespace caraway {

CallerAnswer::CallerAnswer(Response& aResponse,
                           std::string aRequestId,
                           RunState aBefore)
  : mResponse(aResponse)
  , mRequestId(std::move(aRequestId))
  , mRun(aBefore)
{
}

bool
CallerAnswer::Begin()
{
  std::lock_guard<std::timed_mutex> lock(mLock);
  mBegun = true;
  mRun = RunState::MayHaveRun;
  return !mDone;
}

bool
CallerAnswer::Send(const std::function<void(Response&)>& aWrite)
{
  std::lock_guard<std::timed_mutex> lock(mLock);
  if (mDone || mResponse.sent()) {
    return false;
  }
  mDone = true;
  aWrite(mResponse);
  return true;
}

bool
CallerAnswer::SendEvent(const char* aName, const std::string& aData)
{
  std::lock_guard<std::timed_mutex> lock(mLock);
  return !mDone && WriteEvent(aName, aData);
}

void
CallerAnswer::EndEvents()
{
  std::lock_guard<std::timed_mutex> lock(mLock);
  mDone = true;
}

bool
CallerAnswer::Streaming() const
{
  std::lock_guard<std::timed_mutex> lock(mLock);
  return mOut != nullptr;
}

bool
CallerAnswer::WriteEvent(const char* aName, const std::string& aData)
{
  try {
    if (!mOut) {
      mResponse.setStatus(Poco::Net::HTTPResponse::HTTP_OK);
      mResponse.setContentType("text/event-stream");
      mResponse.set("Cache-Control", "no-store");
      mResponse.set("X-Request-Id", mRequestId);
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

void
CallerAnswer::CloseStream()
{
  try {
    if (auto* chunks = dynamic_cast<Poco::Net::HTTPChunkedIOS*>(mOut)) {
      chunks->rdbuf()->close();
    }
  } catch (const Poco::Exception&) {
    // The caller has disconnected.
  }
}

bool
CallerAnswer::AnswerShuttingDown(const std::string& aWhy)
{
  // If the lock is held for longer, the handler is writing to a caller that
  // doesn't read; its response counts as cut off.
  constexpr Millis kLockTimeout{ 5 };
  std::unique_lock<std::timed_mutex> lock(mLock, kLockTimeout);
  if (!lock.owns_lock()) {
    return true;
  }
  if (mDone) {
    return false;
  }
  mDone = true;
  Failure failure = FailureOf(ErrorKind::ShuttingDown, aWhy);
  failure.mRun = mRun;
  LogInfo("given_up",
          { { "request", mRequestId },
            { "run", RunStateName(mRun) },
            { "stream", mOut ? "yes" : "no" } });
  mResponse.setKeepAlive(false);
  if (mOut) {
    WriteEvent("error", JsonWrite(ProblemJson(failure, mRequestId)));
    CloseStream();
    return mBegun;
  }
  try {
    ProblemSendNow(mResponse, failure, mRequestId);
  } catch (const Poco::Exception&) {
    // The caller has disconnected.
  }
  return mBegun;
}

} // namespace caraway
