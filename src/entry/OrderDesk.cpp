#include "entry/OrderDesk.h"

#include <algorithm>

#include "platform/OrderMessage.h"

namespace caraway {

namespace {

// Those who wait ask again so often: the holder forgets what nobody asks for.
constexpr Millis kAskAgain{ 400 };
constexpr Millis kForgetWant{ 1500 };
constexpr Millis kAskTime{ 400 };

constexpr Millis kPump{ 25 };
constexpr Millis kGrow{ 500 };
constexpr Millis kTellAll{ 1000 };
constexpr int kTellTurns = 4; // of pulses: a second in a small fleet
constexpr Millis kRecheck{ 1000 };

constexpr Millis kOrderTime{ 500 };
constexpr Millis kOrderRetry{ 25 };
constexpr Millis kResyncRetry{ 120 }; // reports are some hundred ms old
constexpr int kMostTries = 60;
constexpr int kMostUnanswered = 4; // then another server is tried

// A server is asked whether a load has ended so long after it should have,
// and then as often: reports are a hundred milliseconds old, and a report
// costs an eighth of a call to the store, which tells it later.
constexpr Millis kPollAfter{ 120 };
constexpr Millis kPollAgain{ 120 };

// A load that takes so much longer than expected is given up.
constexpr int kLoadPatience = 6;

// An adapter's way to a server: a few milliseconds, and a share by size.
constexpr Millis kAdapterBase{ 4 };
constexpr double kAdapterMbPerMs = 5.0;

// More demand than a replica serves well: half of its places taken.
constexpr double kBusyShare = 0.5;
// A model that is asked for so often a second is kept in each zone, so that
// a zone that is cut off goes on serving it.
constexpr double kEveryZoneRate = 2.0;

constexpr int kLowestPriority = 9;

// Seconds of waiting that another zone must save to be asked before one's own.
constexpr double kOtherZone = 0.1;

Json::Value
WantJson(const PlaceWant& aWant)
{
  Json::Value want;
  want["service"] = aWant.mService;
  want["model"] = aWant.mModel;
  want["adapter"] = aWant.mAdapter;
  want["priority"] = aWant.mPriority;
  want["left_ms"] = Json::Int64(aWant.mLeft.count());
  return want;
}

PlaceWant
ReadWant(const Json::Value& aWant)
{
  return { aWant["service"].asString(),
           aWant["model"].asString(),
           aWant["adapter"].asString(),
           aWant["priority"].asInt(),
           Millis(aWant["left_ms"].asInt64()) };
}

Json::Value
ContentJson(const Backend& aBackend)
{
  Json::Value content;
  content["id"] = aBackend.mEntry.mId;
  content["born"] = Json::Int64(aBackend.mEntry.mBorn);
  content["orders"] = Json::Int64(aBackend.mOrders);
  content["models"] = Json::Value(Json::objectValue);
  for (const auto& [model, adapters] : aBackend.mModels) {
    Json::Value& list = content["models"][model];
    list = Json::Value(Json::arrayValue);
    for (const std::string& adapter : adapters) {
      list.append(adapter);
    }
  }
  return content;
}

HeldModels
ReadModels(const Json::Value& aModels)
{
  HeldModels models;
  for (const std::string& model : aModels.getMemberNames()) {
    std::set<std::string>& adapters = models[model];
    for (const Json::Value& adapter : aModels[model]) {
      adapters.insert(adapter.asString());
    }
  }
  return models;
}

} // namespace

OrderDesk::OrderDesk(EntryState& aState,
                     Peers& aPeers,
                     LeaseLoop& aLease,
                     std::function<void()> aChanged)
  : mState(aState)
  , mPeers(aPeers)
  , mChanged(std::move(aChanged))
  , mLease(aLease)
{
}

void
OrderDesk::Start()
{
  mPeers.Add("want", [this](const Json::Value& aParams) {
    return OnWanted(ReadWant(aParams));
  });
  mPeers.OnNote("contents", [this](const Json::Value& aNote) {
    for (const Json::Value& content : aNote) {
      TakeContent(content);
    }
  });
  mPeers.OnNote("content",
                [this](const Json::Value& aNote) { TakeContent(aNote); });
  mPeers.OnFill([this](Json::Value& aPulse) {
    aPulse["jobs"] = static_cast<int>(mJobs.size() + mQueue.size());
  });
  mState.mReactor.Every(kPump, [this] { Pump(); });
  mState.mReactor.Every(kGrow, [this] { Grow(); });
  mState.mReactor.Every(kTellAll, [this] {
    TouchAll();
    if (mState.Now() - mToldAll >= mPeers.PulseGap() * kTellTurns) {
      TellAll();
    }
  });
}

void
OrderDesk::TakeContent(const Json::Value& aNote)
{
  if (mState.mServers.PutContent(aNote["id"].asString(),
                                 aNote["born"].asInt64(),
                                 aNote["orders"].asInt64(),
                                 ReadModels(aNote["models"]),
                                 mState.Now())) {
    mChanged();
  }
}

// The servers whose content this instance accounts for.
std::vector<Backend*>
OrderDesk::Accounted()
{
  std::vector<Backend*> accounted;
  if (!mLease.MayAct() || mCountsToken != mLease.Token()) {
    return accounted;
  }
  for (auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mZone == mState.mSettings.mZone &&
        backend.mOrders >= 0) {
      accounted.push_back(&backend);
    }
  }
  return accounted;
}

