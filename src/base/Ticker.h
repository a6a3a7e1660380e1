// Ticker.h: a thread that runs a function periodically.
#ifndef caraway_base_Ticker_h
#define caraway_base_Ticker_h

#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

#include "caraway/Time.h"

namespace caraway {

// The pause between rounds is jittered by a quarter. Otherwise instances
// started by one command would call the platform at the same moments forever.
class Ticker
{
public:
  Ticker(Millis aEvery, std::function<void()> aRound);
  ~Ticker();
  void TriggerNow(); // starts the next round immediately
  void Stop();

private:
  void Run();

  Millis mInterval;
  std::function<void()> mRound;
  std::mutex mLock;
  std::condition_variable mWake;
  bool mWoken = false;
  bool mStopping = false;
  std::mt19937 mRandom{ std::random_device{}() };
  std::thread mThread;
};

} // namespace caraway

#endif
