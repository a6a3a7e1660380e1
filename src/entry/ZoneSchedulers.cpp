#include "entry/ZoneSchedulers.h"

#include <algorithm>

#include "entry/LoadMessages.h"

namespace caraway {

namespace {

// Load requests are repeated at this interval while requests wait: the lease
// holder drops those that are not repeated.
constexpr Millis kAskAgain{ 400 };

constexpr Millis kAskTime{ 400 };

constexpr char kWant[] = "want";

} // namespace

ZoneSchedulers::ZoneSchedulers(EntryState& aState,
                               StoreClient& aStore,
                               Peers& aPeers,
                               Membership& aMembers,
                               LeaseLoop& aLease,
                               std::function<void()> aChanged)
  : mState(aState)
  , mStore(aStore)
  , mPeers(aPeers)
  , mMembers(aMembers)
  , mChanged(std::move(aChanged))
{
  Add(mState.mSettings.mZone, aLease);
  for (const std::string& zone : mState.mSettings.mZones) {
    if (zone != mState.mSettings.mZone) {
      auto outside = std::make_unique<OtherZone>(mState, mStore, mPeers, zone);
      Add(zone, outside->mLease);
      mOtherZones[zone] = std::move(outside);
    }
  }
}

void
ZoneSchedulers::Add(const std::string& aZone, LeaseLoop& aLease)
{
  mSchedulers[aZone] = std::make_unique<LoadScheduler>(
    mState,
    mPeers,
    aLease,
    aZone,
    [this, aZone](const char* aKind, const Json::Value& aNote) {
      NotifyHolders(aZone, aKind, aNote);
    },
    [this] { mChanged(); });
}

void
ZoneSchedulers::Start()
{
  mPeers.Add(kWant, [this](const Json::Value& aParams) {
    return OnLoadRequestCall(aParams);
  });
  for (const char* kind : { kClaimMessage, kStoreLoadMessage }) {
    mPeers.OnMessage(kind, [this, kind](const Json::Value& aNote) {
      for (const auto& [zone, desk] : mSchedulers) {
        DispatchMessage(*desk, kind, aNote);
      }
    });
  }
  mPeers.OnMessage("contents", [this](const Json::Value& aNote) {
    for (const Json::Value& content : aNote) {
      OnContent(content);
    }
  });
  mPeers.OnMessage("content",
                   [this](const Json::Value& aNote) { OnContent(aNote); });
  mPeers.OnHeartbeatFill([this](Json::Value& aHeartbeat) {
    aHeartbeat["queued"] = static_cast<int>(Waiting());
    if (mState.mLeave.Leaving()) {
      aHeartbeat["leaving"] = true;
    }
  });
  for (const auto& [zone, desk] : mSchedulers) {
    desk->Start();
  }
  StartTakeovers();
}

void
ZoneSchedulers::OnChanged()
{
  for (const auto& [zone, desk] : mSchedulers) {
    desk->OnChanged();
  }
}

size_t
ZoneSchedulers::Loads() const
{
  size_t loads = 0;
  for (const auto& [zone, desk] : mSchedulers) {
    loads += desk->Loads();
  }
  return loads;
}

size_t
ZoneSchedulers::Waiting() const
{
  size_t waiting = 0;
  for (const auto& [zone, desk] : mSchedulers) {
    waiting += desk->Waiting();
  }
  return waiting;
}

size_t
ZoneSchedulers::LedZones() const
{
  return static_cast<size_t>(
    std::count_if(mSchedulers.begin(), mSchedulers.end(), [](const auto& aOne) {
      return aOne.second->Holds();
    }));
}

ZoneSchedulers::Key
ZoneSchedulers::KeyOf(const LoadRequest& aWant)
{
  return { aWant.mService, aWant.mModel, aWant.mAdapter };
}

LoadScheduler*
ZoneSchedulers::Find(const std::string& aZone) const
{
  auto found = mSchedulers.find(aZone);
  return found == mSchedulers.end() ? nullptr : found->second.get();
}

// ---- Load requests

// The lease holder of aZone and the length of its queue; nothing when no holder
// is known.
std::optional<ZoneSchedulers::SchedulerState>
ZoneSchedulers::SchedulerStateOf(const std::string& aZone) const
{
  const LoadScheduler* desk = Find(aZone);
  if (desk && desk->Holds()) {
    return SchedulerState{ "", static_cast<int>(desk->Waiting()) };
  }
  std::string holder = mPeers.HolderOf(ZoneLeaseName(aZone));
  auto peer = mPeers.All().find(holder);
  if (peer == mPeers.All().end()) {
    return std::nullopt;
  }
  return SchedulerState{ holder, peer->second.mQueued };
}

// The zone that can load it soonest, by its nearest copy of the weights; for an
// adapter, one that holds the model.
std::string
ZoneSchedulers::ZoneFor(const LoadRequest& aWant) const
{
  const EngineSpec* engine =
    mState.mConfig ? mState.mConfig->EngineOf(aWant.mService) : nullptr;
  if (!engine || !engine->mModels.count(aWant.mModel)) {
    return "";
  }
  const ModelWeights& weights = engine->mModels.at(aWant.mModel);
  std::map<std::string, ZoneOffer> offers;
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mService != aWant.mService || backend.mEntry.mDraining) {
      continue;
    }
    Millis wait{ 0 };
    if (!backend.Holds(aWant.mModel, "")) {
      wait = LoadTime(weights, SourceOf(backend, aWant.mModel)) +
             backend.LoadingFor(mState.Now());
    }
    ZoneOffer& offer = offers[backend.mEntry.mZone];
    offer.mReadyIn =
      offer.mServers == 0 ? wait : std::min(offer.mReadyIn, wait);
    offer.mServers += 1;
  }
  std::vector<ZoneOffer> known;
  for (auto& [zone, offer] : offers) {
    if (auto desk = SchedulerStateOf(zone)) {
      offer.mZone = zone;
      offer.mQueued = desk->mQueued;
      known.push_back(offer);
    }
  }
  return ChooseZone(known, mState.mSettings.mZone);
}

