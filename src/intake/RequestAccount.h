// RequestAccount.h: what a process holds of requests, on all connections of all
// ports together, and whose request is given up when that is too much.
//
// A limit for each connection is none for the process: some dozens of clients
// that stop short of the end of a large request would fill an instance's
// memory.
#ifndef caraway_intake_RequestAccount_h
#define caraway_intake_RequestAccount_h

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "caraway/Time.h"

namespace caraway {

struct RequestAccountLimits
{
  size_t mBytes = SIZE_MAX; // of all requests
  // Of those, by holders of more than kLargeBytes each. The rest stays free for
  // ordinary requests.
  size_t mLargeBytes = SIZE_MAX;
};

// Limits for a machine of aMemory bytes, of which servers' answers, the
// configuration and the process itself need the larger part.
RequestAccountLimits
RequestAccountLimitsFor(size_t aMemory);

// When a holder may be given up so that others have room.
enum class GiveUpRule
{
  Never,         // its request runs
  IfStandsStill, // nothing was received, or sent, of late
  Last,          // so, or as it grows and nobody else can be
  Always,        // its request is being received, so it can't have run
};

struct HeldBytes
{
  size_t mBytes = 0;
  size_t mReleasable = 0; // of those, when it is given up
  GiveUpRule mRule = GiveUpRule::Never;
};

// What operators see of an account.
struct RequestAccountFigures
{
  size_t mLimit = 0;     // bytes
  size_t mTotal = 0;     // held now
  size_t mLarge = 0;     // of those, by large holders
  size_t mPeak = 0;      // held at most
  int mGivenUp = 0;      // holders
  int mGivenUpStill = 0; // of those, that stood still
};

class RequestAccount
{
public:
  using Id = uint64_t;
  using Group = const void*; // holders that need something else of each other

  // Holders of more bytes count as large.
  static constexpr size_t kLargeBytes = 64u << 10;
  // A holder stands still if fewer than kProgressBytes came in this time. One
  // that sends a byte now and then does so too.
  static constexpr Millis kStandstill{ 1000 };
  static constexpr size_t kProgressBytes = 1024;

  explicit RequestAccount(RequestAccountLimits aLimits);

  // aGiveUp is called once at most, from Set() of any holder. It releases what
  // can be released; the holder is removed by then, and may add itself again.
  Id Add(TimePoint aNow, std::function<void()> aGiveUp, Group aGroup = nullptr);
  void Remove(Id aId);
  // What the holder has now. If it grows and all together have too much,
  // holders are given up: those that stand still first, then the one with the
  // most. Returns false if this one was.
  bool Set(Id aId, const HeldBytes& aHeld, TimePoint aNow);
  // aBytes more were received or sent. A complete request, or all that was
  // left of an answer, counts as progress whatever its size: SIZE_MAX.
  void Progress(Id aId, size_t aBytes, TimePoint aNow);
  bool StandsStill(Id aId, TimePoint aNow) const;
  // Gives up to aCount holders of aGroup up whose requests are being received
  // and stand still, whatever they hold. Returns how many there were.
  size_t GiveUpStanding(Group aGroup, size_t aCount, TimePoint aNow);

  // The most that a single holder may have.
  size_t MostForOne() const { return mLimits.mLargeBytes; }
  RequestAccountFigures Figures() const;
  size_t Holders() const { return mHolders.size(); }

private:
  struct Holder
  {
    HeldBytes mHeld;
    size_t mSinceProgress = 0; // bytes
    TimePoint mProgressAt{};
    Group mGroup = nullptr;
    std::function<void()> mGiveUp;
  };
  using HolderMap = std::map<Id, Holder>;

  static bool IsLarge(const Holder& aHolder);
  static bool StandsStill(const Holder& aHolder, TimePoint aNow);
  void Count(Holder& aHolder, const HeldBytes& aHeld);
  bool TooMuch(const Holder& aGrown) const;
  HolderMap::iterator Victim(bool aLargeOnly, TimePoint aNow);
  void GiveUp(HolderMap::iterator aVictim, TimePoint aNow);

  RequestAccountLimits mLimits;
  size_t mTotal = 0;
  size_t mLarge = 0;
  size_t mPeak = 0;
  int mGivenUp = 0;
  int mGivenUpStill = 0;
  Id mNext = 1;
  HolderMap mHolders;
};

} // namespace caraway

#endif