// The account holds here, however seldom it is told.
void
OrderDesk::TouchAll()
{
  for (Backend* backend : Accounted()) {
    backend->mToldAt = mState.Now();
  }
}

// A note that was lost is made good.
void
OrderDesk::TellAll()
{
  mToldAll = mState.Now();
  Json::Value all(Json::arrayValue);
  for (Backend* backend : Accounted()) {
    all.append(ContentJson(*backend));
  }
  if (!all.empty()) {
    mPeers.SendNote("contents", all);
  }
}

// What is believed to be there is asked for: perhaps it isn't.
void
OrderDesk::Recheck(const std::string& aServer)
{
  TimePoint now = mState.Now();
  TimePoint& last = mRechecked[aServer];
  Backend* backend = mState.mServers.Find(aServer);
  if (mJobs.count(aServer) || now - last < kRecheck || !backend) {
    return;
  }
  last = now;
  int64_t born = backend->mEntry.mBorn;
  FetchReport(
    aServer, [this, aServer, born](const std::optional<ServerReport>& aReport) {
      Backend* known = mState.mServers.Find(aServer);
      if (!aReport || aReport->mBusy || !known || mJobs.count(aServer)) {
        return;
      }
      if (mState.mServers.PutContent(
            aServer, born, aReport->mOrders, aReport->mModels, mState.Now())) {
        mState.mLog.Line("content_corrected")
          .Text("server", aServer)
          .Count("orders", aReport->mOrders);
        TellContent(*known);
        mChanged();
      }
    });
}

OrderDesk::Key
OrderDesk::KeyOf(const PlaceWant& aWant)
{
  return { aWant.mService, aWant.mModel, aWant.mAdapter };
}

const EngineSpec*
OrderDesk::EngineOf(const std::string& aService) const
{
  if (!mState.mConfig) {
    return nullptr;
  }
  auto found = mState.mConfig->mServices.find(aService);
  bool engine =
    found != mState.mConfig->mServices.end() && found->second.mEngine;
  return engine ? &*found->second.mEngine : nullptr;
}

// ---- Asking

// Who orders in aZone, and how many loads it has under way; nothing when nobody
// is known to.
std::optional<OrderDesk::ZoneDesk>
OrderDesk::DeskOf(const std::string& aZone) const
{
  if (aZone == mState.mSettings.mZone && mLease.Holds()) {
    return ZoneDesk{ "", static_cast<int>(mJobs.size() + mQueue.size()) };
  }
  std::string holder = mPeers.HolderOf(ZoneLeaseName(aZone));
  auto peer = mPeers.All().find(holder);
  if (peer == mPeers.All().end()) {
    return std::nullopt;
  }
  return ZoneDesk{ holder, peer->second.mJobs };
}

