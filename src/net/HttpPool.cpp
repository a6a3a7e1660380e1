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
  SessionPtr kept = aCall.mResend ? Take(aCall.mAddress) : nullptr;
  if (kept) {
    HttpReply reply = HttpExchange(*kept, aCall, true);
    if (reply.mStage == HttpStage::Answered) {
      Put(aCall.mAddress, std::move(kept));
      return reply;
    }
    if (reply.mStatus != 0) {
      return reply;
    }
  }
  HttpReply reply;
  Poco::Net::StreamSocket socket = HttpConnect(aCall, reply.mError);
  if (!reply.mError.empty()) {
    return reply;
  }
  auto session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
  session->setKeepAlive(true);
  // POCO drops kept sessions itself after this; ours decides by trying.
  session->setKeepAliveTimeout(Poco::Timespan(3600, 0));
  reply = HttpExchange(*session, aCall, true);
  if (reply.mStage == HttpStage::Answered) {
    Put(aCall.mAddress, std::move(session));
  }
  return reply;
}

} // namespace caraway
