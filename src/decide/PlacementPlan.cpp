#include "decide/PlacementPlan.h"

#include <algorithm>
#include <tuple>

namespace caraway {

namespace {

// Weight of an eviction, which costs the seconds of the reload times the rate
// of requests. With 1, a second of reload for a model with one request per
// second costs as much as a second of waiting of the current request.
constexpr double kEvictWeight = 1.0;

// Share of the slots of a model's replicas that its own requests occupy. From
// this share on, another replica is worth loading.
constexpr double kBusyShare = 0.5;

// Share of the same slots that requests for any model occupy. From this share
// on, requests for the model will soon wait or be refused.
constexpr double kFullShare = 0.75;

// Requests per second from which a replica serves more of them than the load of
// a rare model would, so that it is loaded first.
constexpr double kPopularModelRate = 2.0;

// Requests per second from which a model is kept in every zone, so that a zone
// that is cut off keeps serving it.
constexpr double kEveryZoneRate = 6.0;

// Urgent requests per second, from all zones and from one, from which a model
// is kept in that zone: about three requests in the last seconds, one of them
// from the zone. Beyond that, a model that only the weight store has there must
// be popular.
constexpr double kZoneReplicaRate = 0.3;

constexpr double kAskingZoneRate = 0.1;

// Value of a patient request, as a share of an urgent one's. Reloading the
// model for it costs orders and a server's time, but makes nobody late.
constexpr double kPatientShare = 0.1;

// Cost of a server whose slots are all taken, in seconds of waiting. A replica
// there adds no capacity.
constexpr double kCrowdedCost = 0.5;

// Candidate zone for the next replica. Zones with the fewest replicas rank
// first, and among these the ones with a copy of the weights on a disk.
struct ZoneReplicas
{
  std::string mZone;
  int mReplicas = 0;
  // No server without a replica has a copy on its disk.
  bool mNoDiskCopy = true;
  // Nor has one that could evict another model for it now.
  bool mNoUsableCopy = true;

