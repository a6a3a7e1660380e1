// CrashWatch.h: which requests crash servers, as the requests in flight see and
// tell it; implemented by CrashReports.
#ifndef caraway_entry_CrashWatch_h
#define caraway_entry_CrashWatch_h

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "caraway/Time.h"
#include "decide/BrokenServers.h"

namespace caraway {

using PromptParts = std::vector<std::string>; // ids

// Separated by commas, for logs.
std::string
Joined(const PromptParts& aNames);

class CrashWatch
{
public:
  virtual ~CrashWatch() = default;

  // Nothing is suspected or expected, so that no request has to be looked at.
  virtual bool Idle() const = 0;

  // A request broke off before its answer had come far.
  virtual void OnBroken(const ServerLife& aLife, const PromptParts& aParts) = 0;
  // The end of its connection completed an answer that had not come far.
  virtual void OnUnsureEnd(const ServerLife& aLife,
                           const PromptParts& aParts) = 0;
  // A server answered well, or has been answering for a while.
  virtual void OnGoodAnswer(const PromptParts& aParts) = 0;
  // Bytes came for a request that was sent at aSentAt.
  virtual void OnBytes(const ServerLife& aLife, TimePoint aSentAt) = 0;

  // The parts for which a request is refused, and when to come back; nothing if
  // it isn't.
  struct Block
  {
    PromptParts mParts;
    Millis mRetryAfter{ 0 };
    bool mProbeDue = false; // one request may find out whether it still crashes
  };
  virtual std::optional<Block> BlockOf(const PromptParts& aParts) const = 0;
  // One of the parts was in several crashes.
  virtual bool Suspected(const PromptParts& aParts) const = 0;
  // Asks for the permission to send a request with blocked parts as a probe,
  // which one request of all instances gets. Calls aDone once, later.
  virtual void RequestProbe(const PromptParts& aParts,
                            std::function<void(bool aGranted)> aDone) = 0;
};

} // namespace caraway

#endif
