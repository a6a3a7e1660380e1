// ZoneTakeover.h: whether this instance, of another zone, leads a zone's
// servers in the place of instances that the zone has no more.
//
// A zone is empty when the store's own list shows no instance of it. Silence
// alone says nothing: a zone that is cut off is silent, and its entries stand.
// The zone's ordinary lease decides who leads it, so two never do; this only
// keeps outsiders from trying while the zone may have somebody of its own.
#ifndef caraway_decide_ZoneTakeover_h
#define caraway_decide_ZoneTakeover_h

#include "caraway/Time.h"

namespace caraway {

class ZoneTakeover
{
public:
  // A fleet that starts shows zones without instances that are about to come.
  static constexpr Millis kStartupDelay{ 10000 };
  // Without word of its instances for so long a zone may be empty.
  static constexpr Millis kSilenceTimeout{ 1500 };
  // Lists that show no instance are that far apart at least.
  static constexpr Millis kEmptyConfirmTime{ 1000 };
  // Between lists; while the zone is led here, there is less haste. Where
  // instances are listed and silent, twice as long each time up to the last.
  static constexpr Millis kListInterval{ 1000 };
  static constexpr Millis kLeaderListInterval{ 2000 };
  static constexpr Millis kMaxListInterval{ 10000 };
  // An older list proves nothing.
  static constexpr Millis kMaxListAge{ 6000 };
  // Each candidate asks for lists later than those before it, by so many pulses
  // of one instance apiece, or so long.
  static constexpr int kRankDelayHeartbeats = 2;
  static constexpr Millis kRankDelay{ 500 };
  // It leaves a free lease to them for so long apiece.
  static constexpr Millis kRankYield{ 300 };

  // aNow: this instance's start.
  explicit ZoneTakeover(TimePoint aNow);

  // Pulses of one instance come so often.
  void SetHeartbeatInterval(Millis aInterval);
  // How many living outsiders come before this one.
  void SetRank(int aRank) { mRank = aRank; }

  // An instance of the zone that isn't leaving was heard.
  void OnInstanceHeard(TimePoint aNow);
  // One was heard that leaves: its entry is about to go.
  void OnLeaving() { mListWait = kListInterval; }
  // The store showed so many instances of the zone to a call of aAskedAt.
  void OnListed(int aEntries, TimePoint aAskedAt);
  // Another outsider leads the zone, or this one does.
  void OnLedByOther(TimePoint aNow);
  void OnLedHere(bool aLedHere) { mLedHere = aLedHere; }

  // No instance of it was heard lately: rank and holder matter.
  bool Silent(TimePoint aNow) const;
  // A fresh list is needed, to lead or to go on.
  bool NeedsList(TimePoint aNow) const;
  // This instance may take the zone's lease, and keep it.
  bool MayLead(TimePoint aNow) const;

  int Entries() const { return mEntries; } // as last listed; -1 = never
  int Rank() const { return mRank; }
  TimePoint ListedAt() const { return mListedAt; }
  TimePoint HeardAt() const { return mLastHeardAt; }

private:
  Millis mSilenceTimeout = kSilenceTimeout;
  Millis mHeartbeatInterval{ 0 };
  TimePoint mStart;
  TimePoint mLastHeardAt;
  TimePoint mListedAt{};
  TimePoint mEmptySince{}; // none = not empty
  TimePoint mLedByOtherAt{};
  int mEntries = -1;
  int mRank = 0;
  Millis mListWait = kListInterval;
  bool mLedHere = false;
};

} // namespace caraway

#endif
