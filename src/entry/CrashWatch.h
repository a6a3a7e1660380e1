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
#include "decide/RequestEnds.h"

namespace caraway {

using PromptParts = std::vector<std::string>; // ids

// By which one request is known over its attempts; see Exchange::Names().
using RequestNames = std::vector<std::string>;

// A run of a request at a server.
struct ServerRunFacts
{
  ServerLife mLife;
  TimePoint mSentAt{};
  int mEndsBefore = 0; // servers that had ended under the request by then
};

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

  // A server ended, or seems to have ended, while it ran the request.
  virtual void OnRunEnded(const RequestNames& aNames,
                          const ServerRunFacts& aRun) = 0;
  // A server gave the request a complete answer.
  virtual void OnServed(const RequestNames& aNames) = 0;
  // Servers that ended under the request, one after the other.
  virtual int EndsOf(const RequestNames& aNames) const = 0;
  // So many servers have ended under the request that it is sent to none: for
  // how long.
  virtual std::optional<Millis> RefusedFor(
    const RequestNames& aNames) const = 0;
  // Calls aDone once, later: when every instance can find out about the ends so
  // far, whatever is killed, or when that takes too long.
  virtual void WhenEndsStored(std::function<void()> aDone) = 0;
  // What was stored before this process started is known, or can't be read.
  virtual bool EndsKnown() const = 0;

  // Asks for the permission to send a request with blocked parts as a probe,
  // which one request of all instances gets. Calls aDone once, later.
  virtual void RequestProbe(const PromptParts& aParts,
                            std::function<void(bool aGranted)> aDone) = 0;
};

} // namespace caraway

#endif
