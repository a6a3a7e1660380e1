#include "net/ChannelPool.h"

#include <algorithm>

#include "base/EventLog.h"

namespace caraway {

ChannelPool::ChannelPool(Reactor& aReactor)
  : mReactor(aReactor)
{
}

void
ChannelPool::LogRejected(const std::string& aAddress,
                         const std::string& aPeer,
                         const char* aWrong) const
{
  if (mLog) {
    mLog->Line("answer_rejected")
      .Text("address", aAddress)
      .Text("server", aPeer)
      .Text("wrong", aWrong);
  }
}

std::shared_ptr<Channel>
ChannelPool::Take(const std::string& aAddress,
                  const std::string& aPeer,
                  double aMaxShare,
                  const RequestIdentity& aNext)
{
  auto found = mIdle.find({ aAddress, aPeer });
  if (found == mIdle.end()) {
    return nullptr;
  }
  std::vector<IdleChannel>& idle = found->second;
  // The most recently used one first, so that the others can time out.
  for (size_t at = idle.size(); at-- > 0;) {
    if (!idle[at].mChannel->Carried().MayCarry(aNext)) {
      continue;
    }
    auto place = idle.begin() + static_cast<std::ptrdiff_t>(at);
    IdleChannel last = std::move(*place);
    place = idle.erase(place);
    auto age = std::chrono::duration_cast<Millis>(mReactor.Now() - last.mSince);
    // The server may have closed it meanwhile.
    last.mChannel->ReadAvailable();
    bool fresh =
      age.count() < aMaxShare * static_cast<double>(last.mIdleTimeout.count());
    if (last.mChannel->Open() && last.mChannel->Input().empty() && fresh) {
      return last.mChannel;
    }
    if (!fresh) {
      idle.insert(place, std::move(last));
      return nullptr;
    }
    last.mChannel->Close();
  }
  return nullptr;
}

void
ChannelPool::Keep(const std::string& aAddress,
                  const std::string& aPeer,
                  std::shared_ptr<Channel> aChannel,
                  Millis aIdleTimeout)
{
  if (!aChannel->Carried().Reusable()) {
    aChannel->Close();
    return;
  }
  // Input on an idle connection belongs to no request: it is a second or late
  // answer. The connection is closed, so that the input can't be taken for the
  // answer to the next request.
  Channel* raw = aChannel.get();
  Channel::Events events;
  events.mData = [raw] { raw->Close(); };
  aChannel->SetEvents(std::move(events));
  mIdle[{ aAddress, aPeer }].push_back(
    { std::move(aChannel), mReactor.Now(), aIdleTimeout });
}

void
ChannelPool::Sweep()
{
  for (auto at = mIdle.begin(); at != mIdle.end();) {
    auto& idle = at->second;
    auto dead = [this](const IdleChannel& aIdle) {
      bool old = mReactor.Now() - aIdle.mSince > aIdle.mIdleTimeout;
      if (old) {
        aIdle.mChannel->Close();
      }
      return old || !aIdle.mChannel->Open();
    };
    idle.erase(std::remove_if(idle.begin(), idle.end(), dead), idle.end());
    at = idle.empty() ? mIdle.erase(at) : std::next(at);
  }
}

void
ChannelPool::Drop(const std::string& aAddress, const std::string& aPeer)
{
  auto found = mIdle.find({ aAddress, aPeer });
  if (found == mIdle.end()) {
    return;
  }
  for (IdleChannel& idle : found->second) {
    idle.mChannel->Close();
  }
  mIdle.erase(found);
}

} // namespace caraway
