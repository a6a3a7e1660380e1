#include "entry/ZoneSchedulers.h"

#include <algorithm>

#include "decide/Rendezvous.h"

namespace caraway {

namespace {

constexpr Millis kLook{ 200 };

} // namespace

// Takes over zones without an instance and hands them back.

ZoneSchedulers::OtherZone::OtherZone(EntryState& aState,
                                     StoreClient& aStore,
                                     Peers& aPeers,
                                     const std::string& aZone)
  : mLease(aState,
           aStore,
           aPeers,
           ZoneLeaseName(aZone),
           aState.mSettings.mOrderSilence)
  , mTakeover(aState.Now())
{
}

void
ZoneSchedulers::StartTakeovers()
{
  mPeers.OnHeartbeat([this](const Peer& aPeer, const Json::Value& aHeartbeat) {
    OnHeartbeat(aPeer, aHeartbeat);
  });
  mMembers.OnZoneCounts(
    [this](const std::map<std::string, int>& aByZone, TimePoint aAskedAt) {
      for (auto& [zone, outside] : mOtherZones) {
        auto found = aByZone.find(zone);
        outside->mTakeover.OnListed(found == aByZone.end() ? 0 : found->second,
                                    aAskedAt);
      }
    });
  for (auto& [zone, outside] : mOtherZones) {
    outside->mLease.SetWanted(false);
    outside->mLease.Start();
  }
  mState.mReactor.Every(kLook, [this] { Look(); });
}

// An instance that is shutting down has released its lease and sends no orders.
void
ZoneSchedulers::OnHeartbeat(const Peer& aPeer, const Json::Value& aHeartbeat)
{
  bool leaving = aHeartbeat["leaving"].asBool();
  if (leaving) {
    mLeaving.insert(aPeer.mName);
  } else {
    mLeaving.erase(aPeer.mName);
  }
  auto found = mOtherZones.find(aPeer.mZone);
  if (found != mOtherZones.end() && leaving) {
    found->second->mTakeover.OnLeaving();
  } else if (found != mOtherZones.end()) {
    found->second->mTakeover.OnInstanceHeard(mState.Now());
  }
}

void
ZoneSchedulers::Look()
{
  for (auto& [zone, outside] : mOtherZones) {
    CheckZone(zone, *outside);
  }
}

void
ZoneSchedulers::CheckZone(const std::string& aZone, OtherZone& aOutside)
{
  TimePoint now = mState.Now();
  ZoneTakeover& adoption = aOutside.mTakeover;
  adoption.SetHeartbeatInterval(mPeers.HeartbeatInterval());
  adoption.OnLedHere(aOutside.mLease.Holds());
  if (adoption.Silent(now)) {
    adoption.SetRank(RankFor(aZone));
    aOutside.mLease.SetRankYield(ZoneTakeover::kRankYield * adoption.Rank());
    if (!mPeers.HolderOf(aOutside.mLease.Name()).empty()) {
      adoption.OnLedByOther(now);
    }
  }
  if (!mState.mLeave.Leaving() && adoption.NeedsList(now)) {
    mMembers.RequestFreshList();
  }
  aOutside.mLease.SetWanted(!mState.mLeave.Leaving() && adoption.MayLead(now));
  LogLed(aZone, aOutside);
}

// Number of live instances of other zones that rank before this one.
int
ZoneSchedulers::RankFor(const std::string& aZone) const
{
  std::vector<std::string> outsiders{ mState.mSettings.mName };
  for (const auto& [name, peer] : mPeers.All()) {
    if (peer.mZone != aZone && mPeers.Alive(peer) && !mLeaving.count(name)) {
      outsiders.push_back(name);
    }
  }
  auto ranked = RendezvousFirst(outsiders, aZone, outsiders.size());
  auto self = std::find(ranked.begin(), ranked.end(), mState.mSettings.mName);
  return static_cast<int>(self - ranked.begin());
}

void
ZoneSchedulers::LogLed(const std::string& aZone, OtherZone& aOutside)
{
  bool led = aOutside.mLease.Holds();
  if (led == aOutside.mLed) {
    return;
  }
  aOutside.mLed = led;
  const ZoneTakeover& adoption = aOutside.mTakeover;
  mState.mLog.Line(led ? "zone_adopted" : "zone_handed_back")
    .Text("zone", aZone)
    .Count("token", aOutside.mLease.Token())
    .Count("entries", adoption.Entries())
    .Ms("list_age_ms", mState.AgeOf(adoption.ListedAt()))
    .Ms("heard_ms", mState.AgeOf(adoption.HeardAt()))
    .Count("rank", adoption.Rank())
    .Flag("leaving", mState.mLeave.Leaving());
}

} // namespace caraway
