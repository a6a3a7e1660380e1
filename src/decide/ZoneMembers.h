// ZoneMembers.h: which instances of a zone share its part of tenants' limits,
// and whether this one may spend its own.
//
// Parts add up to no more than the whole as long as everyone who spends is
// counted by all who spend. Counted are those with an entry in the store:
// - A newcomer has itself confirmed by each of them before it spends. One whose
//   entry was there already, because it was killed, is still counted by all.
// - The entry of a silent instance is marked first and removed only when that
//   instance must have stopped: it spends for a while after it last saw its
//   entry unmarked, and no longer unless a majority hears it.
// - A mark takes a majority that doesn't hear it; of two, the one that reaches
//   the store. So it never has both, and a zone that is cut off goes on.
#ifndef caraway_decide_ZoneMembers_h
#define caraway_decide_ZoneMembers_h

#include <map>
#include <set>
#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

// An instance's entry in the store's list.
struct MemberEntry
{
  std::string mName;
  int64_t mRevision = 0;
  bool mCounted = false; // all who spend count it
  bool mMarked = false;  // it is silent, and about to be removed
};

// What an instance tells of this with its pulses.
struct MemberHeartbeat
{
  bool mCounted = false;         // it takes itself to be
  std::set<std::string> mSilent; // whom it doesn't hear
};

class ZoneMembers
{
public:
  // Without word of a mate for so long it is silent; without word of the store
  // for so long this instance's entry may have been marked.
  static constexpr Millis kSilenceTimeout{ 3000 };
  // Silent for so long it is lost for good, and no majority is asked: where
  // most of a zone was lost at once there is none.
  static constexpr Millis kPresumedDead{ 60000 };
  // For the clocks and for calls under way.
  static constexpr Millis kMargin{ 1000 };

  explicit ZoneMembers(std::string aSelf);

  // Pulses of one mate come so often.
  void SetHeartbeatInterval(Millis aInterval);

  // Often: once out of touch, only the store's list lets it spend again.
  void Tick(TimePoint aNow);

  // This instance's entry was written, unmarked, by a call made at aAskedAt.
  // aCounted: the one that it replaced was counted.
  void OnJoined(bool aCounted, TimePoint aAskedAt);
  // The zone's entries, as the store showed them to a call made at aAskedAt.
  void OnListed(const std::vector<MemberEntry>& aEntries,
                TimePoint aAskedAt,
                TimePoint aNow);
  void OnHeartbeat(const std::string& aZonePeer,
                   const MemberHeartbeat& aHeartbeat,
                   TimePoint aNow);
  // A newcomer asks to be counted.
  void OnNewcomer(const std::string& aZonePeer, TimePoint aNow);
  // aZonePeer counts this instance.
  void OnConfirmed(const std::string& aZonePeer);
  // It spends nothing any more, and said so.
  void OnLeft(const std::string& aZonePeer);
  // This instance stops spending, for good.
  void Leave() { mLeft = true; }

  bool MaySpend(TimePoint aNow) const;
  // The entry of aZonePeer.
  bool MayMark(const std::string& aZonePeer, TimePoint aNow) const;
  bool MayRemove(const std::string& aZonePeer, TimePoint aNow) const;
  // A fresh list is needed: to go on spending, or to see an entry go.
  bool NeedsStore(TimePoint aNow) const;
  // This instance's entry is missing or marked and must be written again.
  bool MustJoin() const { return mMissing || mMarked; }
  bool Missing() const { return mMissing; }
  // For this instance's next pulse.
  MemberHeartbeat Pulse(TimePoint aNow) const;
  // Those who have yet to confirm this instance; none once it is counted.
  std::vector<std::string> Unconfirmed() const;
  // All that are counted or ask for it, this one included, in order.
  std::vector<std::string> All() const;

private:
  struct MemberPeer
  {
    TimePoint mHeartbeatAt{}; // last heard
    TimePoint mMarkedSince{}; // since when; none = unmarked
    TimePoint mAskedAt{};     // as a newcomer, to be counted
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
  TimePoint mSeenAt{}; // this instance's entry, unmarked
  bool mJoined = false;
  bool mReplaced = false;
  bool mListed = false;  // a list was read since joining
  bool mCounted = false; // by all
  bool mMissing = false;
  bool mMarked = false;
  bool mLeft = false;
};

} // namespace caraway

#endif