void
ZoneSchedulers::Want(const LoadRequest& aWant)
{
  TimePoint now = mState.Now();
  Asked& asked = mAsked[KeyOf(aWant)];
  bool lately = asked.mAt != TimePoint() && now - asked.mAt < kAskAgain;
  if (asked.mRequestPending || lately) {
    return;
  }
  asked.mAt = now;
  std::string zone = ZoneFor(aWant);
  if (zone.empty()) {
    return;
  }
  asked.mRequestPending = true;
  LoadScheduler* desk = Find(zone);
  if (desk && desk->Holds()) {
    OnTold(aWant, true, desk->OnLoadRequest(aWant));
    return;
  }
  Json::Value params = LoadRequestJson(aWant);
  params["zone"] = zone;
  mPeers.Call(mPeers.HolderOf(ZoneLeaseName(zone)),
              kWant,
              params,
              kAskTime,
              [this, aWant](bool aGood, const Json::Value& aResult) {
                OnTold(aWant, aGood, aResult);
              });
}

// The zone is empty when the caller knows only its own zone.
Json::Value
ZoneSchedulers::OnLoadRequestCall(const Json::Value& aParams)
{
  std::string zone = aParams["zone"].asString();
  LoadScheduler* desk = Find(zone.empty() ? mState.mSettings.mZone : zone);
  return desk ? desk->OnLoadRequest(ReadLoadRequest(aParams))
              : Json::Value(Json::objectValue);
}

void
ZoneSchedulers::OnTold(const LoadRequest& aWant,
                       bool aGood,
                       const Json::Value& aResult)
{
  Asked& asked = mAsked[KeyOf(aWant)];
  asked.mRequestPending = false;
  asked.mExpected = TimePoint();
  if (aGood && aResult["expected_ms"].isInt64()) {
    asked.mExpected = mState.Now() + Millis(aResult["expected_ms"].asInt64());
  }
}

std::optional<Millis>
ZoneSchedulers::Expected(const LoadRequest& aWant)
{
  auto found = mAsked.find(KeyOf(aWant));
  if (found == mAsked.end() || found->second.mExpected <= mState.Now()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(found->second.mExpected -
                                            mState.Now());
}

// ---- Messages

void
ZoneSchedulers::OnContent(const Json::Value& aNote)
{
  const Backend* backend = mState.mServers.Find(aNote["id"].asString());
  LoadScheduler* desk = backend ? Find(backend->mEntry.mZone) : nullptr;
  if (backend) {
    (desk ? *desk : *Find(mState.mSettings.mZone)).OnContent(aNote);
  }
}

// Sends a message once to each lease holder of all zones but aFrom, including
// this instance if it holds several leases.
void
ZoneSchedulers::NotifyHolders(const std::string& aFrom,
                              const char* aKind,
                              const Json::Value& aNote)
{
  std::set<std::string> holders;
  for (const auto& [zone, desk] : mSchedulers) {
    if (zone != aFrom && desk->Holds()) {
      DispatchMessage(*desk, aKind, aNote);
    } else if (zone != aFrom) {
      holders.insert(mPeers.HolderOf(ZoneLeaseName(zone)));
    }
  }
  holders.erase("");
  for (const std::string& holder : holders) {
    mPeers.SendMessageTo(holder, aKind, aNote);
  }
}

void
ZoneSchedulers::DispatchMessage(LoadScheduler& aScheduler,
                                const char* aKind,
                                const Json::Value& aNote)
{
  if (aKind == kStoreLoadMessage) {
    aScheduler.OnStoreLoad(aNote);
  } else if (aNote["zone"].asString() != aScheduler.Zone()) {
    aScheduler.OnClaim(aNote);
  }
}

} // namespace caraway
