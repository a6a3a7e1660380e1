#include "entry/FeedRelay.h"

#include <algorithm>
#include <optional>

#include "base/JsonText.h"
#include "entry/LeaseLoop.h"

namespace caraway {

namespace {

constexpr char kNews[] = "news";

constexpr char kReadNews[] = "read_news";

// News count as so long on the way until that is known: where all start at once
// and nobody follows, the news of all fill their links.
constexpr Millis kUnknownWay{ 500 };

// When a reader leaves, the first by rank reads at once; the others give it so
// long to tell.
constexpr Millis kFirstTells{ 300 };

// Who is asked to read does so in milliseconds, or can't.
constexpr Millis kHandOver{ 5000 };

// News are told at once, and again so often: a lost datagram is made good.
constexpr Millis kTellAgain{ 300 };

constexpr Millis kCheck{ 100 };

// Each datagram has the changes of so long, so that who missed a few of them
// lacks nothing.
constexpr Millis kRemember{ 3000 };

// Of the 64 KB that a datagram holds; a change has a kilobyte or two. What is
// left out must be read from the store.
constexpr size_t kMostBytes = 40000;

// A configuration is read from the store that long after it was known to be the
// newest. A reader's watch of it returns after two seconds at the latest.
constexpr Millis kConfigFollow{ 2500 };

} // namespace

FeedRelay::FeedRelay(EntryState& aState,
                     StoreClient& aStore,
                     Peers& aPeers,
                     ConfigFeed& aFeed)
  : mState(aState)
  , mStore(aStore)
  , mPeers(aPeers)
  , mFeed(aFeed)
  , mStep(Rank())
{
}

void
FeedRelay::Start()
{
  mPeers.Add("config", [this](const Json::Value&) {
    return Json::Value(mFeed.ConfigText());
  });
  mPeers.Add("servers", [this](const Json::Value&) {
    Json::Value result;
    result["revision"] = Json::Int64(mFeed.ServersRevision());
    result["entries"] = mFeed.ServersText();
    return result;
  });
  mPeers.OnMessage(kNews, [this](const Json::Value& aNews) { OnTold(aNews); });
  mPeers.OnMessage(kReadNews, [this](const Json::Value&) {
    if (mFeed.Paused() && !mState.mLeave.Leaving()) {
      ReadAgain("asked to");
    }
  });
  mPeers.OnLeaving([this](const std::string& aPeer) { OnLeaving(aPeer); });
  mFeed.OnNews([this] { OnNews(); });
  mFeed.OnTaken([this](const StoreChange& aChange) { OnTaken(aChange); });
  mState.mReactor.Every(kTellAgain, [this] { Tell(); });
  mState.mReactor.Every(kCheck, [this] { Check(); });
}

// ---- Telling

void
FeedRelay::OnNews()
{
  if (mTellDue) {
    return;
  }
  mTellDue = true;
  mState.mReactor.After(Millis(0), [this] {
    mTellDue = false;
    Tell();
  });
}

void
FeedRelay::OnTaken(const StoreChange& aChange)
{
  if (!mFeed.Paused()) {
    size_t bytes = JsonWrite(aChange.mObject.mSpec).size();
    mLately.push_back({ mState.Now(), aChange, bytes });
  }
}

void
FeedRelay::Tell()
{
  if (mFeed.Paused() || !mFeed.Fresh() || mState.mLeave.Leaving()) {
    return;
  }
  mMarks.push_back({ mState.Now(), mFeed.ServersWhole() });
  Trim();
  mPeers.SendMessageInZone(kNews, News());
  HandOver();
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
FeedRelay::HandOver()
{
  TimePoint now = mState.Now();
  if (!mPeers.Claims(ZoneLeaseName(mState.mSettings.mZone)) ||
      now < mHandOverNext) {
    return;
  }
  if (const Peer* first = First()) {
    mHandOverNext = now + kHandOver;
    mPeers.SendMessageTo(first->mName, kReadNews, Json::Value());
  }
}

const Peer*
FeedRelay::First() const
{
  const Peer* first = nullptr;
  for (const auto& [name, peer] : mPeers.All()) {
    bool may = peer.mZone == mState.mSettings.mZone && !peer.mRank.empty() &&
               !peer.mLeaving && mPeers.Alive(peer);
    if (may && peer.mRank < (first ? first->mRank : Rank())) {
      first = &peer;
    }
  }
  return first;
}

void
FeedRelay::Trim()
{
  TimePoint now = mState.Now();
  while (mMarks.size() > 1 && now - mMarks[1].mAt >= kRemember) {
    mMarks.pop_front();
  }
  size_t bytes = 0;
  for (const Told& told : mLately) {
    bytes += told.mBytes;
  }
  while (bytes > kMostBytes && mMarks.size() > 1) {
    mMarks.pop_front();
    bytes -= DropBeforeFirstMark();
  }
  DropBeforeFirstMark();
}

size_t
FeedRelay::DropBeforeFirstMark()
{
  size_t bytes = 0;
  while (!mLately.empty() && mLately.front().mAt < mMarks.front().mAt) {
    bytes += mLately.front().mBytes;
    mLately.pop_front();
  }
  return bytes;
}

Json::Value
FeedRelay::News()
{
  Json::Value news;
  news["from"] = mState.mSettings.mName;
  news["rank"] = Rank();
  news["since"] = Json::Int64(mMarks.front().mRevision);
  news["to"] = Json::Int64(mMarks.back().mRevision);
  news["seen"] = Json::Int64(mFeed.ServersRevision());
  news["age_ms"] = Json::Int64(mState.AgeOf(mFeed.ListNews()).count());
  news["config"] = Json::Int64(mState.mConfig ? mState.mConfig->mVersion : 0);
  news["config_age_ms"] = Json::Int64(mState.AgeOf(mFeed.ConfigNews()).count());
  news["echoes"] = mPeers.Echoes();
  Json::Value& changes = news["changes"];
  changes = Json::Value(Json::arrayValue);
  for (const Told& told : mLately) {
    Json::Value change;
    change["name"] = told.mChange.mObject.mName;
    change["revision"] = Json::Int64(told.mChange.mObject.mRevision);
    if (told.mChange.mRemoved) {
      change["removed"] = true;
    } else {
      change["spec"] = told.mChange.mObject.mSpec;
    }
    changes.append(change);
  }
  return news;
}

// ---- Being told

void
FeedRelay::OnTold(const Json::Value& aNews)
{
  std::string from = aNews["from"].asString();
  if (!mPeers.IsStaying(from)) {
    return;
  }
  Millis onTheWay = mPeers.RoundTripTime(aNews["echoes"]).value_or(kUnknownWay);
  TimePoint now = mState.Now();
  TimePoint newsAt = now - onTheWay - Millis(aNews["age_ms"].asInt64());
  Millis configAge = onTheWay + Millis(aNews["config_age_ms"].asInt64());
  int64_t known = mFeed.ServersWhole();
  mStep.SetSelf(Rank());
  // News that begin behind what is known here have a gap before them.
  if (known == 0 || aNews["since"].asInt64() > known ||
      configAge >= kConfigFollow ||
      !mStep.OnTold(aNews["rank"].asString(),
                    newsAt,
                    !mFeed.Paused() && mFeed.Fresh() ? mFeed.ListNews()
                                                     : TimePoint(),
                    now)) {
    return;
  }
  if (!mFeed.Paused()) {
    mState.mLog.Line("list_followed")
      .Text("peer", from)
      .Ms("age_ms", mState.AgeOf(newsAt))
      .Ms("on_the_way_ms", onTheWay);
    mFeed.Pause();
    mLately.clear();
    mMarks.clear();
  }
  mTeller = from;
  mReadAt = TimePoint::max();
  TakeNews(aNews, onTheWay);
}

void
FeedRelay::TakeNews(const Json::Value& aNews, Millis aOnTheWay)
{
  TimePoint sentAt = mState.Now() - aOnTheWay;
  std::vector<StoreChange> changes;
  for (const Json::Value& item : aNews["changes"]) {
    StoreChange change;
    change.mObject.mName = item["name"].asString();
    change.mObject.mRevision = item["revision"].asInt64();
    change.mObject.mSpec = item["spec"];
    change.mRemoved = item["removed"].asBool();
    changes.push_back(std::move(change));
  }
  mFeed.TakeTold(changes,
                 aNews["to"].asInt64(),
                 aNews["seen"].asInt64(),
                 sentAt - Millis(aNews["age_ms"].asInt64()));
  int64_t version = aNews["config"].asInt64();
  mFeed.TakeToldConfig(version,
                       sentAt - Millis(aNews["config_age_ms"].asInt64()));
  WantConfig(version, aNews["from"].asString());
}

// Who is told nothing fresh reads by itself.
void
FeedRelay::Check()
{
  AskForConfig();
  if (!mFeed.Paused()) {
    return;
  }
  TimePoint now = mState.Now();
  bool old = now - mFeed.ListNews() >= WatchStep::kMaxUpdateAge;
  if (mReadAt != TimePoint::max()) {
    if (old || now >= mReadAt) {
      ReadAgain("it leaves");
    }
  } else if (!mStep.Follows(now)) {
    ReadAgain("nothing fresh");
  } else if (mState.AgeOf(mFeed.ConfigNews()) >= kConfigFollow) {
    ReadAgain("old configuration");
  }
}

void
FeedRelay::ReadAgain(const char* aWhy)
{
  mState.mLog.Line("list_read_again")
    .Text("peer", mTeller)
    .Text("why", aWhy)
    .Ms("age_ms", mState.AgeOf(mFeed.ListNews()))
    .Ms("config_age_ms", mState.AgeOf(mFeed.ConfigNews()));
  mReadAt = TimePoint::max();
  mStep.Forget();
  mFeed.Resume();
}

void
FeedRelay::OnLeaving(const std::string& aPeer)
{
  if (!mFeed.Paused() || aPeer != mTeller) {
    return;
  }
  mStep.Forget();
  mReadAt = mState.Now();
  if (mState.mLeave.Leaving() || First()) {
    mReadAt += kFirstTells;
  }
  Check();
}

} // namespace caraway
