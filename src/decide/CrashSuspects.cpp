#include "decide/CrashSuspects.h"

#include <algorithm>
#include <tuple>

#include "base/EraseIf.h"

namespace caraway {

namespace {

// Crashes at which a part is blocked. An innocent part would have to be in the
// youngest requests of that many servers as they end, and in no good answer
// between.
constexpr int kMomentsToBlock = 4;

// The same while many servers end that had no request with the part: then it
// is likely to be there by chance.
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

// Limits of memory, as callers choose the parts.
constexpr size_t kMaxSuspects = 1024;
constexpr size_t kMaxCrashesOfPart = 12;
constexpr size_t kMaxCrashes = 512;

// How long a part is remembered by the number of crashes that count. What was
// cleared is kept until late messages have come.
constexpr Seconds kMemoryOfCleared{ 30 };
constexpr Seconds kMemoryOfOne{ 600 };
constexpr Seconds kMemoryOfSeveral{ 3600 };

constexpr Millis kForgetInterval{ 1000 };

constexpr int kSeveral = 2;

} // namespace

// ---- Evidence

void
CrashSuspects::OnCrash(const std::string& aPart,
                       const CrashSighting& aCrash,
                       TimePoint aNow)
{
  AddCrash(Add(aPart), aCrash, aNow);
}

CrashSuspects::Suspect&
CrashSuspects::Add(const std::string& aPart)
{
  auto found = mSuspects.find(aPart);
  if (found != mSuspects.end()) {
    return found->second;
  }
  if (mSuspects.size() >= kMaxSuspects) {
    EvictSome();
  }
  return mSuspects[aPart];
}

// Those with the least against them, and of those the oldest. Several at a
// time, as finding them takes a look at all.
void
CrashSuspects::EvictSome()
{
  std::vector<std::tuple<bool, int, TimePoint, std::string>> order;
  for (const auto& [part, suspect] : mSuspects) {
    order.emplace_back(
      Blocks(part), Moments(suspect), LastCrash(suspect), part);
  }
  std::sort(order.begin(), order.end());
  order.resize(kMaxSuspects / 4);
  for (const auto& entry : order) {
    SetBlocked(std::get<3>(entry), false);
    mSuspects.erase(std::get<3>(entry));
  }
}

void
CrashSuspects::AddCrash(Suspect& aSuspect,
                        const CrashSighting& aCrash,
                        TimePoint aNow)
{
  aSuspect.mCrashes.try_emplace(aCrash.mCrash,
                                Sighting{ aCrash.mAt, aNow, false });
  if (aSuspect.mCrashes.size() > kMaxCrashesOfPart) {
    DropOne(aSuspect);
  }
  mCrashes.try_emplace(aCrash.mCrash, aCrash.mAt);
  if (mCrashes.size() > kMaxCrashes) {
    mCrashes.erase(std::min_element(
      mCrashes.begin(), mCrashes.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second < aTwo.second;
      }));
  }
}

// A cleared crash, or else the second: the first names the probes.
void
CrashSuspects::DropOne(Suspect& aSuspect)
{
  std::vector<std::tuple<bool, TimePoint, std::string>> order;
  for (const auto& [crash, sighting] : aSuspect.mCrashes) {
    order.emplace_back(!sighting.mCleared, sighting.mAt, crash);
  }
  std::sort(order.begin(), order.end());
  bool anyCleared = !std::get<0>(order.front());
  aSuspect.mCrashes.erase(std::get<2>(order[anyCleared ? 0 : 1]));
}

std::vector<std::string>
CrashSuspects::OnGoodAnswer(const std::string& aPart)
{
  std::vector<std::string> cleared;
  auto found = mSuspects.find(aPart);
  if (found == mSuspects.end()) {
    return cleared;
  }
  for (auto& [crash, sighting] : found->second.mCrashes) {
    if (!sighting.mCleared) {
      sighting.mCleared = true;
      cleared.push_back(crash);
    }
  }
  SetBlocked(aPart, false);
  return cleared;
}

