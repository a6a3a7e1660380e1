// ServerViewChoose.cpp: the choice of a server for a request.
#include "decide/ServerView.h"

#include <algorithm>

#include "decide/PacedChoice.h"

namespace caraway {

namespace {

// Random term added to each cost, so that instances with the same view don't
// all choose the same server.
constexpr double kTieBreakNoise = 0.03;

void
NoteHeld(ServerChoice& aChoice, const Backend& aBackend)
{
  bool limited = static_cast<bool>(aBackend.mRateLimit);
  aChoice.mOnlyLimited = limited && (!aChoice.mHeld || aChoice.mOnlyLimited);
  aChoice.mHeld = true;
  aChoice.mSlots += std::max(1, aBackend.mEntry.mSlots);
}

// Each of the servers that need a permit is asked for with the same
// probability.
void
NeedPermit(ServerChoice& aChoice,
           const Backend& aBackend,
           std::mt19937& aRandom)
{
  std::uniform_int_distribution<int> pick(0, aChoice.mNeedingPermit++);
  if (pick(aRandom) == 0) {
    aChoice.mNeedsPermit = aBackend.mEntry.mId;
  }
}

} // namespace

bool
ServerRequirements::Avoids(const Backend& aBackend, TimePoint aNow) const
{
  return aNow < aBackend.mAvoidUntil ||
         (mVersion && aNow < aBackend.mVersionUnsureUntil);
}

bool
ServerView::Usable(const Backend& aBackend,
                   const ServerRequirements& aRequirements,
                   TimePoint aNow) const
{
  const BackendEntry& entry = aBackend.mEntry;
  if (entry.mService != aRequirements.mService || entry.mDraining ||
      aNow < aBackend.mAddressReusedUntil ||
      aRequirements.mExcluded.count(entry.mId) ||
      aRequirements.mExcludedZones.count(entry.mZone) ||
      (aRequirements.mVersion && *aRequirements.mVersion != entry.mVersion) ||
      (!aRequirements.mOnly.empty() && !aRequirements.mOnly.count(entry.mId))) {
    return false;
  }
  return aRequirements.mModel.empty() ||
         (aBackend.Holds(aRequirements.mModel, aRequirements.mAdapter) &&
          !aBackend.SuspectedMissing(
            aRequirements.mModel, aRequirements.mAdapter, aNow));
}

bool
ServerView::AllInExcludedZones(const ServerRequirements& aRequirements) const
{
  if (aRequirements.mExcludedZones.empty()) {
    return false;
  }
  bool any = false;
  for (const auto& [id, backend] : mBackends) {
    if (backend.mEntry.mService != aRequirements.mService ||
        (!aRequirements.mOnly.empty() && !aRequirements.mOnly.count(id))) {
      continue;
    }
    if (!aRequirements.mExcludedZones.count(backend.mEntry.mZone)) {
      return false;
    }
    any = true;
  }
  return any;
}

ServerChoice
ServerView::Choose(const ServerRequirements& aRequirements,
                   TimePoint aNow,
                   std::mt19937& aRandom)
{
  if (ReportsPace(aRequirements.mService)) {
    return ChoosePaced(aRequirements, aNow, aRandom);
  }
  ServerChoice choice;
  std::uniform_real_distribution<double> noise(0, kTieBreakNoise);
  double best = 0;
  bool bestAvoided = true;
  bool bestSlow = true;
  bool full = false; // a server that holds the model has no room
  ColdSpec coldSpec = ColdSpecOf(aRequirements.mService);
  for (auto& [id, backend] : mBackends) {
    if (!Usable(backend, aRequirements, aNow)) {
      continue;
    }
    NoteHeld(choice, backend);
    if (!backend.HasRoom(
          aRequirements.mMaxPerSlot, aRequirements.mInstances, aNow)) {
      full = true;
      continue;
    }
    if (!backend.HasRatePermit(aNow)) {
      NeedPermit(choice, backend, aRandom);
      continue;
    }
    bool cold = aNow < ColdUntil(backend, coldSpec);
    if (cold && !HasColdPermit(backend, coldSpec, aNow, choice)) {
      continue;
    }
    double cost =
      backend.Cost(backend.Load(), aRequirements.mZone) + noise(aRandom);
    bool avoided = aRequirements.Avoids(backend, aNow);
    // In need or just started; it gets no new work where another is as good.
    bool slow = cold || backend.mRateLimit;
    bool better =
      std::tie(avoided, slow, cost) < std::tie(bestAvoided, bestSlow, best);
    if (!choice.mBackend || better) {
      choice.mBackend = &backend;
      best = cost;
      bestAvoided = avoided;
      bestSlow = slow;
    }
  }
  if (choice.mBackend || full) {
    choice.mColdOpensAt.reset();
  }
  if (choice.mBackend) {
    choice.mNeedsPermit.clear();
  }
  choice.mZonesExcluded = AllInExcludedZones(aRequirements);
  return choice;
}

ServerChoice
ServerView::ChoosePaced(const ServerRequirements& aRequirements,
                        TimePoint aNow,
                        std::mt19937& aRandom)
{
  ServerChoice choice;
  std::vector<Backend*> warm;
  std::vector<Backend*> cold;
  bool full = false; // a server that holds the model has no room
  ColdSpec coldSpec = ColdSpecOf(aRequirements.mService);
  for (auto& [id, backend] : mBackends) {
    if (!Usable(backend, aRequirements, aNow)) {
      continue;
    }
    NoteHeld(choice, backend);
    if (!backend.HasRoomAsReported(
          aRequirements.mMaxPerSlot, aRequirements.mInstances, aNow)) {
      full = true;
    } else if (!backend.HasRatePermit(aNow)) {
      NeedPermit(choice, backend, aRandom);
    } else if (backend.mRateLimit) {
      cold.push_back(&backend); // used like a cold one: if no other is left
    } else if (aNow >= ColdUntil(backend, coldSpec)) {
      warm.push_back(&backend);
    } else if (HasColdPermit(backend, coldSpec, aNow, choice)) {
      cold.push_back(&backend);
    }
  }
  PacedChoice paced(aRequirements, FirstToken(aRequirements.mService), aNow);
  // An avoided server is used only if no other is left, a cold one included.
  auto trusted = [&](const Backend* aBackend) {
    return !aRequirements.Avoids(*aBackend, aNow);
  };
  bool useCold =
    warm.empty() || (std::none_of(warm.begin(), warm.end(), trusted) &&
                     std::any_of(cold.begin(), cold.end(), trusted));
  choice.mBackend = paced.Choose(std::move(useCold ? cold : warm), aRandom);
  if (choice.mBackend || full) {
    choice.mColdOpensAt.reset();
  }
  if (choice.mBackend) {
    choice.mNeedsPermit.clear();
  }
  choice.mZonesExcluded = AllInExcludedZones(aRequirements);
  return choice;
}

} // namespace caraway
