// ServerViewChoose.cpp: the choice of a server for a request.
#include "decide/ServerView.h"

#include <algorithm>

#include "decide/PacedChoice.h"

namespace caraway {

namespace {

// Random term added to each cost, so that instances with the same view don't
// all choose the same server.
constexpr double kTieBreakNoise = 0.03;

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
  bool bestCold = true;
  bool full = false; // a server that holds the model has no room
  ColdSpec coldSpec = ColdSpecOf(aRequirements.mService);
  for (auto& [id, backend] : mBackends) {
    if (!Usable(backend, aRequirements, aNow)) {
      continue;
    }
    choice.mHeld = true;
    choice.mSlots += std::max(1, backend.mEntry.mSlots);
    if (!backend.HasRoom(
          aRequirements.mMaxPerSlot, aRequirements.mInstances, aNow)) {
      full = true;
      continue;
    }
    bool cold = aNow < ColdUntil(backend, coldSpec);
    if (cold && !HasColdPermit(backend, coldSpec, aNow, choice)) {
      continue;
    }
    double cost =
      backend.Cost(backend.Load(), aRequirements.mZone) + noise(aRandom);
    bool avoided = aRequirements.Avoids(backend, aNow);
    bool better =
      std::tie(avoided, cold, cost) < std::tie(bestAvoided, bestCold, best);
    if (!choice.mBackend || better) {
      choice.mBackend = &backend;
      best = cost;
      bestAvoided = avoided;
      bestCold = cold;
    }
  }
  if (choice.mBackend || full) {
    choice.mColdOpensAt.reset();
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
    choice.mHeld = true;
    choice.mSlots += std::max(1, backend.mEntry.mSlots);
    if (!backend.HasRoomAsReported(
          aRequirements.mMaxPerSlot, aRequirements.mInstances, aNow)) {
      full = true;
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
  choice.mZonesExcluded = AllInExcludedZones(aRequirements);
  return choice;
}

} // namespace caraway
