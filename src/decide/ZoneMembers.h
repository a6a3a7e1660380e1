// ZoneMembers.h: the instances of a zone that share the zone's part of tenants'
// rate limits, and whether this one may spend its part.
//
// The parts add up to no more than the limit as long as every instance that
// spends is counted by all others that spend. Counted instances are those with
// an entry in the store:
// - A newcomer is confirmed by each of them before it spends. One whose entry
//   existed already, because it was killed, is still counted by all.
// - The entry of a silent instance is marked first, and removed only once that
//   instance must have stopped spending: it spends for a limited time after it
//   last saw its entry unmarked, and longer only while a majority hears from
//   it.
// - Marking an entry takes a majority that doesn't hear from the instance; with
//   two instances, the one that reaches the store. So an instance never has a
//   majority and a marked entry at once, and a zone that is cut off keeps
//   spending.
#ifndef caraway_decide_ZoneMembers_h
#define caraway_decide_ZoneMembers_h

#include <map>
#include <set>
#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

// An instance's entry in the store's list of instances.
struct MemberEntry
{
  std::string mName;
  int64_t mRevision = 0;
  bool mCounted = false; // counted by all that spend
  bool mMarked = false;  // silent, about to be removed
};

// The part of a heartbeat that concerns membership.
struct MemberHeartbeat
{
  bool mCounted = false;         // the sender considers itself counted
  std::set<std::string> mSilent; // peers that the sender doesn't hear from
};

class ZoneMembers
{
public:
  // A peer is silent after this time without a heartbeat. After the same time
  // without access to the store this instance's own entry may have been marked.
  static constexpr Millis kSilenceTimeout{ 3000 };
  // Silent for this long, a peer is considered dead without asking a majority:
  // where most of a zone was lost at once, there is none.
  static constexpr Millis kPresumedDead{ 60000 };
  // Allowance for clock differences and calls in flight, before a removal.
  static constexpr Millis kMargin{ 1000 };

  explicit ZoneMembers(std::string aSelf);

  // Sets the interval of one peer's heartbeats.
  void SetHeartbeatInterval(Millis aInterval);

  // To be called often: once contact is lost, only the store's list lets this
  // instance spend again.
  void Tick(TimePoint aNow);

  // This instance's entry was written, unmarked, by a call started at aAskedAt.
  // aCounted: the entry that it replaced was counted.
  void OnJoined(bool aCounted, TimePoint aAskedAt);
  // The zone's entries, as returned to a call started at aAskedAt.
  void OnListed(const std::vector<MemberEntry>& aEntries,
                TimePoint aAskedAt,
                TimePoint aNow);
  void OnHeartbeat(const std::string& aZonePeer,
                   const MemberHeartbeat& aHeartbeat,
                   TimePoint aNow);
  // A newcomer requests to be counted.
  void OnNewcomer(const std::string& aZonePeer, TimePoint aNow);
  // The peer confirmed that it counts this instance.
  void OnConfirmed(const std::string& aZonePeer);
  // The peer announced that it has stopped spending.
  void OnLeft(const std::string& aZonePeer);
  // This instance stops spending for good.
  void Leave() { mLeft = true; }

  bool MaySpend(TimePoint aNow) const;
  // Whether the peer's entry may be marked or removed.
  bool MayMark(const std::string& aZonePeer, TimePoint aNow) const;
  bool MayRemove(const std::string& aZonePeer, TimePoint aNow) const;
  // A fresh list is needed, to continue spending or to watch the removal of an
  // entry.
  bool NeedsStore(TimePoint aNow) const;
  // This instance's entry is missing or marked, and must be written again.
  bool MustJoin() const { return mMissing || mMarked; }
  bool Missing() const { return mMissing; }
  // Membership part of this instance's next heartbeat.
  MemberHeartbeat OwnHeartbeat(TimePoint aNow) const;
  // Peers that have yet to confirm this instance; none once it is counted.
  std::vector<std::string> Unconfirmed() const;
  // All that are counted or request it, this instance included, sorted.
  std::vector<std::string> All() const;

private:
  struct MemberPeer
  {
    TimePoint mHeartbeatAt{}; // time of the last heartbeat
    TimePoint mMarkedSince{}; // time of the mark; zero = unmarked
    TimePoint mAskedAt{};     // when it requested to be counted as a newcomer
    int64_t mMarkRevision = 0;
    MemberHeartbeat mHeartbeat;
    bool mCounted = false;
    bool mConfirmed = false; // it counts this instance
  };
  MemberPeer& AddPeer(const std::string& aZonePeer, TimePoint aNow);
  bool IsConnected(const MemberPeer& aZonePeer,
                   TimePoint aNow,
                   Millis aWithin) const;
  bool Majority(TimePoint aNow, Millis aWithin) const;
  size_t CountedTotal() const;
  bool IsLost(const std::string& aZonePeer, TimePoint aNow) const;
  void UpdateCounted();

  std::string mSelf;
  Millis mSilenceTimeout = kSilenceTimeout;
  std::map<std::string, MemberPeer> mZonePeers;
  TimePoint mJoinedAt{};
  TimePoint mSeenAt{}; // when this instance's entry was last seen unmarked
  bool mJoined = false;
  // This instance's entry was counted, before it joined or as last listed.
  bool mEntryCounted = false;
  bool mListed = false;  // a list was read since joining
  bool mCounted = false; // by all peers
  bool mMissing = false;
  bool mMarked = false;
  bool mLeft = false;
};

} // namespace caraway

#endif
