#include "base/Ticker.h"

#include "base/Log.h"

namespace caraway {

Ticker::Ticker(Millis aEvery, std::function<void()> aRound)
  : mEvery(aEvery)
  , mRound(std::move(aRound))
  , mThread([this] { Run(); })
{
}

Ticker::~Ticker()
{
  Stop();
}

void
Ticker::Poke()
{
  std::lock_guard<std::mutex> lock(mLock);
  mPoked = true;
  mWake.notify_all();
}

void
Ticker::Stop()
{
  {
    std::lock_guard<std::mutex> lock(mLock);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
Ticker::Run()
{
  std::unique_lock<std::mutex> lock(mLock);
  while (!mStopping) {
    mPoked = false;
    lock.unlock();
    try {
      mRound();
    } catch (const std::exception& error) {
      LogWarn("round_failed", { { "reason", error.what() } });
    }
    lock.lock();
    int64_t jitter = mEvery.count() / 4;
    std::uniform_int_distribution<int64_t> spread(-jitter, jitter);
    Millis pause(mEvery.count() + spread(mRandom));
    mWake.wait_for(lock, pause, [this] { return mStopping || mPoked; });
  }
}

} // namespace caraway