// Where it can be had soonest: the model itself for an adapter, else a copy
// of its weights; this zone before others, those with few loads under way
// before busy ones.
std::string
OrderDesk::ZoneFor(const PlaceWant& aWant) const
{
  const EngineSpec* engine = EngineOf(aWant.mService);
  if (!engine || !engine->mModels.count(aWant.mModel)) {
    return "";
  }
  const ModelWeights& weights = engine->mModels.at(aWant.mModel);
  std::map<std::string, int> servers;    // by zone
  std::map<std::string, Millis> soonest; // without queueing
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mService != aWant.mService || backend.mEntry.mDraining) {
      continue;
    }
    const std::string& zone = backend.mEntry.mZone;
    servers[zone] += 1;
    Millis load = backend.Holds(aWant.mModel, "")
                    ? Millis(0)
                    : LoadTime(weights, SourceOf(backend, aWant.mModel));
    auto at = soonest.emplace(zone, load).first;
    at->second = std::min(at->second, load);
  }
  std::string best;
  double bestCost = 0;
  for (const auto& [zone, load] : soonest) {
    auto desk = DeskOf(zone);
    if (!desk) {
      continue;
    }
    double cost = zone == mState.mSettings.mZone ? 0 : kOtherZone;
    cost += static_cast<double>(load.count()) / 1000.0;
    cost += static_cast<double>(desk->mJobs) / servers[zone];
    if (best.empty() || cost < bestCost) {
      best = zone;
      bestCost = cost;
    }
  }
  return best;
}

void
OrderDesk::Want(const PlaceWant& aWant)
{
  TimePoint now = mState.Now();
  Asked& asked = mAsked[KeyOf(aWant)];
  bool lately = asked.mAt != TimePoint() && now - asked.mAt < kAskAgain;
  if (asked.mUnderWay || lately) {
    return;
  }
  asked.mAt = now;
  std::string zone = ZoneFor(aWant);
  if (zone.empty()) {
    return;
  }
  asked.mUnderWay = true;
  if (zone == mState.mSettings.mZone && mLease.Holds()) {
    OnTold(aWant, true, OnWanted(aWant));
    return;
  }
  mPeers.Call(mPeers.HolderOf(ZoneLeaseName(zone)),
              "want",
              WantJson(aWant),
              kAskTime,
              [this, aWant](bool aGood, const Json::Value& aResult) {
                OnTold(aWant, aGood, aResult);
              });
}

void
OrderDesk::OnTold(const PlaceWant& aWant,
                  bool aGood,
                  const Json::Value& aResult)
{
  Asked& asked = mAsked[KeyOf(aWant)];
  asked.mUnderWay = false;
  asked.mExpected = TimePoint();
  if (aGood && aResult["expected_ms"].isInt64()) {
    asked.mExpected = mState.Now() + Millis(aResult["expected_ms"].asInt64());
  }
}

std::optional<Millis>
OrderDesk::Expected(const PlaceWant& aWant)
{
  auto found = mAsked.find(KeyOf(aWant));
  if (found == mAsked.end() || found->second.mExpected <= mState.Now()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(found->second.mExpected -
                                            mState.Now());
}

// ---- Deciding

Json::Value
OrderDesk::OnWanted(const PlaceWant& aWant)
{
  Json::Value result(Json::objectValue);
  if (!mLease.Holds() || !EngineOf(aWant.mService)) {
    result["none"] = "not the holder";
    return result;
  }
  TimePoint now = mState.Now();
  auto [at, added] = mQueue.try_emplace(KeyOf(aWant));
  Queued& queued = at->second;
  if (added) {
    queued.mWant = aWant;
    queued.mSince = now;
  }
  queued.mWant.mPriority = std::min(queued.mWant.mPriority, aWant.mPriority);
  queued.mAskedAt = now;
  queued.mNeedBy = std::max(queued.mNeedBy, now + aWant.mLeft);
  if (added) {
    Pump();
  }
  if (auto expected = Estimate(aWant)) {
    result["expected_ms"] = Json::Int64(expected->count());
  }
  return result;
}

std::optional<Millis>
OrderDesk::Estimate(const PlaceWant& aWant) const
{
  TimePoint now = mState.Now();
  for (const auto& [server, job] : mJobs) {
    if (job.mWant.mModel == aWant.mModel &&
        job.mWant.mService == aWant.mService) {
      auto left = std::chrono::duration_cast<Millis>(job.mExpected - now);
      return std::max(left, Millis(20));
    }
  }
  const EngineSpec* engine = EngineOf(aWant.mService);
  auto choice = ChoosePlace(
    *engine, aWant.mModel, mState.mServers, FactsFor(aWant.mService));
  if (!choice) {
    return std::nullopt;
  }
  return choice->mWait + choice->mLoad;
}

PlacementFacts
OrderDesk::FactsFor(const std::string& aService) const
{
  TimePoint now = mState.Now();
  PlacementFacts facts;
  facts.mService = aService;
  facts.mZone = mState.mSettings.mZone;
  facts.mRates = mState.mDemand.Rates(now);
  facts.mReplicas = CountReplicas(mState.mServers);
  for (const auto& [server, job] : mJobs) {
    auto left = std::chrono::duration_cast<Millis>(job.mExpected - now);
    facts.mBusy[server] = std::max(left, Millis(50));
  }
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (now < backend.mAvoidUntil) {
      facts.mAvoid.insert(id);
    }
  }
  facts.mStoreWait = mStoreLoads.Wait(now);
  return facts;
}

