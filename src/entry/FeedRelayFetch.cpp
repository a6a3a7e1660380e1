#include "entry/FeedRelay.h"

#include <algorithm>

namespace caraway {

namespace {

// Shortest time between two fetches of the configuration, or of the list of
// servers.
constexpr Millis kFetchInterval{ 200 };

constexpr Millis kFetchTimeout{ 500 };

// When one source has not delivered the configuration within this time, the
// other one, store or peer, is asked as well.
constexpr Millis kConfigSourceInterval{ 500 };

// A starting instance reads the configuration by a list, which has answered
// within this time if the store serves.
constexpr Millis kFirstListTime{ 500 };

// A version that no peer has reported for this long isn't fetched.
constexpr Millis kReportMaxAge{ 3000 };

// A configuration of hundreds of routes has 100 KB and more, and both instances
// may have only a part of a core and a narrow link.
constexpr Millis kConfigFetchTimeout{ 2000 };

} // namespace

// ---- Versions in heartbeats

void
FeedRelay::FillHeartbeat(Json::Value& aHeartbeat) const
{
  aHeartbeat["config"] =
    Json::Int64(mState.mConfig ? mState.mConfig->mVersion : 0);
  aHeartbeat["servers"] = Json::Int64(mFeed.ServersRevision());
  aHeartbeat["rank"] = Rank();
  mEvacuations.Fill(aHeartbeat);
}

void
FeedRelay::ReadHeartbeat(const Peer& aPeer, const Json::Value& aHeartbeat)
{
  // First, so that servers that are fetched from the peer aren't used before.
  mEvacuations.Read(aHeartbeat, aPeer.mName);
  RequestConfig(aHeartbeat["config"].asInt64(), aPeer.mName);
  int64_t servers = aHeartbeat["servers"].asInt64();
  if (servers <= mFeed.ServersRevision()) {
    return;
  }
  if (mFeed.Fresh() && mStore.Reachable()) {
    mFeed.OnPeerRevision(servers);
  } else {
    FetchServersFromPeer(aPeer.mName);
  }
}

void
FeedRelay::RequestConfig(int64_t aVersion, const std::string& aPeer)
{
  if (aVersion < mWantedConfig) {
    return;
  }
  if (aVersion > mWantedConfig) {
    mWantedConfig = aVersion;
    mFetchFromPeerNext = !mStore.Reachable();
    mNextConfigFetchAt = TimePoint();
  }
  mConfigPeer = aPeer;
  mConfigReportedAt = mState.Now();
  FetchConfig();
}

// Fetches the configuration from the store, which has the widest link: all
// instances of a zone fetch it at the same moment. If that fails or takes long,
// fetches it from the peer that has it. The two alternate, because a follower
// makes no calls to the store for seconds and doesn't know whether it answers.
void
FeedRelay::FetchConfig()
{
  int64_t version = mState.mConfig ? mState.mConfig->mVersion : 0;
  TimePoint now = mState.Now();
  if (mWantedConfig <= version || now < mNextConfigFetchAt ||
      now - mConfigReportedAt >= kReportMaxAge) {
    return;
  }
  if (!mState.mConfig && mStore.Reachable() &&
      now - mStartedAt < kFirstListTime) {
    return; // the feed's own list is on its way
  }
  mNextConfigFetchAt = now + kConfigSourceInterval;
  if (mFetchFromPeerNext && !mPeerFetchPending) {
    FetchConfigFromPeer(mConfigPeer);
  } else if (!mFetchFromPeerNext && !mStoreFetchPending) {
    FetchConfigFromStore();
  }
  mFetchFromPeerNext = !mFetchFromPeerNext;
}

void
FeedRelay::FetchConfigFromStore()
{
  mStoreFetchPending = true;
  mFeed.ReadConfig([this] {
    mStoreFetchPending = false;
    mNextConfigFetchAt =
      std::min(mNextConfigFetchAt, mState.Now() + kFetchInterval);
  });
}

void
FeedRelay::FetchConfigFromPeer(const std::string& aPeer)
{
  mPeerFetchPending = true;
  mPeers.Call(aPeer,
              "config",
              Json::Value(Json::objectValue),
              kConfigFetchTimeout,
              [this, aPeer](bool aGood, const Json::Value& aResult) {
                mPeerFetchPending = false;
                mNextConfigFetchAt =
                  std::min(mNextConfigFetchAt, mState.Now() + kFetchInterval);
                if (aGood && aResult.isString()) {
                  mFeed.ApplyConfigText(aResult.asString(), aPeer);
                }
              });
}

void
FeedRelay::FetchServersFromPeer(const std::string& aPeer)
{
  if (mState.Now() < mNextServersFetchAt) {
    return;
  }
  mNextServersFetchAt = mState.Now() + kFetchInterval;
  mPeers.Call(aPeer,
              "servers",
              Json::Value(Json::objectValue),
              kFetchTimeout,
              [this, aPeer](bool aGood, const Json::Value& aResult) {
                if (aGood && aResult["revision"].isInt64()) {
                  mFeed.ApplyServersJson(
                    aResult["entries"], aResult["revision"].asInt64(), aPeer);
                }
              });
}

} // namespace caraway
