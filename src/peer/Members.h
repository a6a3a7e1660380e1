// Members.h: the fleet's instances as this instance knows them.
#ifndef caraway_peer_Members_h
#define caraway_peer_Members_h

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "caraway/Clock.h"
#include "platform/InstanceInfo.h"

namespace caraway {

// Built from the platform's instance list, which may be stale, and from the
// results of calls to peers. Decisions based on it are hints only.
class Members
{
public:
  Members(const Clock& aClock, InstanceInfo aSelf);

  // Takes the platform's list. Members it doesn't name are kept while they were
  // heard from within kForgetAfter, since the list may be stale and isn't
  // available during an outage.
  void UpdateFromList(const std::vector<InstanceInfo>& aList);
  // Addresses on the last list read, or nothing if that list is too old.
  std::optional<std::set<std::string>> ListedAddresses() const;
  // Called when a peer sent its own instance info.
  void RecordHeartbeat(const InstanceInfo& aPeer);
  // Called when a call to a peer ended without an answer. Unanswered calls that
  // fall within kMinUnansweredSpacing of each other count as one.
  void RecordUnansweredCall(const std::string& aAddress);
  // Called when a call with ample time went unanswered. The peer gets no new
  // work until it is heard from again.
  void MarkUnreachable(const std::string& aAddress);

  const InstanceInfo& Self() const { return mSelf; }
  void MarkSelfLeaving();
  // Instances available for new work: neither leaving nor unresponsive.
  // Includes this instance unless it is leaving.
  std::vector<InstanceInfo> AvailableInstancesIn(
    const std::string& aZone) const;
  // Number of zones with an available instance, including this instance's own.
  int AvailableZoneCount() const;
  // Names of these zones without the suspected ones.
  std::set<std::string> RespondingZones() const;
  // Marks a zone as possibly unreachable after calls to two of its instances
  // went unanswered. Otherwise its instances would be found unresponsive one
  // after the other, at the cost of a call's timeout each. Cleared when one of
  // them is heard from.
  void SuspectZone(const std::string& aZone);
  // Number of available instances in all zones; includes this instance unless
  // it is leaving.
  int AvailableCount() const;
  // aId: of another instance.
  bool IsAvailablePeer(const std::string& aId) const;
  // Addresses of listed members that have never been heard from and have no
  // unanswered call.
  std::vector<std::string> UncontactedPeers() const;
  // All other instances that aren't leaving, available or not.
  std::vector<InstanceInfo> Peers() const;
  // Owner of aKey among the available instances of this zone; this instance if
  // there is no other.
  InstanceInfo Owner(const std::string& aKey) const;
  // The same in zone aZone; nothing if it has no available instance.
  std::optional<InstanceInfo> OwnerIn(const std::string& aZone,
                                      const std::string& aKey) const;
  // The same among the available instances of all zones.
  InstanceInfo FleetOwner(const std::string& aKey) const;

private:
  struct Member
  {
    InstanceInfo mInfo;
    TimePoint mLastHeard{};
    int mUnansweredCalls = 0;
    TimePoint mUnansweredAt{}; // of the last call counted
  };
  bool IsAvailable(const Member& aMember) const;
  std::vector<InstanceInfo> AvailableElsewhere() const;
  std::set<std::string> AvailableZones() const;
  InstanceInfo OwnerAmong(const std::vector<InstanceInfo>& aAvailable,
                          const std::string& aKey) const;

  const Clock& mClock;
  mutable std::mutex mLock;
  InstanceInfo mSelf;
  std::map<std::string, Member> mMembers; // by id, without this instance
  std::set<std::string> mSuspectedZones;  // possibly unreachable
  std::set<std::string> mListed;
  TimePoint mListedAt{};
};

} // namespace caraway

#endif
