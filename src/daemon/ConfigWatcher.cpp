#include "daemon/ConfigWatcher.h"

#include "base/ConfigCodec.h"
#include "base/Log.h"

namespace caraway {

namespace {

constexpr Millis kStep{ 100 };
constexpr Millis kFirstPause{ 200 };
constexpr Millis kMostPause{ 2000 };
constexpr Millis kFetchTime{ 3000 };

} // namespace

ConfigWatcher::ConfigWatcher(ConfigStore& aStore,
                             ConfigHolder& aHolder,
                             PeerClient& aPeers,
                             Millis aWatch,
                             const Clock& aClock)
  : mStore(aStore)
  , mHolder(aHolder)
  , mPeers(aPeers)
  , mWatch(aWatch)
  , mClock(aClock)
{
}

ConfigWatcher::~ConfigWatcher()
{
  Stop();
}

void
ConfigWatcher::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
ConfigWatcher::Stop()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
ConfigWatcher::Take(const ConfigIndex& aIndex, TimePoint aAsked)
{
  mVersion = std::max<int64_t>(mVersion, aIndex.mVersion);
  if (aIndex.mNow.mRevision > mHolder.Current()->mRevision) {
    auto loaded = Outcome([&] { return mStore.Load(aIndex.mNow); });
    if (auto* failure = std::get_if<Failure>(&loaded)) {
      LogWarn("config_not_loaded",
              { { "revision", std::to_string(aIndex.mNow.mRevision) },
                { "reason", failure->mDetail } });
      mVersion = 0;
      return false;
    }
    if (mHolder.Adopt(std::get<ConfigSnapshot>(std::move(loaded)))) {
      LogInfo("config_in_force",
              { { "revision", std::to_string(aIndex.mNow.mRevision) },
                { "from", "platform" } });
    }
  }
  mHolder.Confirm(aIndex.mNow.mRevision, aAsked);
  return true;
}

void
ConfigWatcher::Refresh()
{
  TimePoint asked = mClock.Now();
  auto index = Outcome([&] { return mStore.Index(); });
  if (auto* found = std::get_if<ConfigIndex>(&index)) {
    Take(*found, asked);
  }
}

void
ConfigWatcher::Run()
{
  Millis pause = kFirstPause;
  while (!mStopping) {
    TimePoint asked = mClock.Now();
    auto index = Outcome([&] {
      return mVersion == 0 ? mStore.Index()
                           : mStore.WatchIndex(mVersion, mWatch);
    });
    bool fine = false;
    if (auto* found = std::get_if<ConfigIndex>(&index)) {
      fine = Take(*found, asked);
    } else {
      bool noChange =
        std::get<Failure>(index).mKind == ErrorKind::NotFound && mVersion != 0;
      if (noChange) {
        // As of when it was asked: the platform may have changed since.
        mHolder.Confirm(mHolder.Current()->mRevision, asked);
      }
      fine = noChange;
    }
    if (fine) {
      pause = kFirstPause;
      continue;
    }
    LogWarn(
      "config_watch_lost",
      { { "reason",
          std::get_if<Failure>(&index) ? std::get<Failure>(index).mDetail
                                       : "not loaded" },
        { "took_ms",
          std::to_string(
            std::chrono::duration_cast<Millis>(mClock.Now() - asked).count()) },
        { "age_ms", std::to_string(mHolder.Age().count()) } });
    for (Millis slept(0); slept < pause && !mStopping; slept += kStep) {
      std::this_thread::sleep_for(kStep);
    }
    pause = std::min(pause * 2, kMostPause);
  }
}

void
ConfigWatcher::PeerSaid(const std::string& aAddress,
                        int64_t aRevision,
                        Millis aAge,
                        TimePoint aAsked)
{
  if (aRevision > mHolder.Current()->mRevision) {
    FetchFromPeer(aAddress);
  }
  // It was sure at (its moment of answering - aAge), which is no later than
  // ours of asking plus the call; counting from the asking is on the safe
  // side.
  if (aRevision > 0) {
    mHolder.Confirm(aRevision, aAsked - aAge);
  }
}

void
ConfigWatcher::FetchFromPeer(const std::string& aAddress)
{
  Json::Value params;
  params["have"] = Json::Int64(mHolder.Current()->mRevision);
  auto answer = Outcome([&]() -> Result<ConfigSnapshot> {
    BOOST_LEAF_AUTO(json,
                    mPeers.Call(aAddress, "config.fetch", params, kFetchTime));
    BOOST_LEAF_AUTO(config, ConfigParse(json["config"]));
    config.mRevision = json["revision"].asInt64();
    return config;
  });
  auto* config = std::get_if<ConfigSnapshot>(&answer);
  if (!config) {
    return;
  }
  int64_t revision = config->mRevision;
  if (mHolder.Adopt(std::move(*config))) {
    LogInfo("config_in_force",
            { { "revision", std::to_string(revision) }, { "from", aAddress } });
  }
}

void
ConfigWatcher::AddMethods(
  const std::function<void(const char*, PeerMethod)>& aAdd)
{
  aAdd("config.fetch", [this](const Json::Value&) {
    ConfigPtr config = mHolder.Current();
    Json::Value json;
    json["revision"] = Json::Int64(config->mRevision);
    json["config"] = ConfigJson(*config);
    return json;
  });
}

} // namespace caraway
