// Ticker.h: a thread that does one thing again and again.
#ifndef caraway_base_Ticker_h
#define caraway_base_Ticker_h

#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

#include "caraway/Time.h"

namespace caraway {

// The pause between rounds is jittered by a quarter: instances started by one
// command would otherwise all call the platform in the same moment for ever.
class Ticker
{
public:
  Ticker(Millis aEvery, std::function<void()> aRound);
  ~Ticker();
  void TriggerNow(); // next round now
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
