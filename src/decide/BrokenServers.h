// BrokenServers.h: which servers ended while this instance's requests ran on
// them, and which parts those requests had.
//
// A server that ends closes all its connections at once. A connection that ends
// alone is no crash: a server that goes on shows that within a moment, by an
// answer to a later request or by more of an older one. Once it has shown that,
// further connections that it ends prove nothing without the list of servers.
#ifndef caraway_decide_BrokenServers_h
#define caraway_decide_BrokenServers_h

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "caraway/Time.h"
#include "decide/CrashSuspects.h"

namespace caraway {

// One process of a server. A server may start again under its id.
struct ServerLife
{
  std::string mServer;    // id
  int64_t mStartTime = 0; // by its entry, Unix ms

  std::string Name() const
  {
    return mServer + "@" + std::to_string(mStartTime);
  }
};

// The end of a server, for the other instances.
struct CrashReport
{
  CrashSighting mCrash;
  std::set<std::string> mParts; // of requests that it had just begun, or not
};

class BrokenServers
{
public:
  // A request with these parts broke off before its answer had come far.
  void OnBroken(const ServerLife& aLife,
                const std::vector<std::string>& aParts,
                TimePoint aNow);
  // A connection ended without an answer, or soon completed one that has no
  // length: whole, or broken off between two events.
  void OnUnsureEnd(const ServerLife& aLife,
                   const std::vector<std::string>& aParts,
                   TimePoint aNow);
  // The server has ended, by another instance, or, without a time, by the list
  // of servers. The end that another instance tells of is remembered, as this
  // instance may know better; see OnBytes().
  void OnEnded(const std::string& aLife,
               std::optional<TimePoint> aAt,
               TimePoint aNow);
  // The server sent bytes for a request that was sent to it at aSentAt. Returns
  // true if that shows that it has not ended, though it had been taken for it.
  bool OnBytes(const ServerLife& aLife, TimePoint aSentAt, TimePoint aNow);
  // The server has shown that it goes on, here or to another instance.
  void OnRefuted(const std::string& aLife, TimePoint aNow);
  bool Refuted(const std::string& aLife) const
  {
    return mRefuted.count(aLife) > 0;
  }
  // The reports that are due.
  std::vector<CrashReport> TakeReports(TimePoint aNow);

  // Nothing is expected of any server.
  bool Empty() const { return mEnds.empty(); }
  // Servers whose answers ended unsurely, by name of their lives.
  std::vector<ServerLife> Unsure() const;

private:
  struct End
  {
    ServerLife mLife;
    TimePoint mAt{};        // when it was noticed
    bool mSure = false;     // a connection broke, not only an unsure end
    bool mReported = false; // mParts were taken
    std::set<std::string> mParts;
  };

  static void SetSure(End& aEnd, TimePoint aAt);
  End& Add(const ServerLife& aLife, TimePoint aNow);
  void Forget(TimePoint aNow);

  std::map<std::string, End> mEnds; // by name of the life
  // When lives were last refuted to have ended, by name.
  std::map<std::string, TimePoint> mRefuted;
};

} // namespace caraway

#endif
