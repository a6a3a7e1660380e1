// ZoneTakeover.h: whether this instance, of another zone, leads the servers of
// a zone that has no instance left.
//
// A zone is empty if the store's own list shows no instance of it. Silence
// alone proves nothing: a zone that is cut off is silent, but its entries
// remain. The zone's ordinary lease decides who leads it, so two instances
// never do; the checks here only keep outsiders from trying while the zone may
// have an instance of its own.
#ifndef caraway_decide_ZoneTakeover_h
#define caraway_decide_ZoneTakeover_h

#include "caraway/Time.h"

namespace caraway {

class ZoneTakeover
{
public:
  // Time after its own start before this instance may lead another zone. While
  // a fleet starts, zones appear empty because their instances are still about
  // to join.
  static constexpr Millis kStartupDelay{ 10000 };
  // A zone may be empty after this time without a heartbeat of its instances.
  static constexpr Millis kSilenceTimeout{ 1500 };
  // Minimum time between the first and the last list that show no instance.
  static constexpr Millis kEmptyConfirmTime{ 1000 };
  // Interval between lists. It is longer while the zone is led by this
  // instance. While instances are listed but silent, it doubles up to the
  // maximum.
  static constexpr Millis kListInterval{ 1000 };
  static constexpr Millis kLeaderListInterval{ 2000 };
  static constexpr Millis kMaxListInterval{ 10000 };
  // An older list is not relied on.
  static constexpr Millis kMaxListAge{ 6000 };
  // Each candidate requests lists later than those ranked before it, by this
  // number of heartbeat intervals or this time per rank, whichever is longer.
  static constexpr int kRankDelayHeartbeats = 2;
  static constexpr Millis kRankDelay{ 500 };
  // Delay per rank before acquiring a free lease, which leaves it to candidates
  // that rank before.
  static constexpr Millis kRankYield{ 300 };

  // aNow: this instance's start.
  explicit ZoneTakeover(TimePoint aNow);

  // Sets the interval of one instance's heartbeats.
  void SetHeartbeatInterval(Millis aInterval);
  // Number of live outsiders that rank before this one.
  void SetRank(int aRank) { mRank = aRank; }

  // A heartbeat of an instance of the zone that isn't leaving.
  void OnInstanceHeard(TimePoint aNow);
  // A heartbeat of an instance that is leaving: its entry is about to be
  // removed.
  void OnLeaving() { mListWait = kListInterval; }
  // The store listed aEntries instances of the zone to a call started at
  // aAskedAt.
  void OnListed(int aEntries, TimePoint aAskedAt);
  // Another outsider leads the zone.
  void OnLedByOther(TimePoint aNow);
  // Whether this instance leads the zone.
  void OnLedHere(bool aLedHere) { mLedHere = aLedHere; }

  // No instance of the zone was heard from recently, so the rank and the lease
  // holder are needed.
  bool Silent(TimePoint aNow) const;
  // A fresh list is needed, to start or continue leading.
  bool NeedsList(TimePoint aNow) const;
  // This instance may acquire and keep the zone's lease.
  bool MayLead(TimePoint aNow) const;

  int Entries() const { return mEntries; } // as last listed; -1 = never listed
  int Rank() const { return mRank; }
  TimePoint ListedAt() const { return mListedAt; }
  TimePoint HeardAt() const { return mLastHeardAt; }

private:
  Millis mSilenceTimeout = kSilenceTimeout;
  Millis mHeartbeatInterval{ 0 };
  TimePoint mStart;
  TimePoint mLastHeardAt;
  TimePoint mListedAt{};
  TimePoint mEmptySince{}; // zero = not empty
  TimePoint mLedByOtherAt{};
  int mEntries = -1;
  int mRank = 0;
  Millis mListWait = kListInterval;
  bool mLedHere = false;
};

} // namespace caraway

#endif
