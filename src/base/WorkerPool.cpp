#include "base/WorkerPool.h"

#include "base/Log.h"

namespace caraway {

WorkerPool::WorkerPool(int aThreads)
{
  for (int i = 0; i < aThreads; ++i) {
    mThreads.emplace_back([this] { Work(); });
  }
}

WorkerPool::~WorkerPool()
{
  {
    std::lock_guard<std::mutex> lock(mLock);
    mStopping = true;
  }
  mWake.notify_all();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
WorkerPool::Submit(std::function<void()> aJob)
{
  {
    std::lock_guard<std::mutex> lock(mLock);
    mJobs.push_back(std::move(aJob));
  }
  mWake.notify_one();
}

bool
WorkerPool::Idle() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mJobs.empty() && mRunning == 0;
}

void
WorkerPool::Work()
{
  std::unique_lock<std::mutex> lock(mLock);
  for (;;) {
    mWake.wait(lock, [this] { return mStopping || !mJobs.empty(); });
    if (mJobs.empty()) {
      return;
    }
    std::function<void()> job = std::move(mJobs.front());
    mJobs.pop_front();
    ++mRunning;
    lock.unlock();
    try {
      job();
    } catch (const std::exception& error) {
      LogWarn("job_failed", { { "reason", error.what() } });
    }
    lock.lock();
    --mRunning;
  }
}

} // namespace caraway
