#include "decide/LoadPatience.h"

#include <algorithm>
#include <array>

#include "decide/PlacementPlan.h"

namespace caraway {

namespace {

constexpr std::array<const char*, 5> kNames{ "impatient",
                                             "capacity",
                                             "",
                                             "patient",
                                             "zone" };

// Cost of a second of waiting without loss, in seconds of lateness. It makes
// evicting a model with a few patient requests better than waiting for a server
// that holds an unused one.
constexpr double kWaitShare = 0.1;

// Urgent requests per second from which one is to be expected within the next
// second or two. The last replica in the zone isn't evicted for patient
// callers.
constexpr double kNeededSoonRate = 0.5;

// Urgent requests per second from which a model isn't evicted for a replica
// that serves only in case the zone is cut off. One request is remembered as
// this rate for two seconds.
constexpr double kAnyUrgentRate = 0.1;

double
SecondsOf(Millis aTime)
{
  return static_cast<double>(aTime.count()) / 1000.0;
}

} // namespace

const char*
LoadPurposeName(LoadPurpose aPurpose)
{
  return kNames.at(static_cast<size_t>(aPurpose));
}

LoadPurpose
ReadLoadPurpose(const std::string& aName)
{
  for (LoadPurpose purpose : { LoadPurpose::Impatient, LoadPurpose::Patient }) {
    if (aName == LoadPurposeName(purpose)) {
      return purpose;
    }
  }
  return LoadPurpose::Unstated;
}

LoadPurpose
PurposeOf(Millis aTime, const ModelWeights& aModel)
{
  return aTime < kUnloadTime + aModel.mDisk ? LoadPurpose::Impatient
                                            : LoadPurpose::Patient;
}

double
LoadPatience::CostOfWait(Millis aTime) const
{
  Millis free = std::min(aTime, mCanWait);
  return SecondsOf(aTime - free) + kWaitShare * SecondsOf(free);
}

bool
LoadPatience::Spares(double aRate, int aReplicas) const
{
  switch (mPurpose) {
    case LoadPurpose::Patient:
      return aRate >= kNeededSoonRate && aReplicas <= 1;
    case LoadPurpose::Zone:
      return aRate >= kAnyUrgentRate;
    case LoadPurpose::Impatient:
    case LoadPurpose::Capacity:
    case LoadPurpose::Unstated:
      break;
  }
  return false;
}

LoadPatience
PatienceOf(LoadPurpose aPurpose, Millis aLeft)
{
  switch (aPurpose) {
    case LoadPurpose::Patient:
      return { aPurpose, std::max(aLeft, Millis(0)) };
    case LoadPurpose::Zone:
      return { aPurpose, Millis::max() };
    case LoadPurpose::Impatient:
    case LoadPurpose::Capacity:
    case LoadPurpose::Unstated:
      break;
  }
  return { aPurpose, Millis(0) };
}

} // namespace caraway
