// BenchCallers.h: callers behind a balancer, running while faults are injected.
#ifndef caraway_bench_BenchCallers_h
#define caraway_bench_BenchCallers_h

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/Fleet.h"

namespace caraway {

struct BenchCounts
{
  int mAnswered = 0;
  int mRefused = 0;                         // answered with a problem document
  int mCut = 0;                             // no answer, or an incomplete one
  double mSlowest = 0;                      // s, of answered requests
  std::map<std::string, int> mFailureKinds; // number of failures by kind
};

// Each caller sends one request after the other to random instances and skips
// those that don't accept a connection, as a balancer would.
class BenchCallers
{
public:
  BenchCallers(Fleet& aFleet, size_t aCallers);
  ~BenchCallers();

  // Sets the caller address of an instance that was replaced.
  void SetAddress(size_t aInstance, const std::string& aAddress);
  BenchCounts Take(); // counts since the last call

private:
  void Run(unsigned aSeed);
  HttpReply Send(unsigned aInstance, const std::string& aBody);
  void Record(const HttpReply& aReply, double aSeconds);

  std::string mKey;
  std::mutex mLock;
  std::vector<std::string> mAddresses; // by instance
  BenchCounts mCounts;
  std::atomic<bool> mEnding{ false };
  std::vector<std::thread> mThreads;
};

} // namespace caraway

#endif
