#include "base/Ticker.h"

#include "base/Log.h"

namespace caraway {

Ticker::Ticker(Millis aEvery, std::function<void()> aRound)
  : mInterval(aEvery)
  , mRound(std::move(aRound))
  , mThread([this] { Run(); })
{
}

Ticker::~Ticker()
{
  Stop();
}

void
Ticker::TriggerNow()
{
  std::lock_guard<std::mutex> lock(mLock);
  mWoken = true;
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
    mWoken = false;
    lock.unlock();
    try {
      mRound();
    } catch (const std::exception& error) {
      LogWarn("round_failed", { { "reason", error.what() } });
    }
    lock.lock();
    int64_t jitter = mInterval.count() / 4;
    std::uniform_int_distribution<int64_t> distribution(-jitter, jitter);
    Millis pause(mInterval.count() + distribution(mRandom));
    mWake.wait_for(lock, pause, [this] { return mStopping || mWoken; });
  }
}

} // namespace caraway