// Begins what can begin now, the most urgent first.
void
OrderDesk::Pump()
{
  TimePoint now = mState.Now();
  if (!mLease.Holds()) {
    mQueue.clear();
    return;
  }
  std::vector<Queued*> queue;
  for (auto at = mQueue.begin(); at != mQueue.end();) {
    if (now - at->second.mAskedAt > kForgetWant) {
      at = mQueue.erase(at);
    } else {
      queue.push_back(&at->second);
      ++at;
    }
  }
  if (!mLease.MayAct()) {
    return;
  }
  // When loads can't keep up, first come first served makes all late. Those
  // that can still be in time go first, the oldest of them before the others;
  // what is late already waits for a lull.
  auto rank = [this, now](const Queued& aQueued) {
    bool late = now + UsualLoad(aQueued.mWant) > aQueued.mNeedBy;
    return std::make_tuple(late, aQueued.mWant.mPriority, aQueued.mSince);
  };
  std::sort(queue.begin(),
            queue.end(),
            [&rank](const Queued* aOne, const Queued* aOther) {
              return rank(*aOne) < rank(*aOther);
            });
  std::vector<Key> begun;
  // Worked out once for all of them: it looks at every server and model.
  std::map<std::string, PlacementFacts> facts;
  for (Queued* queued : queue) {
    const std::string& service = queued->mWant.mService;
    if (!facts.count(service)) {
      facts[service] = FactsFor(service);
    }
    if (Begin(queued->mWant, facts[service])) {
      begun.push_back(KeyOf(queued->mWant));
    }
  }
  for (const Key& key : begun) {
    mQueue.erase(key);
  }
}

// From a disk of this zone; what must come from the store is late anyway.
Millis
OrderDesk::UsualLoad(const PlaceWant& aWant) const
{
  const EngineSpec* engine = EngineOf(aWant.mService);
  if (!engine || !aWant.mAdapter.empty()) {
    return Millis(0);
  }
  auto model = engine->mModels.find(aWant.mModel);
  return model == engine->mModels.end() ? Millis(0) : model->second.mDisk;
}

// True when the want needn't wait here any longer.
bool
OrderDesk::Begin(const PlaceWant& aWant, PlacementFacts& aFacts)
{
  const EngineSpec* engine = EngineOf(aWant.mService);
  if (!engine) {
    return true;
  }
  for (const auto& [server, job] : mJobs) {
    if (job.mWant.mModel == aWant.mModel &&
        job.mWant.mService == aWant.mService) {
      // The model is on its way; an adapter of it waits for that.
      return aWant.mAdapter.empty() || aWant.mAdapter == job.mWant.mAdapter;
    }
  }
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mZone != mState.mSettings.mZone ||
        backend.mEntry.mService != aWant.mService || backend.mEntry.mDraining ||
        !backend.Holds(aWant.mModel, "")) {
      continue;
    }
    if (!aWant.mAdapter.empty()) {
      return BeginAdapter(aWant);
    }
    if (aWant.mPriority < kLowestPriority) {
      // Who asks hasn't heard of it yet, or found it missing.
      Recheck(id);
      return true;
    }
  }
  mStoreLoads.SetLimits(engine->mLoadsPerSecond,
                        static_cast<int>(mState.mSettings.mZones.size()));
  aFacts.mStoreWait = mStoreLoads.Wait(mState.Now());
  auto choice = ChoosePlace(*engine, aWant.mModel, mState.mServers, aFacts);
  if (!choice) {
    mState.mLog.Line("place_none")
      .Text("model", aWant.mModel)
      .Count("jobs", static_cast<int64_t>(mJobs.size()));
    return false;
  }
  if (choice->mWait > Millis(0)) {
    return false;
  }
  Job job;
  job.mWant = aWant;
  job.mWant.mAdapter.clear();
  job.mServer = choice->mServer;
  job.mSource = choice->mSource;
  job.mLoad = choice->mLoad;
  for (const std::string& model : choice->mEvict) {
    ModelOrder order;
    order.mLoad = false;
    order.mModel = model;
    job.mSteps.push_back(order);
  }
  ModelOrder load;
  load.mModel = aWant.mModel;
  job.mSteps.push_back(load);
  aFacts.mBusy[job.mServer] = job.mLoad;
  StartJob(std::move(job));
  return aWant.mAdapter.empty();
}

