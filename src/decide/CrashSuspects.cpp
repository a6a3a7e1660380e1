#include "decide/CrashSuspects.h"

#include <algorithm>
#include <tuple>

#include "base/EraseIf.h"

namespace caraway {

namespace {

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

} // namespace

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
