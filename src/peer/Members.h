// Members.h: who is there, as far as this instance knows.
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

// Built from the platform's list, which lags, and from what calls to peers
// show. Everything decided on it is a hint.
class Members
{
public:
  Members(const Clock& aClock, InstanceInfo aSelf);

  // The platform's list. Members it doesn't name are kept while they answer:
  // the list lags, and in an outage there is none.
  void UpdateFromList(const std::vector<InstanceInfo>& aList);
  // Addresses on the list as last read; nothing when that is long ago.
  std::optional<std::set<std::string>> Listed() const;
  // A peer told of itself.
  void Heard(const InstanceInfo& aPeer);
  // A call to a peer's address ended without an answer. Calls that one stall
  // leaves unanswered together count as one.
  void Silent(const std::string& aAddress);
  // The same, beyond doubt: a call that was given ample time. No new work
  // until it is heard again.
  void MarkUnreachable(const std::string& aAddress);

  const InstanceInfo& Self() const { return mSelf; }
  void MarkSelfLeaving();
  // AvailablePeersIn for new work: not leaving, not silent. Includes ourselves
  // unless we are leaving.
  std::vector<InstanceInfo> AvailablePeersIn(const std::string& aZone) const;
  // Zones with an instance that is fit for new work, ours among them.
  int AvailableZoneCount() const;
  // The same, without those in doubt.
  std::set<std::string> RespondingZones() const;
  // Calls to two of its instances went unanswered: the zone may be cut off, and
  // finding out one instance after the other would take a call's time for each.
  // Ends when one of them is heard.
  void SuspectZone(const std::string& aZone);
  // Instances fit for new work, in all zones; ourselves counted unless we
  // are leaving.
  int AvailableCount() const;
  bool IsAvailablePeer(const std::string& aId) const; // another's
  // Addresses of members on the list that never told of themselves; empty of
  // those that were silent.
  std::vector<std::string> UncontactedPeers() const;
  // All others, fit or not, except those that leave.
  std::vector<InstanceInfo> Others() const;
  // Owner of aKey among the fit of our zone. Ourselves when alone.
  InstanceInfo Owner(const std::string& aKey) const;
  // The same in another zone; nothing when it has no fit instance.
  std::optional<InstanceInfo> OwnerIn(const std::string& aZone,
                                      const std::string& aKey) const;
  // The same among the fit of all zones.
  InstanceInfo FleetOwner(const std::string& aKey) const;

private:
  struct Member
  {
    InstanceInfo mInfo;
    TimePoint mHeard{};
    int mUnansweredCalls = 0;
    TimePoint mUnansweredAt{}; // the last one counted
  };
  bool IsAvailable(const Member& aMember) const;
  std::vector<InstanceInfo> AvailableElsewhere() const;
  std::set<std::string> AvailableZones() const;
  InstanceInfo OwnerAmong(const std::vector<InstanceInfo>& aAvailable,
                          const std::string& aKey) const;

  const Clock& mClock;
  mutable std::mutex mLock;
  InstanceInfo mSelf;
  std::map<std::string, Member> mMembers; // by id, others only
  std::set<std::string> mSuspectedZones;  // zones
  std::set<std::string> mListed;
  TimePoint mListedAt{};
};

} // namespace caraway

#endif