bool
OrderDesk::BeginAdapter(const PlaceWant& aWant)
{
  const EngineSpec* engine = EngineOf(aWant.mService);
  Backend* best = nullptr;
  size_t bestCount = 0;
  for (auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mZone != mState.mSettings.mZone ||
        backend.mEntry.mService != aWant.mService || backend.mEntry.mDraining ||
        !backend.Holds(aWant.mModel, "") || mJobs.count(id)) {
      continue;
    }
    if (backend.Holds(aWant.mModel, aWant.mAdapter)) {
      Recheck(id);
      return true;
    }
    size_t count = 0;
    for (const auto& [model, adapters] : backend.mModels) {
      count += adapters.size();
    }
    if (!best || count < bestCount) {
      best = &backend;
      bestCount = count;
    }
  }
  if (!best) {
    return false;
  }
  Job job;
  job.mWant = aWant;
  job.mServer = best->mEntry.mId;
  job.mSource = WeightSource::Memory;
  double mb = engine->mModels.count(aWant.mModel)
                ? engine->mModels.at(aWant.mModel).mAdapterMb
                : 0;
  job.mLoad = kAdapterBase + Millis(static_cast<int64_t>(mb / kAdapterMbPerMs));
  if (static_cast<int>(bestCount) >= engine->mAdapterSlots) {
    auto victim = LeastAskedAdapter(*best);
    if (!victim) {
      return false;
    }
    job.mSteps.push_back(*victim);
  }
  ModelOrder load;
  load.mModel = aWant.mModel;
  load.mAdapter = aWant.mAdapter;
  job.mSteps.push_back(load);
  StartJob(std::move(job));
  return true;
}

// Its unload; nothing while all are in use.
std::optional<ModelOrder>
OrderDesk::LeastAskedAdapter(const Backend& aBackend) const
{
  std::optional<ModelOrder> least;
  double leastRate = 0;
  for (const auto& [model, adapters] : aBackend.mModels) {
    for (const std::string& adapter : adapters) {
      std::string name = model + "/" + adapter;
      double rate = mState.mDemand.Rate(name, mState.Now());
      if (aBackend.UnderWay(name) > 0 || (least && rate >= leastRate)) {
        continue;
      }
      ModelOrder order;
      order.mLoad = false;
      order.mModel = model;
      order.mAdapter = adapter;
      least = order;
      leastRate = rate;
    }
  }
  return least;
}

// More replicas of what is asked for more than its servers can carry, before
// requests have to wait.
void
OrderDesk::Grow()
{
  if (!mLease.MayAct() || !mState.mConfig) {
    return;
  }
  for (const auto& [name, service] : mState.mConfig->mServices) {
    if (!service.mEngine) {
      continue;
    }
    for (const auto& [model, weights] : service.mEngine->mModels) {
      if (mState.mDemand.Rate(model, mState.Now()) > 0.2 &&
          WantsReplica(name, model)) {
        OnWanted({ name, model, "", kLowestPriority, Millis(0) });
      }
    }
  }
}

bool
OrderDesk::WantsReplica(const std::string& aService, const std::string& aModel)
{
  int underWay = 0;
  int slots = 0;
  std::map<std::string, int> replicas; // by zone
  for (const std::string& zone : mState.mSettings.mZones) {
    replicas[zone] = 0;
  }
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mService != aService || backend.mEntry.mDraining ||
        !backend.Holds(aModel, "")) {
      continue;
    }
    underWay += backend.UnderWay(aModel);
    slots += backend.mEntry.mSlots;
    replicas[backend.mEntry.mZone] += 1;
  }
  const std::string& here = mState.mSettings.mZone;
  double rate = mState.mDemand.Rate(aModel, mState.Now());
  if (replicas[here] == 0 && rate > kEveryZoneRate) {
    return true;
  }
  if (slots == 0 || underWay < kBusyShare * slots) {
    return false;
  }
  // One zone at a time adds one: that with the fewest, the first of these.
  for (const auto& [zone, count] : replicas) {
    bool fewer =
      count < replicas[here] || (count == replicas[here] && zone < here);
    if (fewer) {
      return false;
    }
  }
  return true;
}

// ---- Ordering

