// ColdServerLimit.h: this instance's part of the requests that a cold server
// may get in a second.
//
// A server that has just started is slow, and fails above a rate. Its permits
// are divided among the instances of its zone by the store's list alone, so
// that no message is needed while a server is cold. Adding an instance to a
// list never gives another one more permits; so instances whose lists contain
// each other never use more than all permits together, however else their
// lists differ.
#ifndef caraway_decide_ColdServerLimit_h
#define caraway_decide_ColdServerLimit_h

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

// What a service's configuration says of its servers while they are cold.
struct ColdSpec
{
  Millis mStart{ 0 };    // time for which a server is cold after its start
  double mPerSecond = 0; // requests that a cold server bears; 0 = no limit
};

struct ColdLimitSettings
{
  std::string mName; // of this instance
  std::string mZone;
  // In a second a cold server may get mPerSecond * mOverage + mSlack requests,
  // from all instances together.
  double mOverage = 1;
  double mSlack = 0;
};

// Names of the instances in the store's list, by zone.
using InstancesByZone = std::map<std::string, std::vector<std::string>>;

// The permits of a server per second, over all instances. Two groups of
// instances whose lists don't contain each other stay within the bound.
int
ColdPermits(double aPerSecond, double aOverage, double aSlack);

// aSelf's part of aPermits among aMembers; 0 if it is not one of them.
int
ColdShare(const std::vector<std::string>& aMembers,
          const std::string& aSelf,
          const std::string& aServer,
          int aPermits);

class ColdServerLimit
{
public:
  // A permit is free again this long after it was spent.
  static constexpr Millis kWindow{ 1000 };
  // An instance that hasn't run for this long may have been removed from the
  // list meanwhile. Shorter than ZoneMembers::kSilenceTimeout.
  static constexpr Millis kMaxStandstill{ 2000 };
  // A newcomer counts for this long though a list lacks it: a list may come
  // from a cache of the store.
  static constexpr Millis kNewcomerTime{ 15000 };

  void Configure(ColdLimitSettings aSettings);

  // To be called often, and before a list is applied. Returns false if this
  // instance stood still for long: it has no permits until it has read a list
  // that was requested afterwards.
  bool OnRunning(TimePoint aNow);
  // The store's list, as returned to a call started at aRequestedAt.
  void OnListed(InstancesByZone aInstances,
                TimePoint aRequestedAt,
                TimePoint aNow);
  // An instance has joined this zone and isn't listed yet.
  void OnNewcomer(const std::string& aName, TimePoint aNow);
  void OnLeft(const std::string& aName);
  // The other instances of this zone count this one. It spends no permit before
  // they do.
  void OnCounted(TimePoint aNow);

  // When this instance may send the server a request: aNow if it may at once.
  // Nothing if it has no part of the server's permits.
  std::optional<TimePoint> NextPermit(const std::string& aServer,
                                      const std::string& aZone,
                                      double aPerSecond,
                                      TimePoint aNow);
  void Spend(const std::string& aServer, TimePoint aNow);

private:
  struct Part
  {
    std::string mZone;
    double mPerSecond = 0;
    int mPermits = 0;
  };
  struct Newcomer
  {
    std::string mName;
    TimePoint mAt{};
  };

  bool Listed() const;
  void UpdateSettled(TimePoint aRequestedAt, TimePoint aNow);
  void AddNewcomers(TimePoint aNow);
  void ForgetSpent(TimePoint aNow);
  std::vector<std::string> MembersFor(const std::string& aZone) const;
  // When this instance may begin to spend permits of servers in aZone.
  std::optional<TimePoint> SpendsFrom(const std::string& aZone) const;
  int PartOf(const std::string& aServer,
             const std::string& aZone,
             double aPerSecond);

  ColdLimitSettings mSettings;
  InstancesByZone mInstances; // empty until a list is read
  std::vector<Newcomer> mNewcomers;
  TimePoint mRunningAt{};              // last OnRunning()
  TimePoint mListsFrom{};              // older lists are ignored
  std::optional<TimePoint> mCountedAt; // since the last standstill
  std::optional<TimePoint> mListedAt;  // the same; own entry first read
  std::optional<TimePoint> mSettledAt; // the same; all others have read it
  bool mFirstOfZone = false;           // as of mListedAt
  std::map<std::string, Part> mParts;  // by server, for mInstances
  std::map<std::string, std::deque<TimePoint>> mSpent; // by server
};

} // namespace caraway

#endif
