// RequestEnds.h: under which requests servers ended, one after the other.
//
// A request that ends the server that runs it is sent again: to another server
// by its instance, under a new id and to another instance by its caller, who
// may also take up its stream. No instance sees more than a few of these runs.
// So every instance tells the others, and the store, under which requests a
// server ended. Once kMost servers have ended under a request, one after the
// other, it is sent to none any more.
//
// Requests are known by names, see Exchange::Names(). Equal requests of
// several callers have one name; servers that end under them at one moment
// count once, and a complete answer clears what was before it.
#ifndef caraway_decide_RequestEnds_h
#define caraway_decide_RequestEnds_h

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

// A server ended while it ran a request.
struct RunEnd
{
  std::string mRequest; // its name
  std::string mLife;    // names the server's process
  TimePoint mSentAt{};  // of the run
  TimePoint mEndedAt{};
  int mBefore = 0; // ends that were known as the run was sent
};

class RequestEnds
{
public:
  // Servers that end under a request before it is refused.
  static constexpr int kMost = 3;

  // Returns false if that is known, or known not to count.
  bool OnEnd(const RunEnd& aEnd, TimePoint aNow);
  // A server answered the request well, by aAt. Returns whether that changes
  // anything.
  bool OnServed(const std::string& aRequest, TimePoint aAt);
  // Bytes of a run that was sent at aSentAt. Returns true if they show that the
  // server has not ended, though it had been taken for it.
  bool OnBytes(const std::string& aLife, TimePoint aSentAt, TimePoint aNow);
  // By aAt, the server had not ended.
  void OnAlive(const std::string& aLife, TimePoint aAt);
  void ForgetOld(TimePoint aNow);

  bool Empty() const { return mRequests.empty(); }
  size_t Size() const { return mRequests.size(); }
  // Servers that ended under the request, one after the other.
  int Count(const std::string& aRequest) const;
  // The time at which a refused request is forgotten; nothing if it may be
  // sent.
  std::optional<TimePoint> RefusedUntil(const std::string& aRequest) const;
  size_t Refused() const;
  // The latest ends that count, those of refused requests first.
  std::vector<RunEnd> Latest(size_t aMost) const;

private:
  struct Request
  {
    std::map<std::string, RunEnd> mEnds; // by life
    TimePoint mServedAt{};
  };

  static int CountOf(const Request& aRequest);
  static TimePoint LastOf(const Request& aRequest);
  static TimePoint ForgottenAt(const Request& aRequest);
  bool Counts(const RunEnd& aEnd, const Request& aRequest) const;
  void Evict();

  std::map<std::string, Request> mRequests;  // by name
  std::map<std::string, TimePoint> mEndedAt; // by life, lately
  std::map<std::string, TimePoint> mAliveAt; // by life
};

} // namespace caraway

#endif