OrderDesk::Job*
OrderDesk::Find(const std::string& aServer, uint64_t aId)
{
  auto found = mJobs.find(aServer);
  bool same = found != mJobs.end() && found->second.mId == aId;
  return same ? &found->second : nullptr;
}

void
OrderDesk::StartJob(Job aJob)
{
  Backend* backend = mState.mServers.Find(aJob.mServer);
  TimePoint now = mState.Now();
  aJob.mBorn = backend->mEntry.mBorn;
  aJob.mBegan = now;
  aJob.mExpected = now + aJob.mLoad;
  aJob.mId = ++mNextJob;
  if (aJob.mSource == WeightSource::Store) {
    mStoreLoads.Began(aJob.mServer, aJob.mExpected, now);
  }
  const ModelOrder& first = aJob.mSteps.front();
  mState.mLog.Line("place_decided")
    .Text("server", aJob.mServer)
    .Text("model", aJob.mWant.mModel)
    .Text("adapter", aJob.mWant.mAdapter)
    .Text("evict", first.mLoad ? "" : first.mModel + "/" + first.mAdapter)
    .Count("source", static_cast<int>(aJob.mSource))
    .Count("orders", backend->mOrders)
    .Number("rate", mState.mDemand.Rate(aJob.mWant.mModel, now))
    .Count("priority", aJob.mWant.mPriority)
    .Ms("expected_ms", aJob.mLoad);
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  mJobs[server] = std::move(aJob);
  SendStep(server, id);
}

void
OrderDesk::SendStep(const std::string& aServer, uint64_t aId)
{
  Job* job = Find(aServer, aId);
  if (!job) {
    return;
  }
  Backend* backend = mState.mServers.Find(aServer);
  if (!backend || backend->mEntry.mBorn != job->mBorn ||
      backend->mEntry.mDraining) {
    EndJob(aServer, "server gone");
    return;
  }
  // Looked at for each order: a holder that was suspended has lost its lease.
  if (!mLease.MayAct()) {
    EndJob(aServer, "lease ended");
    return;
  }
  if (++job->mTries > kMostTries) {
    EndJob(aServer, "too many tries");
    return;
  }
  if (backend->mOrders < 0 || job->mNeedsReport) {
    Resync(*job);
    return;
  }
  ModelOrder order = job->mSteps.front();
  const EngineSpec* engine = EngineOf(job->mWant.mService);
  if (order.mLoad &&
      (!engine || !FitsNow(*engine, *backend, order.mModel, order.mAdapter))) {
    EndJob(aServer, "no room any more");
    return;
  }
  order.mOrders = backend->mOrders;
  order.mHolder = mState.mSettings.mName;
  order.mToken = mLease.Token();
  wire::OrderCall call =
    wire::WriteOrder(order, backend->mEntry.mAddress, aServer);
  OutRequest request;
  request.mAddress = backend->mEntry.mAddress;
  request.mPeer = aServer;
  request.mHead = std::move(call.mHead);
  request.mBody = std::move(call.mBody);
  CallForAnswer(mState.mReactor,
                mState.mServerPool,
                std::move(request),
                kOrderTime,
                [this, aServer, aId](ShortAnswer& aAnswer) {
                  OnAnswer(
                    aServer, aId, wire::ReadOrderAnswer(aAnswer.mStatus));
                });
}

void
OrderDesk::OnAnswer(const std::string& aServer,
                    uint64_t aId,
                    OrderAnswer aAnswer)
{
  Job* job = Find(aServer, aId);
  if (!job) {
    return;
  }
  mState.mMetrics.Count("caraway_orders_total",
                        "answer=\"" +
                          std::to_string(static_cast<int>(aAnswer)) + "\"");
  const ModelOrder& step = job->mSteps.front();
  switch (aAnswer) {
    case OrderAnswer::Accepted:
      // An adapter in use goes when its requests have ended; until a report
      // shows that, its place isn't free.
      job->mNeedsReport = !step.mLoad && !step.mAdapter.empty();
      OnAccepted(*job);
      break;
    case OrderAnswer::Holds:
      // An adapter's unload is done at once, and counts; what was so already
      // doesn't.
      if (!step.mLoad && !step.mAdapter.empty()) {
        OnAccepted(*job);
      } else {
        Resync(*job);
      }
      break;
    case OrderAnswer::Busy:
      // An unload of this job's may still wait for its runs. Any other order
      // under way changes what the server holds under the same count, and a
      // load beside it could take memory that isn't there.
      job->mNeedsReport = !job->mCounted;
      Retry(*job, job->mCounted ? kOrderRetry : Millis(0));
      break;
    case OrderAnswer::Unknown:
      // Sent again under the same count: only one of the two can take effect.
      mState.mLog.Line("order_unanswered")
        .Text("server", aServer)
        .Text("model", step.mModel)
        .Count("try", job->mTries);
      job->mCounted = false;
      mState.mServers.Heard(aServer, ServerNews::Broken, mState.Now());
      if (++job->mUnanswered >= kMostUnanswered) {
        EndJob(aServer, "no answer");
      } else {
        Retry(*job, kOrderRetry * 4);
      }
      break;
    case OrderAnswer::Fenced:
    case OrderAnswer::NotIt:
    case OrderAnswer::Refused:
      EndJob(aServer, "order refused");
      break;
  }
}

