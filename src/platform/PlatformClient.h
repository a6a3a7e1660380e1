// PlatformClient.h: HTTP client for the platform's object API.
#ifndef caraway_platform_PlatformClient_h
#define caraway_platform_PlatformClient_h

#include <mutex>
#include <random>

#include "caraway/Clock.h"
#include "net/HttpPool.h"
#include "platform/PlatformApi.h"
#include "platform/PlatformCounts.h"

namespace caraway {

struct PlatformClientSettings
{
  std::string mAddress;         // ip:port
  Millis mTimeout{ 1000 };      // per attempt
  int mMaxAttempts = 3;         // attempts of a read, or to resolve a write
  Millis mBackoff{ 50 };        // first pause; doubles, jittered
  double mCallsPerSecond = 200; // this instance's call budget
};

class PlatformClient : public PlatformApi
{
public:
  PlatformClient(PlatformClientSettings aSettings, const Clock& aClock);

  Result<PlatformObject> Read(const std::string& aKind,
                              const std::string& aName) override;
  Result<std::vector<PlatformObject>> List(const std::string& aKind,
                                           const std::string& aPrefix) override;
  WriteResult Write(const PlatformWrite& aWrite) override;
  Result<PlatformObject> Watch(const std::string& aKind,
                               const std::string& aName,
                               int64_t aAfter,
                               Millis aWithin) override;
  Result<std::vector<InstanceInfo>> Instances() override;

  const PlatformCounts& Counts() const { return mCounts; }
  // Time of the platform's last answer of any kind; zero time point if it never
  // answered.
  TimePoint LastAnswer() const;

private:
  HttpReply Send(const HttpCall& aCall);
  HttpReply SendWithRetries(const HttpCall& aCall);
  HttpReply SendWriteOnce(const PlatformWrite& aWrite);
  WriteResult Resolve(const PlatformWrite& aWrite);
  bool TakeCallBudget();
  void Pause(int aAttempt);

  PlatformClientSettings mSettings;
  const Clock& mClock;
  HttpPool mPool;
  PlatformCounts mCounts;
  mutable std::mutex mLock;
  std::mt19937 mRandom;
  double mCallBudget;
  TimePoint mCallBudgetAt;
  TimePoint mLastAnswer{};
};

} // namespace caraway

#endif
