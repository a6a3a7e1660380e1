// CrashSuspectsVerdict.cpp: which parts are blocked, and for which requests.
#include "decide/CrashSuspects.h"

#include <algorithm>
#include <iterator>

namespace caraway {

namespace {

// Crashes at which a part is blocked while many servers end that had no request
// with it, in place of kMomentsToBlock: it may have been there by chance.
constexpr int kMomentsAmongMany = 7;

// A part explains the crashes around it if it was in one of so many.
constexpr int kUnexplainedShare = 4;

// Servers that end closer together than this count as one crash: a rack, a
// switch or one's own network takes many at once.
constexpr Millis kMomentGap{ 200 };

// Time for the other instances to tell of good answers before a part is
// blocked.
constexpr Millis kHearing{ 400 };

// From the last crash until a request with the part is sent as a probe. Few
// and far between: if the part is guilty, each costs a server.
constexpr Millis kProbeDelays[] = { Seconds(15), Seconds(300) };

// No probe is sent once so many servers ended later than kLateAfter after crash
// kCrashesBeforeLate.
constexpr int kMostLateCrashes = 3;
constexpr size_t kCrashesBeforeLate = 5;
constexpr Millis kLateAfter{ 3000 };

} // namespace

int
CrashSuspects::MomentsOf(std::vector<TimePoint> aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  int moments = 0;
  TimePoint last{};
  for (TimePoint at : aTimes) {
    if (moments == 0 || at - last >= kMomentGap) {
      ++moments;
      last = at;
    }
  }
  return moments;
}

int
CrashSuspects::Moments(const Suspect& aSuspect)
{
  std::vector<TimePoint> times;
  for (const auto& [crash, sighting] : aSuspect.mCrashes) {
    if (!sighting.mCleared) {
      times.push_back(sighting.mAt);
    }
  }
  return MomentsOf(std::move(times));
}

bool
CrashSuspects::Explained(const std::string& aCrash,
                         const std::string& aPart,
                         const std::vector<std::string>& aExcept) const
{
  return std::any_of(
    mBlocked.begin(), mBlocked.end(), [&](const std::string& aOther) {
      const auto& crashes = mSuspects.at(aOther).mCrashes;
      auto found = crashes.find(aCrash);
      return aOther != aPart && found != crashes.end() &&
             !found->second.mCleared &&
             std::find(aExcept.begin(), aExcept.end(), aOther) == aExcept.end();
    });
}

int
CrashSuspects::UnexplainedMoments(const std::string& aPart,
                                  const Suspect& aSuspect,
                                  TimePoint aLearnedBy,
                                  const std::vector<std::string>& aExcept) const
{
  std::vector<TimePoint> times;
  for (const auto& [crash, sighting] : aSuspect.mCrashes) {
    if (!sighting.mCleared && sighting.mLearnedAt <= aLearnedBy &&
        !Explained(crash, aPart, aExcept)) {
      times.push_back(sighting.mAt);
    }
  }
  return MomentsOf(std::move(times));
}

TimePoint
CrashSuspects::LastCrash(const Suspect& aSuspect)
{
  TimePoint last{};
  for (const auto& [crash, sighting] : aSuspect.mCrashes) {
    last = std::max(last, sighting.mAt);
  }
  return last;
}

int
CrashSuspects::MomentsToBlock(const Suspect& aSuspect) const
{
  TimePoint first = TimePoint::max();
  size_t own = 0;
  for (const auto& [crash, sighting] : aSuspect.mCrashes) {
    if (!sighting.mCleared) {
      first = std::min(first, sighting.mAt);
      ++own;
    }
  }
  auto all = static_cast<size_t>(
    std::count_if(mCrashes.begin(), mCrashes.end(), [first](const auto& aOne) {
      return aOne.second >= first;
    }));
  return own * kUnexplainedShare >= all ? kMomentsToBlock : kMomentsAmongMany;
}

void
CrashSuspects::SetBlocked(const std::string& aPart, bool aBlocked)
{
  if (aBlocked) {
    mBlocked.insert(aPart);
  } else {
    mBlocked.erase(aPart);
  }
}

std::vector<std::string>
CrashSuspects::Update(TimePoint aNow)
{
  ForgetOld(aNow);
  std::vector<std::string> blocked;
  for (const auto& [part, suspect] : mSuspects) {
    if (suspect.mCrashes.size() >= kMomentsToBlock && !Blocks(part) &&
        UnexplainedMoments(part, suspect, aNow - kHearing, {}) >=
          MomentsToBlock(suspect)) {
      blocked.push_back(part);
    }
  }
  // Together: parts of the same crashes don't explain each other away.
  for (const std::string& part : blocked) {
    SetBlocked(part, true);
  }
  return blocked;
}

bool
CrashSuspects::Blocks(const std::string& aPart) const
{
  return mBlocked.count(aPart) > 0;
}

std::vector<std::string>
CrashSuspects::Guilty(const std::vector<std::string>& aParts) const
{
  std::vector<std::string> guilty;
  for (const std::string& part : aParts) {
    if (!Blocks(part)) {
      continue;
    }
    int unexplained =
      UnexplainedMoments(part, mSuspects.at(part), TimePoint::max(), aParts);
    if (unexplained > 0) {
      guilty.push_back(part);
    }
  }
  return guilty;
}

bool
CrashSuspects::Suspected(const std::string& aPart) const
{
  auto found = mSuspects.find(aPart);
  return found != mSuspects.end() && Moments(found->second) >= kSeveral;
}

int
CrashSuspects::LateCrashes(const Suspect& aSuspect)
{
  std::vector<TimePoint> times;
  for (const auto& [crash, sighting] : aSuspect.mCrashes) {
    if (!sighting.mCleared) {
      times.push_back(sighting.mAt);
    }
  }
  if (times.size() <= kCrashesBeforeLate) {
    return 0;
  }
  std::sort(times.begin(), times.end());
  TimePoint late = times[kCrashesBeforeLate - 1] + kLateAfter;
  return static_cast<int>(times.end() -
                          std::upper_bound(times.begin(), times.end(), late));
}

std::optional<CrashSuspects::NextProbe>
CrashSuspects::ProbeOf(const std::string& aPart) const
{
  auto found = mSuspects.find(aPart);
  if (found == mSuspects.end() || !Blocks(aPart) ||
      found->second.mProbes >= static_cast<int>(std::size(kProbeDelays))) {
    return std::nullopt;
  }
  const Suspect& suspect = found->second;
  if (LateCrashes(suspect) >= kMostLateCrashes) {
    return std::nullopt;
  }
  std::string firstCrash;
  TimePoint firstAt = TimePoint::max();
  for (const auto& [crash, sighting] : suspect.mCrashes) {
    if (!sighting.mCleared && sighting.mAt < firstAt) {
      firstCrash = crash;
      firstAt = sighting.mAt;
    }
  }
  return NextProbe{ suspect.mProbes + 1,
                    firstCrash,
                    LastCrash(suspect) + kProbeDelays[suspect.mProbes] };
}

} // namespace caraway
