// WorkerPool.h: a few threads for work that outlives the request causing it.
#ifndef caraway_base_WorkerPool_h
#define caraway_base_WorkerPool_h

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace caraway {

class WorkerPool
{
public:
  explicit WorkerPool(int aThreads);
  ~WorkerPool(); // runs all submitted jobs first

  void Submit(std::function<void()> aJob);
  // True if no job is running or waiting.
  bool Idle() const;

private:
  void Work();

  mutable std::mutex mLock;
  std::condition_variable mWake;
  std::deque<std::function<void()>> mJobs;
  std::vector<std::thread> mThreads;
  int mRunning = 0;
  bool mStopping = false;
};

} // namespace caraway

#endif
