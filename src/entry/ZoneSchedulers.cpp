#include "entry/ZoneSchedulers.h"

#include <algorithm>

#include "base/EraseIf.h"
#include "load/LoadMessages.h"

namespace caraway {

namespace {

// Load requests are sent again at this interval while requests wait for the
// model: the lease holder drops those that are not.
constexpr Millis kRequestInterval{ 400 };

// A load request that was not repeated for this long is forgotten.
constexpr Seconds kRequestMemory{ 60 };

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
  , mCalls(
      aPeers,
      [this](const std::string& aZone, const LoadRequest& aRequest) {
        return OnLoadRequestCall(aZone, aRequest);
      },
      [this](const LoadRequest& aRequest,
             bool aGood,
             const Json::Value& aResult) {
        OnLoadReply(aRequest, aGood, aResult);
      })
{
  Add(mState.mSettings.mZone, aLease);
  for (const std::string& zone : mState.mSettings.mZones) {
    if (zone != mState.mSettings.mZone) {
      auto other = std::make_unique<OtherZone>(mState, mStore, mPeers, zone);
      Add(zone, other->mLease);
      mOtherZones[zone] = std::move(other);
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
    [this, aZone](const char* aKind, const Json::Value& aMessage) {
      NotifyHolders(aZone, aKind, aMessage);
    },
    [this] { mChanged(); });
}

void
ZoneSchedulers::Start()
{
  mCalls.Start();
  for (const char* kind : { kClaimMessage, kStoreLoadMessage }) {
    mPeers.OnMessage(kind, [this, kind](const Json::Value& aMessage) {
      for (const auto& [zone, scheduler] : mSchedulers) {
        DispatchMessage(*scheduler, kind, aMessage);
      }
    });
  }
  mPeers.OnMessage("contents", [this](const Json::Value& aMessage) {
    for (const Json::Value& content : aMessage) {
      OnContent(content);
    }
  });
  mPeers.OnMessage(
    "content", [this](const Json::Value& aMessage) { OnContent(aMessage); });
  mPeers.OnHeartbeatFill([this](Json::Value& aHeartbeat) {
    aHeartbeat["queued"] = static_cast<int>(Waiting());
    if (mState.mLeave.Leaving()) {
      aHeartbeat["leaving"] = true;
    }
  });
  for (const auto& [zone, scheduler] : mSchedulers) {
    scheduler->Start();
  }
  StartTakeovers();
}

void
ZoneSchedulers::OnChanged()
{
  for (const auto& [zone, scheduler] : mSchedulers) {
    scheduler->OnChanged();
  }
}

size_t
ZoneSchedulers::Loads() const
{
  size_t loads = 0;
  for (const auto& [zone, scheduler] : mSchedulers) {
    loads += scheduler->Loads();
  }
  return loads;
}

size_t
ZoneSchedulers::Waiting() const
{
  size_t waiting = 0;
  for (const auto& [zone, scheduler] : mSchedulers) {
    waiting += scheduler->Waiting();
  }
  return waiting;
}

size_t
ZoneSchedulers::MissingInZones() const
{
  size_t missing = 0;
  for (const auto& [zone, scheduler] : mSchedulers) {
    missing += scheduler->MissingInZone();
  }
  return missing;
}

size_t
ZoneSchedulers::OverdueLoads() const
{
  size_t overdue = 0;
  for (const auto& [zone, scheduler] : mSchedulers) {
    overdue += scheduler->Overdue();
  }
  return overdue;
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
ZoneSchedulers::KeyOf(const LoadRequest& aRequest)
{
  return { aRequest.mService,
           aRequest.mModel,
           aRequest.mAdapter,
           aRequest.mVersion,
           aRequest.mExcludedZones };
}

LoadScheduler*
ZoneSchedulers::Find(const std::string& aZone) const
{
  auto found = mSchedulers.find(aZone);
  return found == mSchedulers.end() ? nullptr : found->second.get();
}

// ---- Load requests

// Returns the lease holder of aZone and the length of its queue, or nothing if
// no holder is known.
std::optional<ZoneSchedulers::SchedulerState>
ZoneSchedulers::SchedulerStateOf(const std::string& aZone) const
{
  const LoadScheduler* scheduler = Find(aZone);
  if (scheduler && scheduler->Holds()) {
    return SchedulerState{ "", static_cast<int>(scheduler->Waiting()) };
  }
  std::string holder = mPeers.HolderOf(ZoneLeaseName(aZone));
  auto peer = mPeers.All().find(holder);
  if (peer == mPeers.All().end()) {
    return std::nullopt;
  }
  return SchedulerState{ holder, peer->second.mQueued };
}

// Returns the zone that can load the model soonest, by the zone's nearest copy
// of the weights; for an adapter, a zone that holds the model is preferred. It
// is never an evacuated zone, nor one that the request excludes.
// Returns "" if there is none.
std::string
ZoneSchedulers::ZoneFor(const LoadRequest& aRequest) const
{
  const EngineSpec* engine =
    mState.mConfig ? mState.mConfig->EngineOf(aRequest.mService) : nullptr;
  if (!engine || !engine->mModels.count(aRequest.mModel)) {
    return "";
  }
  const ModelWeights& weights = engine->mModels.at(aRequest.mModel);
  std::map<std::string, ZoneOffer> offers;
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mService != aRequest.mService ||
        backend.mEntry.mDraining || !aRequest.Fits(backend.mEntry.mVersion) ||
        mState.mEvacuations.Evacuated(backend.mEntry.mZone) ||
        aRequest.mExcludedZones.count(backend.mEntry.mZone)) {
      continue;
    }
    Millis wait{ 0 };
    if (!backend.Holds(aRequest.mModel, "")) {
      wait = LoadTime(weights, SourceOf(backend, aRequest.mModel)) +
             backend.LoadingFor(mState.Now());
    }
    ZoneOffer& offer = offers[backend.mEntry.mZone];
    offer.mReadyIn =
      offer.mServers == 0 ? wait : std::min(offer.mReadyIn, wait);
    offer.mServers += 1;
  }
  std::vector<ZoneOffer> known;
  for (auto& [zone, offer] : offers) {
    if (auto scheduler = SchedulerStateOf(zone)) {
      offer.mZone = zone;
      offer.mQueued = scheduler->mQueued;
      known.push_back(offer);
    }
  }
  return ChooseZone(known, mState.mSettings.mZone);
}

void
ZoneSchedulers::ForgetOldRequests(TimePoint aNow)
{
  if (aNow - mForgotAt < kRequestMemory) {
    return;
  }
  mForgotAt = aNow;
  EraseIf(mRequests, [aNow](const auto& aEntry) {
    const RequestState& request = aEntry.second;
    return !request.mRequestPending && request.mExpected < aNow &&
           aNow - request.mSentAt >= kRequestMemory;
  });
}

void
ZoneSchedulers::RequestLoad(const LoadRequest& aRequest)
{
  TimePoint now = mState.Now();
  ForgetOldRequests(now);
  RequestState& request = mRequests[KeyOf(aRequest)];
  // A caller that can't wait is made known at once, and so is a request after
  // the evacuation of the zone that was asked.
  bool known = aRequest.mPurpose >= request.mPurpose &&
               !mState.mEvacuations.Evacuated(request.mZone);
  bool recent = known && request.mSentAt != TimePoint() &&
                now - request.mSentAt < kRequestInterval;
  if (request.mRequestPending || recent) {
    return;
  }
  request.mSentAt = now;
  request.mPurpose = aRequest.mPurpose;
  std::string zone = ZoneFor(aRequest);
  request.mZone = zone;
  if (zone.empty()) {
    return;
  }
  request.mRequestPending = true;
  LoadScheduler* scheduler = Find(zone);
  if (scheduler && scheduler->Holds()) {
    OnLoadReply(aRequest, true, scheduler->OnLoadRequest(aRequest));
    return;
  }
  mCalls.Send(zone, aRequest);
}

Json::Value
ZoneSchedulers::OnLoadRequestCall(const std::string& aZone,
                                  const LoadRequest& aRequest)
{
  LoadScheduler* scheduler =
    Find(aZone.empty() ? mState.mSettings.mZone : aZone);
  return scheduler ? scheduler->OnLoadRequest(aRequest)
                   : Json::Value(Json::objectValue);
}

void
ZoneSchedulers::OnLoadReply(const LoadRequest& aRequest,
                            bool aGood,
                            const Json::Value& aResult)
{
  RequestState& request = mRequests[KeyOf(aRequest)];
  request.mRequestPending = false;
  request.mExpected = TimePoint();
  if (aGood && aResult["expected_ms"].isInt64()) {
    request.mExpected = mState.Now() + Millis(aResult["expected_ms"].asInt64());
  }
}

std::optional<Millis>
ZoneSchedulers::Expected(const LoadRequest& aRequest)
{
  auto found = mRequests.find(KeyOf(aRequest));
  if (found == mRequests.end() || found->second.mExpected <= mState.Now() ||
      mState.mEvacuations.Evacuated(found->second.mZone)) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(found->second.mExpected -
                                            mState.Now());
}

// ---- Messages

void
ZoneSchedulers::OnContent(const Json::Value& aMessage)
{
  const Backend* backend = mState.mServers.Find(aMessage["id"].asString());
  LoadScheduler* scheduler = backend ? Find(backend->mEntry.mZone) : nullptr;
  if (backend) {
    (scheduler ? *scheduler : *Find(mState.mSettings.mZone))
      .OnContent(aMessage);
  }
}

// Sends a message once to each lease holder of all zones but aFrom, including
// this instance if it holds several leases.
void
ZoneSchedulers::NotifyHolders(const std::string& aFrom,
                              const char* aKind,
                              const Json::Value& aMessage)
{
  std::set<std::string> holders;
  for (const auto& [zone, scheduler] : mSchedulers) {
    if (zone != aFrom && scheduler->Holds()) {
      DispatchMessage(*scheduler, aKind, aMessage);
    } else if (zone != aFrom) {
      holders.insert(mPeers.HolderOf(ZoneLeaseName(zone)));
    }
  }
  holders.erase("");
  for (const std::string& holder : holders) {
    mPeers.SendMessageTo(holder, aKind, aMessage);
  }
}

void
ZoneSchedulers::DispatchMessage(LoadScheduler& aScheduler,
                                const char* aKind,
                                const Json::Value& aMessage)
{
  if (aKind == kStoreLoadMessage) {
    aScheduler.OnStoreLoad(aMessage);
  } else if (aMessage["zone"].asString() != aScheduler.Zone()) {
    aScheduler.OnClaim(aMessage);
  }
}

} // namespace caraway