  // aUrgent: a load from the weight store would be too late.
  std::tuple<int, int, std::string> Rank(bool aUrgent) const
  {
    return aUrgent ? std::make_tuple(mNoUsableCopy ? 1 : 0, mReplicas, mZone)
                   : std::make_tuple(mReplicas, mNoDiskCopy ? 1 : 0, mZone);
  }
};

bool
HoldsOnlyModelsInUse(const Backend& aBackend)
{
  return !aBackend.mModels.empty() &&
         std::all_of(aBackend.mModels.begin(),
                     aBackend.mModels.end(),
                     [&aBackend](const auto& aHeld) {
                       return aBackend.RequestsInFlight(aHeld.first) > 0;
                     });
}

int
ReplicasOf(const std::map<std::string, int>& aReplicas,
           const std::string& aModel)
{
  auto count = aReplicas.find(aModel);
  return count == aReplicas.end() ? 1 : std::max(1, count->second);
}

// Cost of evicting one of the replicas, in seconds of waiting, for aRate
// requests per second and a reload that takes aSeconds. Another replica serves
// meanwhile, unless the demand needs both, so its presence halves the cost.
double
CostOfReload(double aRate, double aSeconds, int aReplicas)
{
  double others = aReplicas > 1 ? 0.5 : 1.0;
  return aRate * aSeconds * others / aReplicas;
}

UrgentRates
UrgentRatesOf(const PlacementFacts& aFacts, const std::string& aModel)
{
  auto found = aFacts.mUrgent.find(aModel);
  return found == aFacts.mUrgent.end() ? UrgentRates() : found->second;
}

// Cost of evicting one replica where the urgent demand is known. aRate: of all
// requests.
double
CostByUrgency(const PlacementFacts& aFacts,
              const std::string& aModel,
              double aRate,
              double aSeconds)
{
  // The zone's own callers have only the zone's replicas once it is cut off.
  UrgentRates urgent = UrgentRatesOf(aFacts, aModel);
  double near = std::min(urgent.mZone, urgent.mFleet);
  double patient = std::max(0.0, aRate - urgent.mFleet);
  return CostOfReload(
           near, aSeconds, ReplicasOf(aFacts.mZoneReplicas, aModel)) +
         CostOfReload(urgent.mFleet - near + kPatientShare * patient,
                      aSeconds,
                      ReplicasOf(aFacts.mReplicas, aModel));
}

bool
NeedsZoneReplica(const ZoneReplicas& aZone, const UrgentRates& aUrgent)
{
  double enough = aZone.mNoDiskCopy ? kPopularModelRate : kZoneReplicaRate;
  return aZone.mReplicas == 0 && aUrgent.mZone >= kAskingZoneRate &&
         aUrgent.mFleet >= enough;
}

// Urgent requests that will be in flight beyond the present ones by the time
// that a replica can be loaded, while the demand grows.
double
GrowthWithin(Millis aLoad, const UrgentRates& aUrgent)
{
  double rise = std::max(0.0, aUrgent.mRecent - aUrgent.mFleet);
  return rise * static_cast<double>(aLoad.count()) / 1000.0;
}

double
ValueOf(const EngineSpec& aEngine,
        const std::string& aModel,
        const PlacementFacts& aFacts)
{
  auto rate = aFacts.mRates.find(aModel);
  auto model = aEngine.mModels.find(aModel);
  if (rate == aFacts.mRates.end() || model == aEngine.mModels.end()) {
    return 0;
  }
  // A reload comes from this server's disk, where a copy remains.
  double seconds = static_cast<double>(model->second.mDisk.count()) / 1000.0;
  if (aFacts.mKnowsUrgent) {
    return CostByUrgency(aFacts, aModel, rate->second, seconds);
  }
  return CostOfReload(
    rate->second, seconds, ReplicasOf(aFacts.mReplicas, aModel));
}

// Whether a load with aPatience may evict aModel at all.
bool
MayEvict(const PlacementFacts& aFacts,
         const std::string& aModel,
         const LoadPatience& aPatience)
{
  if (!aFacts.mKnowsUrgent) {
    return true;
  }
  // The fleet's only replica serves the callers of all zones.
  UrgentRates urgent = UrgentRatesOf(aFacts, aModel);
  bool only = ReplicasOf(aFacts.mReplicas, aModel) <= 1;
  return !aPatience.Spares(only ? urgent.mFleet : urgent.mZone,
                           ReplicasOf(aFacts.mZoneReplicas, aModel));
}

std::vector<EvictionCandidate>
EvictionCandidatesOf(const EngineSpec& aEngine,
                     const Backend& aBackend,
                     const PlacementFacts& aFacts,
                     const LoadPatience& aPatience)
{
  std::vector<EvictionCandidate> candidates;
  for (const auto& [model, adapters] : aBackend.mModels) {
    if (aBackend.RequestsInFlight(model) == 0 &&
        !aFacts.mRecentlyLoaded.count({ aBackend.mEntry.mId, model }) &&
        MayEvict(aFacts, model, aPatience)) {
      candidates.push_back({ model,
                             ValueOf(aEngine, model, aFacts),
                             MbOf(aEngine, model, adapters) });
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const EvictionCandidate& aOne, const EvictionCandidate& aOther) {
              return aOne.mValue < aOther.mValue;
            });
  return candidates;
}

// Returns the list of aFacts, or aOwn, which it fills then.
const std::vector<EvictionCandidate>&
EvictionsOf(const EngineSpec& aEngine,
            const Backend& aBackend,
            const PlacementFacts& aFacts,
            const LoadPatience& aPatience,
            std::vector<EvictionCandidate>& aOwn)
{
  if (!aFacts.mEvictions) {
    aOwn = EvictionCandidatesOf(aEngine, aBackend, aFacts, aPatience);
    return aOwn;
  }
  auto [at, added] =
    aFacts.mEvictions->try_emplace({ aBackend.mEntry.mId, aPatience.mPurpose });
  if (added) {
    at->second = EvictionCandidatesOf(aEngine, aBackend, aFacts, aPatience);
  }
  return at->second;
}

// Memory that must stay free for late orders once aOrders more orders have been
// accepted, in MB.
double
LateMb(const PlacementFacts& aFacts, const Backend& aBackend, size_t aOrders)
{
  auto late = aFacts.mLateOrders.find(aBackend.mEntry.mId);
  if (late == aFacts.mLateOrders.end() || late->second.empty()) {
    return 0;
  }
  size_t last = late->second.size() - 1;
  return late->second[std::min(aOrders - 1, last)].mMb;
}

// Cost in seconds of the choice for the callers that the load is for.
double
CostOfWait(const PlacementChoice& aChoice,
           const Backend& aBackend,
           const PlacementFacts& aFacts,
           const LoadPatience& aPatience)
{
  Millis total = aChoice.TotalTime();
  if (!aFacts.mKnowsUrgent || aPatience.mPurpose == LoadPurpose::Unstated) {
    return static_cast<double>(total.count()) / 1000.0;
  }
  // The weight store is shared, so a load from it is never without cost.
  bool shared = aChoice.mSource == WeightSource::Store;
  LoadPatience patience = aPatience;
  patience.mCanWait = shared ? Millis(0) : aPatience.mCanWait;
  double cost = patience.CostOfWait(total);
  bool addsCapacity = aPatience.mPurpose == LoadPurpose::Impatient ||
                      aPatience.mPurpose == LoadPurpose::Capacity;
  return addsCapacity ? cost + kCrowdedCost * aBackend.Load() : cost;
}

// Cost in seconds of placing aModel on aBackend; nullopt if it can't fit. Fills
// in aChoice.
std::optional<double>
CostOfPlacement(const EngineSpec& aEngine,
                const std::string& aModel,
                const Backend& aBackend,
                const PlacementFacts& aFacts,
                const LoadPatience& aPatience,
                PlacementChoice& aChoice)
{
  const ModelWeights& weights = aEngine.mModels.at(aModel);
  double free = FreeMb(aEngine, aBackend.mModels);
  double lost = 0;
  auto needed = [&] {
    return weights.mMb + LateMb(aFacts, aBackend, aChoice.mEvict.size() + 1);
  };
  std::vector<EvictionCandidate> own;
  for (const EvictionCandidate& candidate :
       EvictionsOf(aEngine, aBackend, aFacts, aPatience, own)) {
    if (free >= needed()) {
      break;
    }
    free += candidate.mMb;
    lost += candidate.mValue;
    aChoice.mEvict.push_back(candidate.mModel);
    if (free < LateMb(aFacts, aBackend, aChoice.mEvict.size())) {
      return std::nullopt; // no room for what may come after this unload
    }
  }
  if (free < needed()) {
    return std::nullopt;
  }
  aChoice.mServer = aBackend.mEntry.mId;
  aChoice.mSource = SourceOf(aBackend, aModel);
  aChoice.mLoad = LoadTime(weights, aChoice.mSource);
  aChoice.mUnload = kUnloadTime * static_cast<int>(aChoice.mEvict.size());
  auto busy = aFacts.mBusy.find(aBackend.mEntry.mId);
  aChoice.mWait = busy == aFacts.mBusy.end() ? Millis(0) : busy->second;
  if (aChoice.mSource == WeightSource::Store) {
    aChoice.mWait = std::max(aChoice.mWait, aFacts.mStoreWait);
  }
  return CostOfWait(aChoice, aBackend, aFacts, aPatience) + kEvictWeight * lost;
}

} // namespace

std::map<std::string, int>
CountReplicas(const ServerView& aServers,
              const std::set<std::string>& aExcludedZones,
              const std::string& aZone)
{
  std::map<std::string, int> counts;
  for (const auto& [id, backend] : aServers.All()) {
    if (!aZone.empty() && backend.mEntry.mZone != aZone) {
      continue;
    }
    bool excluded = backend.mEntry.mDraining ||
                    aExcludedZones.count(backend.mEntry.mZone) > 0;
    for (const auto& [model, adapters] : backend.mModels) {
      counts[model] += excluded ? 0 : 1;
    }
  }
  return counts;
}

WeightSource
SourceOf(const Backend& aBackend, const std::string& aModel)
{
  // Disk goes before memory although memory is faster: entries are a heartbeat
  // old, and each load evicts a copy from memory, so most of the copies listed
  // there are gone by the time of the load. Copies on disk are kept for long.
  if (aBackend.mEntry.mOnDisk.count(aModel)) {
    return WeightSource::Disk;
  }
  return aBackend.mEntry.mInMemory.count(aModel) ? WeightSource::Memory
                                                 : WeightSource::Store;
}

Millis
LoadTime(const ModelWeights& aModel, WeightSource aSource)
{
  switch (aSource) {
    case WeightSource::Memory:
      return aModel.mWarm;
    case WeightSource::Disk:
      return aModel.mDisk;
    case WeightSource::Store:
      break;
  }
  return aModel.mLoad;
}

ReplicaNeed
EvaluateReplicaNeed(const std::string& aService,
                    const std::string& aModel,
                    const ServerView& aServers,
                    const std::vector<std::string>& aZones,
                    const std::string& aOwnZone,
                    double aRate,
                    const std::set<std::string>& aExcludedZones,
                    const UrgentRates& aUrgent,
                    Millis aLoad)
{
  int ofModel = 0;
  int ofAll = 0;
  int slots = 0;
  std::map<std::string, ZoneReplicas> zones;
  for (const std::string& zone : aZones) {
    if (!aExcludedZones.count(zone)) {
      zones[zone].mZone = zone;
    }
  }
  for (const auto& [id, backend] : aServers.All()) {
    if (backend.mEntry.mService != aService || backend.mEntry.mDraining ||
        aExcludedZones.count(backend.mEntry.mZone)) {
      continue;
    }
    ZoneReplicas& zone = zones[backend.mEntry.mZone];
    if (!backend.Holds(aModel, "")) {
      bool copy = backend.mEntry.mOnDisk.count(aModel) > 0;
      zone.mNoDiskCopy = zone.mNoDiskCopy && !copy;
      zone.mNoUsableCopy =
        zone.mNoUsableCopy && !(copy && !HoldsOnlyModelsInUse(backend));
      continue;
    }
    ofModel += backend.RequestsInFlight(aModel);
    ofAll += backend.RequestsInFlight();
    slots += backend.mEntry.mSlots;
    zone.mReplicas += 1;
  }
  bool busy = ofModel + GrowthWithin(aLoad, aUrgent) >= kBusyShare * slots;
  bool full = ofAll >= kFullShare * slots;
  bool popular = std::max(aRate, aUrgent.mRecent) >= kPopularModelRate;
  const ZoneReplicas& own = zones[aOwnZone];
  ReplicaNeed forZone =
    NeedsZoneReplica(own, aUrgent) ? ReplicaNeed::Zone : ReplicaNeed::None;
  if (slots == 0 || !(busy || (popular && full))) {
    bool missing = own.mReplicas == 0 && aRate > kEveryZoneRate;
    return missing && forZone == ReplicaNeed::None ? ReplicaNeed::Soon
                                                   : forZone;
  }
  // Only the zone that ranks first adds a replica for more capacity.
  bool urgent = aUrgent.mFleet > 0;
  for (const auto& [name, zone] : zones) {
    if (zone.Rank(urgent) < own.Rank(urgent)) {
      return forZone;
    }
  }
  return popular ? ReplicaNeed::Now : ReplicaNeed::Soon;
}

std::optional<PlacementChoice>
ChoosePlacement(const EngineSpec& aEngine,
                const std::string& aModel,
                const ServerView& aServers,
                const PlacementFacts& aFacts,
                const std::string& aVersion,
                const LoadPatience& aPatience)
{
  std::optional<PlacementChoice> best;
  double bestCost = 0;
  if (!aEngine.mModels.count(aModel)) {
    return best;
  }
  for (const auto& [id, backend] : aServers.All()) {
    if (backend.mEntry.mService != aFacts.mService ||
        backend.mEntry.mZone != aFacts.mZone || backend.mEntry.mDraining ||
        backend.Holds(aModel, "") || aFacts.mAvoid.count(id) ||
        (!aVersion.empty() && backend.mEntry.mVersion != aVersion)) {
      continue;
    }
    PlacementChoice choice;
    auto cost =
      CostOfPlacement(aEngine, aModel, backend, aFacts, aPatience, choice);
    if (cost && (!best || *cost < bestCost)) {
      best = std::move(choice);
      bestCost = *cost;
    }
  }
  return best;
}

} // namespace caraway
