#include "net/HttpPool.h"

#include "net/HttpExchange.h"

namespace caraway {

HttpPool::HttpPool(size_t aIdlePerAddress)
  : mIdlePerAddress(aIdlePerAddress)
{
}

HttpPool::SessionPtr
HttpPool::Take(const std::string& aAddress)
{
  std::lock_guard<std::mutex> lock(mLock);
  auto found = mIdle.find(aAddress);
  if (found == mIdle.end() || found->second.empty()) {
    return nullptr;
  }
  SessionPtr session = std::move(found->second.back());
  found->second.pop_back();
  return session;
}

void
HttpPool::Put(const std::string& aAddress, SessionPtr aSession)
{
  std::lock_guard<std::mutex> lock(mLock);
  auto& idle = mIdle[aAddress];
  if (idle.size() < mIdlePerAddress) {
    idle.push_back(std::move(aSession));
  }
}

HttpReply
HttpPool::Call(const HttpCall& aCall)
{
  auto startedAt = std::chrono::steady_clock::now();
  SessionPtr session = aCall.mResend ? Take(aCall.mAddress) : nullptr;
  if (!session) {
    return CallOnNewSession(aCall);
  }
  HttpReply first = HttpExchange(*session, aCall, true);
  bool answered = first.mStage == HttpStage::Answered;
  if (answered && (!aCall.mIsOwn || aCall.mIsOwn(first))) {
    Put(aCall.mAddress, std::move(session));
    return first;
  }
  session.reset();
  if (answered) {
    first = HttpReply();
    first.mStage = HttpStage::Lost;
    first.mError = "answer to another call";
  }
  // Usually the other side had closed the idle connection. If it was silent
  // instead, the call's time is used up, and a retry would double it.
  HttpCall second = aCall;
  second.mTimeout -= std::chrono::duration_cast<Millis>(
    std::chrono::steady_clock::now() - startedAt);
  if (first.mStatus != 0 || second.mTimeout <= Millis(0)) {
    return first;
  }
  HttpReply reply = CallOnNewSession(second);
  reply.mResent = true;
  if (reply.mStage == HttpStage::NotSent) {
    // It was written to the pooled connection; whether it was read is unknown.
    reply.mStage = HttpStage::Lost;
  }
  return reply;
}

HttpReply
HttpPool::CallOnNewSession(const HttpCall& aCall)
{
  HttpReply reply;
  Poco::Net::StreamSocket socket = HttpConnect(aCall, reply.mError);
  if (!reply.mError.empty()) {
    return reply;
  }
  auto session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
  session->setKeepAlive(true);
  // POCO silently reconnects a session that has been idle for longer than this.
  // The pool tries the idle connection instead, and retries in Call().
  session->setKeepAliveTimeout(Poco::Timespan(3600, 0));
  reply = HttpExchange(*session, aCall, true);
  if (reply.mStage == HttpStage::Answered) {
    Put(aCall.mAddress, std::move(session));
  }
  return reply;
}

} // namespace caraway
