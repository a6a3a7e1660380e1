// CrashSuspects.h: which parts of prompts crash the servers that answer them.
//
// A request that crashes its server comes again: its caller repeats it, others
// send the same part, each to another instance. No instance sees more than a
// few of the crashes, and each crash also breaks sound requests that share some
// of their parts with the guilty one. So every instance tells the others which
// parts were in the youngest requests of a server that ended, and which of
// those parts servers have answered since: one good answer clears a part of all
// crashes before. A part that is in crash after crash with no good answer
// between is blocked.
//
// Crashes have names that are the same at all instances, and what is cleared
// stays cleared, so messages may be lost, repeated or reordered.
#ifndef caraway_decide_CrashSuspects_h
#define caraway_decide_CrashSuspects_h

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

struct CrashSighting
{
  std::string mCrash; // names the life of a server that ended
  TimePoint mAt{};
};

// What one instance knows of a part, for the others.
struct PartEvidence
{
  std::string mPart;
  std::vector<CrashSighting> mCrashes; // that count
  bool mBlocked = false;
  int mProbes = 0; // requests sent since to find out whether it still crashes
};

class CrashSuspects
{
public:
  // The part was in a request that a server had just begun to answer, or had
  // not begun, when the server ended.
  void OnCrash(const std::string& aPart,
               const CrashSighting& aCrash,
               TimePoint aNow);
  // A server answered a request with this part well. Returns the names of the
  // crashes that count no longer.
  std::vector<std::string> OnGoodAnswer(const std::string& aPart);
  // Another instance knows of a good answer since these crashes.
  void OnCleared(const std::string& aPart,
                 const std::vector<std::string>& aCrashes,
                 TimePoint aNow);
  // The server has not ended after all.
  void OnVoid(const std::string& aCrash);
  // What another instance knows. Returns the names of those crashes that are
  // known here not to count, for it to be told.
  std::vector<std::string> OnTold(const PartEvidence& aEvidence,
                                  TimePoint aNow);
  // A request with this part is sent as probe aNumber, counted from 1.
  void OnProbe(const std::string& aPart, int aNumber);
  // Forgets what is too old to matter, and returns the parts that are blocked
  // from now on.
  std::vector<std::string> Update(TimePoint aNow);

  // No part is suspected of anything.
  bool Empty() const { return mSuspects.empty(); }
  bool AnyBlocked() const { return !mBlocked.empty(); }
  size_t Blocked() const { return mBlocked.size(); }
  bool Blocks(const std::string& aPart) const;
  // The parts for which a request with aParts must not reach a server. Where
  // each crash of a blocked part also had another blocked one, either may be
  // the guilty one, so a request with the former only is let through: its
  // outcome tells.
  std::vector<std::string> Guilty(const std::vector<std::string>& aParts) const;
  // The part was in several crashes, so that one more request with it may well
  // cost one more server.
  bool Suspected(const std::string& aPart) const;
  // When a request with a blocked part may be sent as a probe, and its number;
  // nothing if no probe is left.
  struct NextProbe
  {
    int mNumber = 0;
    std::string mFirstCrash; // the same for parts that were in the same crashes
    TimePoint mAt{};
  };
  std::optional<NextProbe> ProbeOf(const std::string& aPart) const;
  std::optional<PartEvidence> Of(const std::string& aPart) const;
  // Of the parts in several crashes, the blocked ones first; at most aMost.
  std::vector<PartEvidence> Evidence(size_t aMost) const;
  size_t Size() const { return mSuspects.size(); }

private:
  // Crashes at which a part is blocked. An innocent part would have to be in
  // the youngest requests of that many servers as they end, and in no good
  // answer between.
  static constexpr int kMomentsToBlock = 4;
  // Crashes at which a part is suspected.
  static constexpr int kSeveral = 2;

  struct Sighting
  {
    TimePoint mAt{};
    TimePoint mLearnedAt{};
    bool mCleared = false;
  };
  struct Suspect
  {
    std::map<std::string, Sighting> mCrashes; // by name
    int mProbes = 0;
  };

  // Another blocked part than aPart, and none of aExcept, was in the crash.
  bool Explained(const std::string& aCrash,
                 const std::string& aPart,
                 const std::vector<std::string>& aExcept) const;
  Suspect& Add(const std::string& aPart);
  void AddCrash(Suspect& aSuspect, const CrashSighting& aCrash, TimePoint aNow);
  void EvictSome();
  static void DropOne(Suspect& aSuspect);
  void SetBlocked(const std::string& aPart, bool aBlocked);
  // Number of separate moments at which the part was in a crash that counts.
  static int Moments(const Suspect& aSuspect);
  static int MomentsOf(std::vector<TimePoint> aTimes);
  // The same for crashes that no blocked part explains, and that were learned
  // of by aLearnedBy.
  int UnexplainedMoments(const std::string& aPart,
                         const Suspect& aSuspect,
                         TimePoint aLearnedBy,
                         const std::vector<std::string>& aExcept) const;
  static int LateCrashes(const Suspect& aSuspect);
  static TimePoint LastCrash(const Suspect& aSuspect);
  PartEvidence EvidenceOf(const std::string& aPart,
                          const Suspect& aSuspect) const;
  int MomentsToBlock(const Suspect& aSuspect) const;
  void ForgetOld(TimePoint aNow);

  std::map<std::string, Suspect> mSuspects;  // by part
  std::map<std::string, TimePoint> mCrashes; // of all parts, by name
  std::set<std::string> mBlocked;            // parts
  TimePoint mForgetAt{};
};

} // namespace caraway

#endif
