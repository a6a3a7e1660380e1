#include "entry/ConfigFeed.h"

#include <limits>

#include "base/JsonText.h"
#include "entry/ColdReports.h"
#include "platform/ConfigMessage.h"
#include "platform/WireNames.h"

namespace caraway {

namespace {

// Limits how long a silently dead connection of the watch goes unnoticed. A
// change must be in force within three seconds of the connection's death, and
// within two seconds of the time when the fault counts as mended.
constexpr Millis kConfigWatchTime{ 2000 };

// Instances that follow this one rely on an update for little longer than this
// (WatchStep::kMaxUpdateAge). While nothing changes, only the end of a watch
// confirms the list.
constexpr Millis kServersWatchTime{ 1000 };

// A list and a configuration confirmed within this time show that the feed
// works.
constexpr Millis kFreshLimit{ 2800 };

} // namespace

ConfigFeed::ConfigFeed(EntryState& aState,
                       StoreClient& aStore,
                       std::function<void()> aChanged)
  : mState(aState)
  , mStore(aStore)
  , mChanged(std::move(aChanged))
  , mConfigObjects(aState.mReactor,
                   aState.mLog,
                   aStore,
                   wire::kConfigKind,
                   kConfigWatchTime,
                   { [this](const std::vector<StoreChange>& aAll) {
                      for (const StoreChange& change : aAll) {
                        OnConfig(change.mObject);
                      }
                    },
                     [this](const StoreChange& aChange) {
                       if (!aChange.mRemoved) {
                         OnConfig(aChange.mObject);
                       }
                     },
                     [this] {
                       mState.mConfigFreshness.OnConfirmed(
                         mConfigObjects.ConfirmedAt());
                       mOnUpdate();
                     } })
  , mServerObjects(aState.mReactor,
                   aState.mLog,
                   aStore,
                   wire::kServersKind,
                   kServersWatchTime,
                   { [this](const std::vector<StoreChange>& aAll) {
                      OnServers(aAll, std::numeric_limits<int64_t>::max());
                    },
                     [this](const StoreChange& aChange) { OnServer(aChange); },
                     [this] {
                       mState.mListFreshness.OnConfirmed(
                         mServerObjects.ConfirmedAt());
                       mOnUpdate();
                     } })
{
}

void
ConfigFeed::Start()
{
  mConfigObjects.Start();
  mServerObjects.Start();
}

void
ConfigFeed::Pause()
{
  mPaused = true;
  mConfigObjects.Stop();
  mServerObjects.Stop();
}

void
ConfigFeed::Resume(StoreFeed::FirstWatch aFirst)
{
  mPaused = false;
  mConfigObjects.Start(aFirst);
  mServerObjects.Start(aFirst);
}

bool
ConfigFeed::Fresh() const
{
  TimePoint now = mState.Now();
  return mState.mServersKnown && now - ListConfirmedAt() < kFreshLimit &&
         now - ConfigConfirmedAt() < kFreshLimit;
}

int64_t
ConfigFeed::ServersCompleteTo() const
{
  return std::max(mServerObjects.AsOf(), mPeerCompleteTo);
}

TimePoint
ConfigFeed::ListConfirmedAt() const
{
  return mState.mListFreshness.ConfirmedAt();
}

TimePoint
ConfigFeed::ConfigConfirmedAt() const
{
  return mState.mConfigFreshness.ConfirmedAt();
}

// ---- Configuration

void
ConfigFeed::OnConfig(const StoreObject& aObject)
{
  if (aObject.mName == wire::kConfigName) {
    ApplyConfigText(JsonWrite(aObject.mSpec), "store");
  }
}

void
ConfigFeed::ReadConfig(std::function<void()> aDone)
{
  mStore.Call("config_read",
              wire::ReadCall(wire::kConfigKind, wire::kConfigName),
              [this, done = std::move(aDone), askedAt = mState.Now()](
                StoreOutcome aOutcome, const std::string& aBody) {
                auto object = wire::ReadObjectAnswer(aBody);
                if (aOutcome == StoreOutcome::Done && object) {
                  OnConfig(*object);
                  mState.mConfigFreshness.OnConfirmed(askedAt);
                }
                done();
              });
}

void
ConfigFeed::ApplyConfigText(const std::string& aText, const std::string& aFrom)
{
  int leftOut = 0;
  auto config = wire::ReadConfig(JsonParseOrEmpty(aText), leftOut);
  if (!config) {
    mState.mLog.Line("config_unreadable").Text("from", aFrom);
    return;
  }
  int64_t before = mState.mConfig ? mState.mConfig->mVersion : 0;
  // Versions never go back: any source may deliver an old answer.
  if (mState.mConfig && config->mVersion <= before) {
    return;
  }
  if (mState.mConfig) {
    config->KeepSizes(*mState.mConfig);
  }
  mState.mLog.Line("config_in_force")
    .Count("version", config->mVersion)
    .Count("before", before)
    .Count("routes", static_cast<int64_t>(config->mRoutes.size()))
    .Count("keys", static_cast<int64_t>(config->mTenantOfKey.size()))
    .Count("left_out", leftOut)
    .Count("bytes", static_cast<int64_t>(aText.size()))
    .Text("from", aFrom);
  for (const std::string& field : config->mIgnored) {
    LogIgnored(mState, "configuration", field);
  }
  mState.mServers.SetColdSpecs(config->ColdSpecs());
  mConfigText = aText;
  mState.mConfig = std::make_shared<const ServingConfig>(std::move(*config));
  mState.mConfigFrom = aFrom;
  if (mState.mConfig->mVersion >= mPeerConfig.mVersion) {
    ApplyPeerConfig(mPeerConfig);
  }
  mOnUpdate();
  mChanged();
}

// ---- Other instances

void
ConfigFeed::ConfirmConfigFromPeer(const PeerConfig& aPeerConfig)
{
  if (mState.mConfig && mState.mConfig->mVersion >= aPeerConfig.mVersion) {
    ApplyPeerConfig(aPeerConfig);
  } else if (aPeerConfig.mVersion >= mPeerConfig.mVersion) {
    mPeerConfig = aPeerConfig;
  }
}

void
ConfigFeed::ApplyPeerConfig(const PeerConfig& aPeerConfig)
{
  mState.mConfigFreshness.OnConfirmed(aPeerConfig.mNewestAt);
  mState.mConfigFreshness.OnHeard(aPeerConfig.mSentAt);
}

} // namespace caraway
