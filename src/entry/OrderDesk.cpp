#include "entry/OrderDesk.h"

#include <algorithm>

#include "entry/OrderNotes.h"

namespace caraway {

namespace {

// Those who wait ask again so often: the holder forgets what nobody asks for.
constexpr Millis kAskAgain{ 400 };

constexpr Millis kAskTime{ 400 };

constexpr Millis kPump{ 25 };

constexpr Millis kGrow{ 500 };

constexpr Millis kTellAll{ 1000 };

constexpr int kTellTurns = 4; // of pulses: a second in a small fleet

constexpr Millis kRecheck{ 1000 };

} // namespace

OrderDesk::OrderDesk(EntryState& aState,
                     Peers& aPeers,
                     LeaseLoop& aLease,
                     std::function<void()> aChanged)
  : mState(aState)
  , mPeers(aPeers)
  , mChanged(std::move(aChanged))
  , mLease(aLease)
  , mClaims(aState.mSettings.mZone)
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
  mPeers.OnNote(kClaim, [this](const Json::Value& aNote) { OnClaim(aNote); });
  mPeers.OnFill([this](Json::Value& aPulse) {
    aPulse["queued"] = static_cast<int>(mQueue.size());
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
  if (Backend* backend = mState.mServers.Find(aNote["id"].asString())) {
    backend->mLoadingUntil =
      mState.Now() + Millis(aNote["loading_ms"].asInt64());
  }
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
    all.append(ContentJson(*backend, LoadingFor(*backend)));
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

// Until aBackend takes an order, as far as is known here.
Millis
OrderDesk::LoadingFor(const Backend& aBackend) const
{
  auto job = mJobs.find(aBackend.mEntry.mId);
  TimePoint until =
    job == mJobs.end() ? aBackend.mLoadingUntil : job->second.mExpected;
  auto left = std::chrono::duration_cast<Millis>(until - mState.Now());
  return std::max(left, Millis(0));
}

// Who orders in aZone, and how many wants it has queued; nothing when nobody is
// known to.
std::optional<OrderDesk::ZoneDesk>
OrderDesk::DeskOf(const std::string& aZone) const
{
  if (aZone == mState.mSettings.mZone && mLease.Holds()) {
    return ZoneDesk{ "", static_cast<int>(mQueue.size()) };
  }
  std::string holder = mPeers.HolderOf(ZoneLeaseName(aZone));
  auto peer = mPeers.All().find(holder);
  if (peer == mPeers.All().end()) {
    return std::nullopt;
  }
  return ZoneDesk{ holder, peer->second.mQueued };
}

// Where it can be had soonest: the model itself for an adapter, else a copy
// of its weights.
std::string
OrderDesk::ZoneFor(const PlaceWant& aWant) const
{
  const EngineSpec* engine = EngineOf(aWant.mService);
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
             LoadingFor(backend);
    }
    ZoneOffer& offer = offers[backend.mEntry.mZone];
    offer.mSoonest =
      offer.mServers == 0 ? wait : std::min(offer.mSoonest, wait);
    offer.mServers += 1;
  }
  std::vector<ZoneOffer> known;
  for (auto& [zone, offer] : offers) {
    if (auto desk = DeskOf(zone)) {
      offer.mZone = zone;
      offer.mQueued = desk->mQueued;
      known.push_back(offer);
    }
  }
  return ChooseZone(known, mState.mSettings.mZone);
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

} // namespace caraway