// Crashes that aren't known here yet are remembered as cleared: the news of
// them may come later.
void
CrashSuspects::OnCleared(const std::string& aPart,
                         const std::vector<std::string>& aCrashes,
                         TimePoint aNow)
{
  Suspect& suspect = Add(aPart);
  for (const std::string& crash : aCrashes) {
    AddCrash(suspect, { crash, aNow }, aNow);
    auto found = suspect.mCrashes.find(crash);
    if (found != suspect.mCrashes.end()) {
      found->second.mCleared = true;
    }
  }
  if (Moments(suspect) < kMomentsToBlock) {
    SetBlocked(aPart, false);
  }
}

void
CrashSuspects::OnVoid(const std::string& aCrash)
{
  mCrashes.erase(aCrash);
  for (auto& [part, suspect] : mSuspects) {
    auto found = suspect.mCrashes.find(aCrash);
    if (found != suspect.mCrashes.end()) {
      found->second.mCleared = true;
    }
    if (Blocks(part) && Moments(suspect) < kMomentsToBlock) {
      SetBlocked(part, false);
    }
  }
}

std::vector<std::string>
CrashSuspects::OnTold(const PartEvidence& aEvidence, TimePoint aNow)
{
  std::vector<std::string> cleared;
  Suspect& suspect = Add(aEvidence.mPart);
  suspect.mProbes = std::max(suspect.mProbes, aEvidence.mProbes);
  for (const CrashSighting& crash : aEvidence.mCrashes) {
    AddCrash(suspect, crash, aNow);
    auto found = suspect.mCrashes.find(crash.mCrash);
    if (found != suspect.mCrashes.end() && found->second.mCleared) {
      cleared.push_back(crash.mCrash);
    }
  }
  if (aEvidence.mBlocked && Moments(suspect) >= kMomentsToBlock) {
    SetBlocked(aEvidence.mPart, true);
  }
  return cleared;
}

void
CrashSuspects::OnProbe(const std::string& aPart, int aNumber)
{
  auto found = mSuspects.find(aPart);
  if (found != mSuspects.end()) {
    found->second.mProbes = std::max(found->second.mProbes, aNumber);
  }
}

// ---- Verdicts

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

void
CrashSuspects::ForgetOld(TimePoint aNow)
{
  if (aNow < mForgetAt) {
    return;
  }
  mForgetAt = aNow + kForgetInterval;
  EraseIf(mSuspects, [this, aNow](const auto& aEntry) {
    const Suspect& suspect = aEntry.second;
    int moments = Moments(suspect);
    Seconds memory = moments == 0         ? kMemoryOfCleared
                     : moments < kSeveral ? kMemoryOfOne
                                          : kMemoryOfSeveral;
    return !Blocks(aEntry.first) && aNow - LastCrash(suspect) > memory;
  });
  EraseIf(mCrashes, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kMemoryOfSeveral;
  });
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

PartEvidence
CrashSuspects::EvidenceOf(const std::string& aPart,
                          const Suspect& aSuspect) const
{
  PartEvidence evidence;
  evidence.mPart = aPart;
  evidence.mBlocked = Blocks(aPart);
  evidence.mProbes = aSuspect.mProbes;
  for (const auto& [crash, sighting] : aSuspect.mCrashes) {
    if (!sighting.mCleared) {
      evidence.mCrashes.push_back({ crash, sighting.mAt });
    }
  }
  return evidence;
}

std::optional<PartEvidence>
CrashSuspects::Of(const std::string& aPart) const
{
  auto found = mSuspects.find(aPart);
  if (found == mSuspects.end()) {
    return std::nullopt;
  }
  return EvidenceOf(aPart, found->second);
}

std::vector<PartEvidence>
CrashSuspects::Evidence(size_t aMost) const
{
  std::vector<PartEvidence> all;
  for (const auto& [part, suspect] : mSuspects) {
    if (Moments(suspect) >= kSeveral) {
      all.push_back(EvidenceOf(part, suspect));
    }
  }
  std::stable_sort(
    all.begin(), all.end(), [](const auto& aOne, const auto& aOther) {
      return std::make_tuple(aOne.mBlocked, aOne.mCrashes.size()) >
             std::make_tuple(aOther.mBlocked, aOther.mCrashes.size());
    });
  if (all.size() > aMost) {
    all.resize(aMost);
  }
  return all;
}

} // namespace caraway
