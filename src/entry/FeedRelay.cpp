#include "entry/FeedRelay.h"

#include <algorithm>
#include <optional>

#include "base/JsonText.h"
#include "entry/LeaseLoop.h"

namespace caraway {

namespace {

constexpr char kUpdateMessage[] = "news";

constexpr char kStartReadingMessage[] = "read_news";

// Transit time assumed for an update until the round trip to its sender is
// known. It is long, because the updates of all instances fill the links when
// they start at once and none follows another yet.
constexpr Millis kUnknownTransitTime{ 500 };

// When the reader leaves, the first instance by rank reads the store at once;
// the others wait this long for its update.
constexpr Millis kSuccessorGrace{ 300 };

// Shortest time between two requests to a peer to read the store. A peer that
// can do so starts within milliseconds.
constexpr Millis kHandOverInterval{ 5000 };

// Updates are sent at once, and repeated at this interval because datagrams get
// lost.
constexpr Millis kPublishInterval{ 300 };

constexpr Millis kCheckInterval{ 100 };

// Each update carries the changes of this time, so that a receiver that missed
// a few datagrams lacks nothing.
constexpr Millis kUpdateHistory{ 3000 };

// Limit of the changes in one datagram, which holds 64 KB; a change has a
// kilobyte or two. A receiver that needs what is left out reads the store.
constexpr size_t kMaxUpdateBytes = 40000;

// A follower reads the store when its configuration was last confirmed this
// long ago. The reader's watch confirms it at least every two seconds.
constexpr Millis kConfigMaxAge{ 2500 };

} // namespace

FeedRelay::FeedRelay(EntryState& aState,
                     StoreClient& aStore,
                     Peers& aPeers,
                     ConfigFeed& aFeed,
                     EvacuationFeed& aEvacuations)
  : mState(aState)
  , mStore(aStore)
  , mPeers(aPeers)
  , mFeed(aFeed)
  , mEvacuations(aEvacuations)
  , mStep(Rank())
{
}

void
FeedRelay::Start()
{
  mStartedAt = mState.Now();
  mPeers.AddMethod("config", [this](const Json::Value&) {
    return Json::Value(mFeed.ConfigText());
  });
  mPeers.AddMethod("servers", [this](const Json::Value&) {
    Json::Value result;
    result["revision"] = Json::Int64(mFeed.ServersRevision());
    result["entries"] = mFeed.ServersJson();
    return result;
  });
  mPeers.OnMessage(kUpdateMessage, [this](const Json::Value& aUpdate) {
    OnPeerUpdate(aUpdate);
  });
  mPeers.OnMessage(kStartReadingMessage, [this](const Json::Value&) {
    if (mFeed.Paused() && !mState.mLeave.Leaving()) {
      ResumeReading("requested by the lease holder");
    }
  });
  mPeers.OnLeaving([this](const std::string& aPeer) { OnLeaving(aPeer); });
  mFeed.OnUpdate([this] { OnFeedUpdate(); });
  mEvacuations.OnUpdate([this] { OnFeedUpdate(); });
  mFeed.OnServerApplied(
    [this](const StoreChange& aChange) { OnServerApplied(aChange); });
  mState.mReactor.Every(kPublishInterval, [this] { PublishUpdate(); });
  mState.mReactor.Every(kCheckInterval, [this] { Check(); });
}

// ---- Sending updates

void
FeedRelay::OnFeedUpdate()
{
  if (mPublishScheduled) {
    return;
  }
  mPublishScheduled = true;
  mState.mReactor.After(Millis(0), [this] {
    mPublishScheduled = false;
    PublishUpdate();
  });
}

void
FeedRelay::OnServerApplied(const StoreChange& aChange)
{
  if (!mFeed.Paused()) {
    size_t bytes = JsonWrite(aChange.mObject.mSpec).size();
    mRecentChanges.push_back({ mState.Now(), aChange, bytes });
  }
}

void
FeedRelay::PublishUpdate()
{
  if (mFeed.Paused() || !mFeed.Fresh() || mState.mLeave.Leaving()) {
    return;
  }
  mCheckpoints.push_back({ mState.Now(), mFeed.ServersCompleteTo() });
  Trim();
  mPeers.SendMessageInZone(kUpdateMessage, BuildUpdate());
  HandOverReading();
}

std::string
FeedRelay::Rank() const
{
  const EntrySettings& settings = mState.mSettings;
  return WatchRank(settings.mCpuShare,
                   settings.mName,
                   mPeers.Claims(ZoneLeaseName(settings.mZone)));
}

void
FeedRelay::HandOverReading()
{
  TimePoint now = mState.Now();
  if (!mPeers.Claims(ZoneLeaseName(mState.mSettings.mZone)) ||
      now < mNextHandOverAt) {
    return;
  }
  if (const Peer* first = FirstByRank()) {
    mNextHandOverAt = now + kHandOverInterval;
    mPeers.SendMessageTo(first->mName, kStartReadingMessage, Json::Value());
  }
}

const Peer*
FeedRelay::FirstByRank() const
{
  const Peer* first = nullptr;
  for (const auto& [name, peer] : mPeers.All()) {
    bool eligible = peer.mZone == mState.mSettings.mZone &&
                    !peer.mRank.empty() && !peer.mLeaving && mPeers.Alive(peer);
    if (eligible && peer.mRank < (first ? first->mRank : Rank())) {
      first = &peer;
    }
  }
  return first;
}

void
FeedRelay::Trim()
{
  TimePoint now = mState.Now();
  while (mCheckpoints.size() > 1 &&
         now - mCheckpoints[1].mAt >= kUpdateHistory) {
    mCheckpoints.pop_front();
  }
  size_t bytes = 0;
  for (const RelayedChange& recent : mRecentChanges) {
    bytes += recent.mBytes;
  }
  while (bytes > kMaxUpdateBytes && mCheckpoints.size() > 1) {
    mCheckpoints.pop_front();
    bytes -= DropBeforeFirstCheckpoint();
  }
  DropBeforeFirstCheckpoint();
}

size_t
FeedRelay::DropBeforeFirstCheckpoint()
{
  size_t bytes = 0;
  while (!mRecentChanges.empty() &&
         mRecentChanges.front().mAt < mCheckpoints.front().mAt) {
    bytes += mRecentChanges.front().mBytes;
    mRecentChanges.pop_front();
  }
  return bytes;
}

Json::Value
FeedRelay::BuildUpdate()
{
  Json::Value update;
  update["from"] = mState.mSettings.mName;
  update["rank"] = Rank();
  update["since"] = Json::Int64(mCheckpoints.front().mRevision);
  update["to"] = Json::Int64(mCheckpoints.back().mRevision);
  update["seen"] = Json::Int64(mFeed.ServersRevision());
  update["age_ms"] = Json::Int64(mState.AgeOf(mFeed.ListConfirmedAt()).count());
  update["config"] = Json::Int64(mState.mConfig ? mState.mConfig->mVersion : 0);
  update["config_age_ms"] =
    Json::Int64(mState.AgeOf(mFeed.ConfigConfirmedAt()).count());
  update["echoes"] = mPeers.Echoes();
  mEvacuations.Fill(update);
  Json::Value& changes = update["changes"];
  changes = Json::Value(Json::arrayValue);
  for (const RelayedChange& recent : mRecentChanges) {
    Json::Value change;
    change["name"] = recent.mChange.mObject.mName;
    change["revision"] = Json::Int64(recent.mChange.mObject.mRevision);
    if (recent.mChange.mRemoved) {
      change["removed"] = true;
    } else {
      change["spec"] = recent.mChange.mObject.mSpec;
    }
    changes.append(change);
  }
  return update;
}

// ---- Receiving updates

void
FeedRelay::OnPeerUpdate(const Json::Value& aUpdate)
{
  std::string from = aUpdate["from"].asString();
  mEvacuations.Read(aUpdate, from);
  if (!mPeers.IsStaying(from)) {
    return;
  }
  std::optional<Millis> roundTrip = mPeers.RoundTripTime(aUpdate["echoes"]);
  if (!roundTrip) {
    mPeers.RequestEcho(from);
  }
  Millis transit = roundTrip.value_or(kUnknownTransitTime);
  TimePoint now = mState.Now();
  TimePoint updateAt = now - transit - Millis(aUpdate["age_ms"].asInt64());
  Millis configAge = transit + Millis(aUpdate["config_age_ms"].asInt64());
  int64_t known = mFeed.ServersCompleteTo();
  mStep.SetRank(Rank());
  // An update that begins after the revision known here would leave a gap.
  if (known == 0 || aUpdate["since"].asInt64() > known ||
      configAge >= kConfigMaxAge ||
      !mStep.OnUpdate(aUpdate["rank"].asString(),
                      updateAt,
                      !mFeed.Paused() && mFeed.Fresh() ? mFeed.ListConfirmedAt()
                                                       : TimePoint(),
                      now)) {
    return;
  }
  if (!mFeed.Paused()) {
    mState.mLog.Line("list_followed")
      .Text("peer", from)
      .Ms("age_ms", mState.AgeOf(updateAt))
      .Ms("on_the_way_ms", transit);
    mFeed.Pause();
    mRecentChanges.clear();
    mCheckpoints.clear();
  }
  // A reader that doesn't know the set, perhaps of an older version, can't be
  // followed in this.
  mEvacuations.SetPaused(EvacuationFeed::IsIn(aUpdate));
  mFollowedPeer = from;
  mResumeReadingAt = TimePoint::max();
  ApplyUpdate(aUpdate, transit);
}

void
FeedRelay::ApplyUpdate(const Json::Value& aUpdate, Millis aTransit)
{
  TimePoint sentAt = mState.Now() - aTransit;
  std::vector<StoreChange> changes;
  for (const Json::Value& item : aUpdate["changes"]) {
    StoreChange change;
    change.mObject.mName = item["name"].asString();
    change.mObject.mRevision = item["revision"].asInt64();
    change.mObject.mSpec = item["spec"];
    change.mRemoved = item["removed"].asBool();
    changes.push_back(std::move(change));
  }
  mFeed.ApplyPeerUpdate(changes,
                        aUpdate["to"].asInt64(),
                        aUpdate["seen"].asInt64(),
                        sentAt - Millis(aUpdate["age_ms"].asInt64()));
  mState.mListFreshness.OnHeard(sentAt);
  if (EvacuationFeed::IsIn(aUpdate)) {
    mState.mEvacuationFreshness.OnHeard(sentAt);
  }
  OnPeerConfig(aUpdate["from"].asString(),
               { aUpdate["config"].asInt64(),
                 sentAt - Millis(aUpdate["config_age_ms"].asInt64()),
                 sentAt });
}

void
FeedRelay::OnPeerConfig(const std::string& aPeer, const PeerConfig& aConfig)
{
  mFeed.ConfirmConfigFromPeer(aConfig);
  RequestConfig(aConfig.mVersion, aPeer);
}

// Reads the store again when no recent update has arrived.
void
FeedRelay::Check()
{
  FetchConfig();
  if (!mFeed.Paused()) {
    return;
  }
  TimePoint now = mState.Now();
  bool stale = now - mFeed.ListConfirmedAt() >= WatchStep::kMaxUpdateAge;
  if (mResumeReadingAt != TimePoint::max()) {
    if (stale || now >= mResumeReadingAt) {
      // The others learn of changes from here on by this instance's watch.
      ResumeReading("followed instance is leaving",
                    StoreFeed::FirstWatch::AtOnce);
    }
  } else if (!mStep.Follows(now)) {
    ResumeReading("no recent update");
  } else if (mState.AgeOf(mFeed.ConfigConfirmedAt()) >= kConfigMaxAge) {
    ResumeReading("configuration not confirmed recently");
  }
}

void
FeedRelay::ResumeReading(const char* aWhy, StoreFeed::FirstWatch aFirst)
{
  mState.mLog.Line("list_read_again")
    .Text("peer", mFollowedPeer)
    .Text("why", aWhy)
    .Ms("age_ms", mState.AgeOf(mFeed.ListConfirmedAt()))
    .Ms("config_age_ms", mState.AgeOf(mFeed.ConfigConfirmedAt()));
  mResumeReadingAt = TimePoint::max();
  mStep.Forget();
  mFeed.Resume(aFirst);
  mEvacuations.SetPaused(false, aFirst);
}

void
FeedRelay::OnLeaving(const std::string& aPeer)
{
  if (!mFeed.Paused() || aPeer != mFollowedPeer) {
    return;
  }
  mStep.Forget();
  mResumeReadingAt = mState.Now();
  if (mState.mLeave.Leaving() || FirstByRank()) {
    mResumeReadingAt += kSuccessorGrace;
  }
  Check();
}

} // namespace caraway
