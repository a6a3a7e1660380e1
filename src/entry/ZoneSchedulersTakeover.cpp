#include "entry/ZoneSchedulers.h"

#include <algorithm>

#include "decide/Rendezvous.h"

namespace caraway {

namespace {

constexpr Millis kZoneCheckInterval{ 200 };

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
    [this](const std::map<std::string, int>& aByZone, TimePoint aRequestedAt) {
      for (auto& [zone, other] : mOtherZones) {
        auto found = aByZone.find(zone);
        other->mTakeover.OnListed(found == aByZone.end() ? 0 : found->second,
                                  aRequestedAt);
      }
    });
  for (auto& [zone, other] : mOtherZones) {
    other->mLease.SetWanted(false);
    other->mLease.Start();
  }
  mState.mReactor.Every(kZoneCheckInterval, [this] { CheckZones(); });
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
ZoneSchedulers::CheckZones()
{
  for (auto& [zone, other] : mOtherZones) {
    CheckZone(zone, *other);
  }
}

void
ZoneSchedulers::CheckZone(const std::string& aZone, OtherZone& aOther)
{
  TimePoint now = mState.Now();
  ZoneTakeover& takeover = aOther.mTakeover;
  takeover.SetHeartbeatInterval(mPeers.HeartbeatInterval());
  takeover.OnLedHere(aOther.mLease.Holds());
  if (takeover.Silent(now)) {
    takeover.SetRank(RankFor(aZone));
    aOther.mLease.SetRankYield(ZoneTakeover::kRankYield * takeover.Rank());
    if (!mPeers.HolderOf(aOther.mLease.Name()).empty()) {
      takeover.OnLedByOther(now);
    }
  }
  if (!mState.mLeave.Leaving() && takeover.NeedsList(now)) {
    mMembers.RequestFreshList();
  }
  aOther.mLease.SetWanted(!mState.mLeave.Leaving() && takeover.MayLead(now));
  LogLed(aZone, aOther);
}

// Returns the number of live instances outside aZone that rank before this one.
int
ZoneSchedulers::RankFor(const std::string& aZone) const
{
  std::vector<std::string> candidates{ mState.mSettings.mName };
  for (const auto& [name, peer] : mPeers.All()) {
    if (peer.mZone != aZone && mPeers.Alive(peer) && !mLeaving.count(name)) {
      candidates.push_back(name);
    }
  }
  auto ranked = RendezvousFirst(candidates, aZone, candidates.size());
  auto self = std::find(ranked.begin(), ranked.end(), mState.mSettings.mName);
  return static_cast<int>(self - ranked.begin());
}

void
ZoneSchedulers::LogLed(const std::string& aZone, OtherZone& aOther)
{
  bool led = aOther.mLease.Holds();
  if (led == aOther.mLed) {
    return;
  }
  aOther.mLed = led;
  const ZoneTakeover& takeover = aOther.mTakeover;
  mState.mLog.Line(led ? "zone_adopted" : "zone_handed_back")
    .Text("zone", aZone)
    .Count("token", aOther.mLease.Token())
    .Count("entries", takeover.Entries())
    .Ms("list_age_ms", mState.AgeOf(takeover.ListedAt()))
    .Ms("heard_ms", mState.AgeOf(takeover.HeardAt()))
    .Count("rank", takeover.Rank())
    .Flag("leaving", mState.mLeave.Leaving());
}

} // namespace caraway
