#include "entry/FeedRelay.h"

#include <algorithm>

namespace caraway {

namespace {

// What this instance lacks is fetched at most so often.
constexpr Millis kFetchAgain{ 200 };

constexpr Millis kFetchTime{ 500 };

// Without the configuration for so long it is asked for elsewhere too.
constexpr Millis kAskElsewhere{ 500 };

// What nobody has said to have for so long isn't asked for.
constexpr Millis kHeard{ 3000 };

// A configuration of hundreds of routes has a tenth of a megabyte and more, and
// both ends have a part of a core and perhaps a narrow link.
constexpr Millis kConfigTime{ 2000 };

} // namespace

// ---- By pulses

void
FeedRelay::FillHeartbeat(Json::Value& aHeartbeat) const
{
  aHeartbeat["config"] =
    Json::Int64(mState.mConfig ? mState.mConfig->mVersion : 0);
  aHeartbeat["servers"] = Json::Int64(mFeed.ServersRevision());
  aHeartbeat["rank"] = Rank();
}

void
FeedRelay::ReadHeartbeat(const Peer& aPeer, const Json::Value& aHeartbeat)
{
  WantConfig(aHeartbeat["config"].asInt64(), aPeer.mName);
  int64_t servers = aHeartbeat["servers"].asInt64();
  if (servers <= mFeed.ServersRevision()) {
    return;
  }
  if (mFeed.Fresh() && mStore.Reached()) {
    mFeed.OnPeerServers(servers);
  } else {
    RelayServers(aPeer.mName);
  }
}

void
FeedRelay::WantConfig(int64_t aVersion, const std::string& aPeer)
{
  if (aVersion < mConfigWanted) {
    return;
  }
  if (aVersion > mConfigWanted) {
    mConfigWanted = aVersion;
    mConfigTurn = !mStore.Reached();
    mConfigNext = TimePoint();
  }
  mConfigAt = aPeer;
  mConfigHeard = mState.Now();
  AskForConfig();
}

// From the store, which has the widest link, or when that fails, or takes long,
// from the one that has it: all instances of a zone ask in the same moment. By
// turns: who is told asks the store nothing for seconds, and doesn't know
// whether it answers.
void
FeedRelay::AskForConfig()
{
  int64_t version = mState.mConfig ? mState.mConfig->mVersion : 0;
  TimePoint now = mState.Now();
  if (mConfigWanted <= version || now < mConfigNext ||
      now - mConfigHeard >= kHeard) {
    return;
  }
  mConfigNext = now + kAskElsewhere;
  if (mConfigTurn && !mRelayConfig) {
    RelayConfig(mConfigAt);
  } else if (!mConfigTurn && !mStoreConfig) {
    StoreConfig();
  }
  mConfigTurn = !mConfigTurn;
}

void
FeedRelay::StoreConfig()
{
  mStoreConfig = true;
  mFeed.ReadConfig([this] {
    mStoreConfig = false;
    mConfigNext = std::min(mConfigNext, mState.Now() + kFetchAgain);
  });
}

void
FeedRelay::RelayConfig(const std::string& aPeer)
{
  mRelayConfig = true;
  mPeers.Call(aPeer,
              "config",
              Json::Value(Json::objectValue),
              kConfigTime,
              [this, aPeer](bool aGood, const Json::Value& aResult) {
                mRelayConfig = false;
                mConfigNext = std::min(mConfigNext, mState.Now() + kFetchAgain);
                if (aGood && aResult.isString()) {
                  mFeed.TakeConfigText(aResult.asString(), aPeer);
                }
              });
}

void
FeedRelay::RelayServers(const std::string& aPeer)
{
  if (mState.Now() < mServersNext) {
    return;
  }
  mServersNext = mState.Now() + kFetchAgain;
  mPeers.Call(aPeer,
              "servers",
              Json::Value(Json::objectValue),
              kFetchTime,
              [this, aPeer](bool aGood, const Json::Value& aResult) {
                if (aGood && aResult["revision"].isInt64()) {
                  mFeed.TakeServersText(
                    aResult["entries"], aResult["revision"].asInt64(), aPeer);
                }
              });
}

} // namespace caraway
