#include "daemon/ConfigWatcher.h"

#include "base/ConfigCodec.h"
#include "base/Log.h"

namespace caraway {

namespace {

constexpr Millis kSleepStep{ 100 };
constexpr Millis kFirstPause{ 200 };
constexpr Millis kMaxPause{ 2000 };
constexpr Millis kFetchTimeout{ 3000 };

} // namespace

ConfigWatcher::ConfigWatcher(ConfigStore& aStore,
                             ConfigHolder& aHolder,
                             PeerClient& aPeers,
                             Millis aWatch,
                             const Clock& aClock)
  : mFollower(aStore, aHolder, aClock)
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

void
ConfigWatcher::Refresh()
{
  FailureIn([&] { return mFollower.Read(); });
}

void
ConfigWatcher::Run()
{
  Millis pause = kFirstPause;
  while (!mStopping) {
    TimePoint asked = mClock.Now();
    auto failure = FailureIn([&] { return mFollower.Poll(mWatch); });
    if (!failure) {
      pause = kFirstPause;
      continue;
    }
    auto duration = std::chrono::duration_cast<Millis>(mClock.Now() - asked);
    LogWarn("config_watch_lost",
            { { "reason", failure->mDetail },
              { "took_ms", std::to_string(duration.count()) },
              { "age_ms", std::to_string(mHolder.Age().count()) } });
    for (Millis slept(0); slept < pause && !mStopping; slept += kSleepStep) {
      std::this_thread::sleep_for(kSleepStep);
    }
    pause = std::min(pause * 2, kMaxPause);
  }
}

void
ConfigWatcher::OnPeerFreshness(const std::string& aAddress,
                               const ConfigFreshness& aFresh,
                               TimePoint aAsked)
{
  mFollower.OnPeerFreshness(
    aFresh, aAsked, [&] { return FetchFromPeer(aAddress); });
}

std::optional<ConfigSnapshot>
ConfigWatcher::FetchFromPeer(const std::string& aAddress)
{
  Json::Value params;
  params["have"] = Json::Int64(mHolder.Current()->mRevision);
  auto answer = Outcome([&]() -> Result<ConfigSnapshot> {
    BOOST_LEAF_AUTO(
      json, mPeers.Call(aAddress, "config.fetch", params, kFetchTimeout));
    BOOST_LEAF_AUTO(config, ConfigParse(json["config"]));
    config.mRevision = json["revision"].asInt64();
    return config;
  });
  auto* config = std::get_if<ConfigSnapshot>(&answer);
  return config ? std::optional<ConfigSnapshot>(std::move(*config))
                : std::nullopt;
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
