#include "entry/FeedCheck.h"

#include <utility>

namespace caraway {

namespace {

constexpr char kConfigStateMethod[] = "config_state";

// The store answers within milliseconds; if it doesn't, other instances are
// asked as well.
constexpr Millis kPeerDelay{ 100 };
constexpr size_t kPeersAsked = 2;

constexpr Millis kPollInterval{ 10 };

} // namespace

FeedCheck::FeedCheck(EntryState& aState,
                     Peers& aPeers,
                     ConfigFeed& aFeed,
                     EvacuationFeed& aEvacuations,
                     FeedRelay& aRelay)
  : mState(aState)
  , mPeers(aPeers)
  , mFeed(aFeed)
  , mEvacuations(aEvacuations)
  , mRelay(aRelay)
{
}

void
FeedCheck::Start()
{
  mPeers.AddMethod(kConfigStateMethod,
                   [this](const Json::Value&) { return OwnConfig(); });
  Check({});
}

void
FeedCheck::Check(std::function<void()> aDone)
{
  if (aDone) {
    mWaiting.push_back(std::move(aDone));
  }
  if (mRunning) {
    return;
  }
  mRunning = true;
  mPeersAsked = false;
  mBeganAt = mState.Now();
  AskStore();
  mState.mReactor.After(kPollInterval, [this] { Poll(); });
}

void
FeedCheck::ReadServer(const std::string& aServer, std::function<void()> aDone)
{
  mFeed.ReadServer(aServer, std::move(aDone));
}

// An instance that follows another one gets the list and the evacuations with
// that one's next update.
void
FeedCheck::AskStore()
{
  constexpr auto kCheck = FeedFreshness::Verdict::Check;
  if (!mFeed.ListingConfig()) {
    mFeed.ReadConfig([] {});
  }
  if (!mFeed.Paused() && mState.mListFreshness.ToServe() == kCheck) {
    mFeed.RefreshServers("in doubt");
  }
  if (mState.mEvacuationFreshness.ToServe() == kCheck) {
    mEvacuations.Refresh("in doubt");
  }
}

Json::Value
FeedCheck::OwnConfig() const
{
  Json::Value state(Json::objectValue);
  TimePoint confirmedAt = mState.mConfigFreshness.ConfirmedAt();
  if (mState.mConfig && confirmedAt != TimePoint()) {
    state["version"] = Json::Int64(mState.mConfig->mVersion);
    state["age_ms"] = Json::Int64(mState.AgeOf(confirmedAt).count());
  }
  return state;
}

void
FeedCheck::AskPeers()
{
  mPeersAsked = true;
  std::vector<std::string> alive;
  for (const auto& [name, peer] : mPeers.All()) {
    if (mPeers.Alive(peer) && !peer.mLeaving) {
      alive.push_back(name);
    }
  }
  for (size_t i = 0; i < kPeersAsked && !alive.empty(); ++i) {
    std::uniform_int_distribution<size_t> pick(0, alive.size() - 1);
    auto at = alive.begin() + static_cast<std::ptrdiff_t>(pick(mState.mRandom));
    AskPeer(*at);
    alive.erase(at);
  }
}

void
FeedCheck::AskPeer(const std::string& aPeer)
{
  mPeers.Call(
    aPeer,
    kConfigStateMethod,
    Json::Value(Json::objectValue),
    kMaxTime,
    [this, aPeer, askedAt = mState.Now()](bool aGood,
                                          const Json::Value& aResult) {
      if (aGood && aResult["version"].isInt64()) {
        mRelay.OnPeerConfig(aPeer,
                            { aResult["version"].asInt64(),
                              askedAt - Millis(aResult["age_ms"].asInt64()),
                              askedAt });
      }
    });
}

bool
FeedCheck::Settled() const
{
  return mState.mConfigFreshness.ToDeny(mState.Now()) ==
           FeedFreshness::Verdict::Rely &&
         !mState.InDoubt();
}

void
FeedCheck::Poll()
{
  Millis age = mState.AgeOf(mBeganAt);
  if (Settled() || age >= MaxTime(mState.mReactor.LastDelay())) {
    End();
    return;
  }
  if (age >= kPeerDelay && !mPeersAsked) {
    AskPeers();
  }
  mState.mReactor.After(kPollInterval, [this] { Poll(); });
}

void
FeedCheck::NoteFailures()
{
  TimePoint now = mState.Now();
  constexpr auto kRely = FeedFreshness::Verdict::Rely;
  if (mState.mConfigFreshness.ToDeny(now) != kRely) {
    mState.mConfigFreshness.OnCheckFailed(now);
  }
  for (FeedFreshness* feed :
       { &mState.mListFreshness, &mState.mEvacuationFreshness }) {
    if (feed->ToServe() != kRely) {
      feed->OnCheckFailed(now);
    }
  }
}

void
FeedCheck::End()
{
  mRunning = false;
  NoteFailures();
  mState.mLog.Line("feeds_checked")
    .Flag("confirmed", Settled())
    .Count("version", mState.mConfig ? mState.mConfig->mVersion : 0)
    .Ms("config_age_ms", mState.AgeOf(mFeed.ConfigConfirmedAt()))
    .Ms("list_age_ms", mState.AgeOf(mFeed.ListConfirmedAt()))
    .Count("requests", static_cast<int64_t>(mWaiting.size()))
    .Ms("after_ms", mState.AgeOf(mBeganAt));
  mState.mMetrics.Count("caraway_feed_checks_total",
                        Settled() ? "confirmed=\"yes\"" : "confirmed=\"no\"");
  auto waiting = std::move(mWaiting);
  mWaiting.clear();
  for (const auto& done : waiting) {
    done();
  }
}

} // namespace caraway