void
OrderDesk::OnAccepted(Job& aJob)
{
  Backend* backend = mState.mServers.Find(aJob.mServer);
  if (!backend) {
    EndJob(aJob.mServer, "server gone");
    return;
  }
  ModelOrder step = aJob.mSteps.front();
  aJob.mSteps.pop_front();
  aJob.mTries = 0;
  aJob.mCounted = true;
  HeldModels models = backend->mModels;
  if (!step.mLoad && step.mAdapter.empty()) {
    models.erase(step.mModel);
  } else if (!step.mLoad) {
    models[step.mModel].erase(step.mAdapter);
  }
  mState.mServers.PutContent(
    aJob.mServer, aJob.mBorn, backend->mOrders + 1, models, mState.Now());
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  if (!step.mLoad) {
    TellContent(*backend);
    mChanged(); // may end the job
  }
  Job* job = Find(server, id);
  if (job && job->mSteps.empty()) {
    AfterLoadOrder(*job);
  } else if (job) {
    SendStep(server, id);
  }
}

void
OrderDesk::AfterLoadOrder(Job& aJob)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  aJob.mLoading = true;
  aJob.mExpected = mState.Now() + aJob.mLoad;
  if (aJob.mWant.mAdapter.empty()) {
    mState.mReactor.After(aJob.mLoad + kPollAfter,
                          [this, server, id] { PollLoaded(server, id); });
    return;
  }
  // Servers don't tell when an adapter has come.
  mState.mReactor.After(aJob.mLoad, [this, server, id] {
    Job* job = Find(server, id);
    Backend* backend = mState.mServers.Find(server);
    if (!job || !backend || backend->mEntry.mBorn != job->mBorn) {
      EndJob(server, "server gone");
      return;
    }
    HeldModels models = backend->mModels;
    models[job->mWant.mModel].insert(job->mWant.mAdapter);
    mState.mServers.PutContent(
      server, job->mBorn, backend->mOrders, models, mState.Now());
    TellContent(*backend);
    EndJob(server, "adapter loaded");
    mChanged();
  });
}

void
OrderDesk::Retry(Job& aJob, Millis aDelay)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  mState.mReactor.After(aDelay, [this, server, id] { SendStep(server, id); });
}

// The count of orders isn't what was believed: the server's report tells what
// it is and what the server holds.
void
OrderDesk::Resync(Job& aJob)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  AskReport(server, id, [this, server, id](const ServerReport& aReport) {
    Job* job = Find(server, id);
    Backend* backend = mState.mServers.Find(server);
    if (!job || !backend) {
      return;
    }
    HeldModels planned = backend->mModels;
    bool newer = aReport.mOrders > backend->mOrders ||
                 (aReport.mOrders == backend->mOrders && !aReport.mBusy);
    if (newer) {
      mState.mServers.PutContent(
        server, job->mBorn, aReport.mOrders, aReport.mModels, mState.Now());
      TellContent(*backend);
    }
    if (backend->Holds(job->mWant.mModel, job->mWant.mAdapter)) {
      EndJob(server, "held already");
      mChanged();
      return;
    }
    if (planned != backend->mModels) {
      EndJob(server, "planned anew");
      return;
    }
    // While an order is under way its outcome isn't in the report.
    bool settled = !aReport.mBusy && aReport.mOrders >= backend->mOrders;
    job->mNeedsReport = !settled;
    Retry(*job, settled ? Millis(0) : kResyncRetry);
  });
}

void
OrderDesk::FetchReport(
  const std::string& aServer,
  std::function<void(const std::optional<ServerReport>&)> aThen)
{
  Backend* backend = mState.mServers.Find(aServer);
  if (!backend) {
    aThen(std::nullopt);
    return;
  }
  OutRequest request;
  request.mAddress = backend->mEntry.mAddress;
  request.mPeer = aServer;
  request.mHead = wire::WriteReportRequest(request.mAddress);
  CallForAnswer(mState.mReactor,
                mState.mServerPool,
                std::move(request),
                kOrderTime,
                [then = std::move(aThen)](ShortAnswer& aAnswer) {
                  then(wire::ReadReport(aAnswer.mBody));
                });
}

void
OrderDesk::AskReport(const std::string& aServer,
                     uint64_t aId,
                     std::function<void(const ServerReport&)> aThen)
{
  FetchReport(aServer,
              [this, aServer, aId, then = std::move(aThen)](
                const std::optional<ServerReport>& aReport) {
                Job* job = Find(aServer, aId);
                if (!job) {
                  return;
                }
                if (aReport) {
                  then(*aReport);
                } else if (++job->mTries > kMostTries) {
                  EndJob(aServer, "no report");
                } else if (job->mLoading) {
                  mState.mReactor.After(kPollAgain, [this, aServer, aId] {
                    PollLoaded(aServer, aId);
                  });
                } else {
                  Retry(*job, kResyncRetry);
                }
              });
}

void
OrderDesk::PollLoaded(const std::string& aServer, uint64_t aId)
{
  Job* job = Find(aServer, aId);
  if (!job) {
    return;
  }
  if (mState.Now() - job->mBegan > job->mLoad * kLoadPatience + Seconds(2)) {
    EndJob(aServer, "load takes too long");
    return;
  }
  AskReport(aServer, aId, [this, aServer, aId](const ServerReport& aReport) {
    Job* job = Find(aServer, aId);
    Backend* backend = mState.mServers.Find(aServer);
    if (!job || !backend) {
      return;
    }
    if (!aReport.mBusy && aReport.mOrders >= backend->mOrders) {
      mState.mServers.PutContent(
        aServer, job->mBorn, aReport.mOrders, aReport.mModels, mState.Now());
      OnChanged();
      mChanged();
      if (Find(aServer, aId)) {
        EndJob(aServer, "not loaded");
      }
      return;
    }
    mState.mReactor.After(kPollAgain,
                          [this, aServer, aId] { PollLoaded(aServer, aId); });
  });
}

void
OrderDesk::OnChanged()
{
  std::vector<std::string> loaded;
  std::vector<std::string> lost;
  for (const auto& [server, job] : mJobs) {
    Backend* backend = mState.mServers.Find(server);
    if (!backend || backend->mEntry.mBorn != job.mBorn) {
      lost.push_back(server);
    } else if (job.mLoading && job.mWant.mAdapter.empty() &&
               backend->Holds(job.mWant.mModel, "")) {
      TellContent(*backend);
      loaded.push_back(server);
    }
  }
  for (const std::string& server : loaded) {
    EndJob(server, "loaded");
  }
  for (const std::string& server : lost) {
    EndJob(server, "server gone");
  }
}

void
OrderDesk::EndJob(const std::string& aServer, const char* aWhy)
{
  auto found = mJobs.find(aServer);
  if (found == mJobs.end()) {
    return;
  }
  mState.mLog.Line("place_ended")
    .Text("server", aServer)
    .Text("model", found->second.mWant.mModel)
    .Text("adapter", found->second.mWant.mAdapter)
    .Text("why", aWhy)
    .Ms("took_ms", mState.AgeOf(found->second.mBegan));
  mStoreLoads.Ended(aServer);
  const Job& job = found->second;
  Backend* backend = mState.mServers.Find(aServer);
  bool there = backend && backend->Holds(job.mWant.mModel, job.mWant.mAdapter);
  // An order may still be under way, or come late: what the server holds is
  // known only from its next report.
  if (backend && !there) {
    backend->mOrders = -1;
  }
  mJobs.erase(found);
}

// Another holder may have ordered since.
void
OrderDesk::ForgetCounts()
{
  if (mCountsToken == mLease.Token()) {
    return;
  }
  mCountsToken = mLease.Token();
  for (auto& [id, backend] : mState.mServers.All()) {
    backend.mOrders = -1;
  }
}

void
OrderDesk::TellContent(const Backend& aBackend)
{
  mPeers.SendNote("content", ContentJson(aBackend));
}

} // namespace caraway
