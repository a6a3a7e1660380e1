#include "entry/StreamRecords.h"

#include <algorithm>

#include "platform/JsonReading.h"

namespace caraway {

namespace {

// Callers choose the ids; the store bounds the size of an object.
constexpr size_t kMaxIdBytes = 128;

constexpr Millis kSweepInterval{ 1000 };

// An event that is held back for longer reaches its caller late.
constexpr Millis kMaxHold{ 100 };

// A stream that begins so long after the last server of another version has
// gone still has a record: all instances may be killed, and then nothing else
// tells it from the streams of that version. No stream takes longer.
constexpr Millis kOtherVersionMemory{ 60000 };

// Without the store's answer, a list that was confirmed longer ago decides
// nothing at an instance that is cut off: it doesn't hear of a new version.
constexpr Millis kMaxListAge{ 3000 };

// An instance may not know of a version that came so short a time ago, so that
// its streams have no record.
constexpr int64_t kUnawareMs = 3000;

// Objects of instances that have gone are removed after this. Far longer than
// any stream, as clocks differ.
constexpr int64_t kOutdatedMs = 10 * 60 * 1000;

} // namespace

const char*
OriginSourceName(OriginSource aSource)
{
  switch (aSource) {
    case OriginSource::Memory:
      return "memory";
    case OriginSource::Store:
      return "store";
    case OriginSource::Sole:
      return "sole_version";
    case OriginSource::Assumed:
      return "assumed";
    case OriginSource::Unknown:
      break;
  }
  return "unknown";
}

StreamRecords::StreamRecords(EntryState& aState,
                             StoreClient& aStore,
                             Peers& aPeers)
  : mState(aState)
  , mStore(aStore)
  , mPeers(aPeers)
  , mWriteBudget(kFleetWritesPerSecond, kWriteBurst, aState.Now())
{
  mWriteBudget.Fill(kWriteBurst, aState.Now());
}

void
StreamRecords::Start()
{
  mStartedUnixMs = UnixMs();
  mState.mReactor.Every(kSweepInterval, [this] { Sweep(); });
  mPeers.OnMessage(kToldMessage,
                   [this](const Json::Value& aMessage) { OnTold(aMessage); });
}

int64_t
StreamRecords::UnixMs() const
{
  auto now = mState.mReactor.SourceClock().WallNow().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

bool
StreamRecords::MustStore(const Record& aRecord) const
{
  const StreamOrigin& origin = aRecord.mOrigin;
  return mState.mServers.Versions().HadOther(
    origin.mService, origin.mVersion, kOtherVersionMemory, mState.Now());
}

void
StreamRecords::Sweep()
{
  TimePoint now = mState.Now();
  for (auto at = mRecords.begin(); at != mRecords.end();) {
    at = now < at->second.mUntil ? std::next(at) : mRecords.erase(at);
  }
  CallWaiters();
}

// Streams that began while only one version was there have no record in the
// store yet.
void
StreamRecords::OnServersChanged()
{
  if (mListedAt == TimePoint() && mState.mServersKnown) {
    mListedAt = mState.Now();
  }
  uint64_t changes = mState.mServers.Versions().Changes();
  if (changes == mVersionChanges) {
    return;
  }
  mVersionChanges = changes;
  for (const auto& [stream, record] : mRecords) {
    if (record.mWrite == 0 && MustStore(record)) {
      WriteSoon();
      return;
    }
  }
}

void
StreamRecords::Put(const std::string& aStream,
                   const StreamOrigin& aOrigin,
                   Millis aLife)
{
  if (aStream.size() > kMaxIdBytes) {
    return;
  }
  Record& record = mRecords[aStream];
  record.mUntil = std::max(record.mUntil, mState.Now() + aLife);
  if (!(record.mOrigin == aOrigin)) {
    record.mOrigin = aOrigin;
    record.mWrite = 0;
    record.mTold = false;
  }
  if (record.mWrite == 0 && MustStore(record)) {
    WriteSoon();
  }
}

bool
StreamRecords::Stored(const std::string& aStream) const
{
  auto found = mRecords.find(aStream);
  if (found == mRecords.end() || !MustStore(found->second)) {
    return true;
  }
  return found->second.mWrite > 0 && found->second.mWrite <= mDone;
}

void
StreamRecords::WhenStored(const std::string& aStream,
                          std::function<void()> aDone)
{
  // While the store doesn't take it, nothing is gained by holding events back.
  Millis hold = mFailing ? Millis(0) : kMaxHold;
  mWaiters.push_back({ aStream, mState.Now() + hold, std::move(aDone) });
  mState.mReactor.After(hold, [this] { CallWaiters(); });
}

void
StreamRecords::CallWaiters()
{
  TimePoint now = mState.Now();
  std::vector<Waiter> due;
  std::vector<Waiter> left;
  for (Waiter& waiter : mWaiters) {
    bool ready = now >= waiter.mUntil || Stored(waiter.mStream);
    (ready ? due : left).push_back(std::move(waiter));
  }
  mWaiters = std::move(left);
  bool late = std::any_of(due.begin(), due.end(), [this](const Waiter& aOne) {
    return !Stored(aOne.mStream);
  });
  if (late) {
    TellPeers();
  }
  for (const Waiter& waiter : due) {
    waiter.mDone();
  }
}

void
StreamRecords::ForEach(const Json::Value& aServices, const OnStream& aOnStream)
{
  if (!aServices.isObject()) {
    return;
  }
  for (const std::string& service : aServices.getMemberNames()) {
    const Json::Value& versions = aServices[service];
    if (!versions.isObject()) {
      continue;
    }
    for (const std::string& version : versions.getMemberNames()) {
      for (const Json::Value& stream : versions[version]) {
        if (stream.isString()) {
          aOnStream({ service, version }, stream.asString());
        }
      }
    }
  }
}

// ---- Reading

void
StreamRecords::Find(const StreamQuery& aQuery, Found aDone)
{
  auto known = mRecords.find(aQuery.mStream);
  if (known != mRecords.end()) {
    aDone({ known->second.mOrigin, OriginSource::Memory });
    return;
  }
  mNextQueries.push_back({ aQuery, std::move(aDone) });
  if (!mReading) {
    BeginRead();
  }
}

// One read serves all queries that came before it.
void
StreamRecords::BeginRead()
{
  mReading = true;
  mQueries = std::move(mNextQueries);
  mNextQueries.clear();
  ReadPage("");
}

void
StreamRecords::ReadPage(const std::string& aAfter)
{
  mStore.Call("streams_read",
              wire::ListCall(kKind, aAfter, false),
              [this](StoreOutcome aOutcome, const std::string& aBody) {
                OnPage(aOutcome, aBody);
              });
}

void
StreamRecords::OnPage(StoreOutcome aOutcome, const std::string& aBody)
{
  auto page = wire::ReadListAnswer(aBody);
  if (aOutcome != StoreOutcome::Done || !page) {
    EndRead(false);
    return;
  }
  for (const StoreChange& change : page->mChanges) {
    TakeFrom(change.mObject);
    DropOutdated(change.mObject);
  }
  if (page->mMore && !page->mChanges.empty()) {
    ReadPage(page->mChanges.back().mObject.mName);
    return;
  }
  EndRead(true);
}

// Takes only what is asked for: until the first event of a stream, its record
// may change.
void
StreamRecords::TakeFrom(const StoreObject& aObject)
{
  ForEach(wire::Field(aObject.mSpec, "streams"),
          [this](const StreamOrigin& aOrigin, const std::string& aStream) {
            for (const PendingQuery& pending : mQueries) {
              if (pending.mQuery.mStream == aStream) {
                Put(aStream, aOrigin, pending.mQuery.mLife);
              }
            }
          });
}

void
StreamRecords::DropOutdated(const StoreObject& aObject)
{
  auto written = wire::Integer(aObject.mSpec, "written");
  if (aObject.mName == mState.mSettings.mName || !written ||
      UnixMs() - *written < kOutdatedMs) {
    return;
  }
  mState.mLog.Line("streams_outdated").Text("of", aObject.mName);
  mStore.Call("streams_drop",
              wire::DeleteCall(kKind, aObject.mName, aObject.mRevision),
              [](StoreOutcome, const std::string&) {
                // Whoever reads the list next tries again.
              });
}

void
StreamRecords::EndRead(bool aComplete)
{
  mReading = false;
  std::vector<PendingQuery> queries = std::move(mQueries);
  mQueries.clear();
  for (const PendingQuery& pending : queries) {
    AnswerFromList(pending, aComplete);
  }
  if (!mReading && !mNextQueries.empty()) {
    BeginRead();
  }
}

// The list may lack a version that others know, and at which they begin
// streams. While the store is silent to all, most of the others are heard, and
// tell what they know.
bool
StreamRecords::ListIsOld() const
{
  const auto& peers = mPeers.All();
  auto alive =
    std::count_if(peers.begin(), peers.end(), [this](const auto& aPeer) {
      return mPeers.Alive(aPeer.second);
    });
  bool heard = !peers.empty() && 2 * static_cast<size_t>(alive) >= peers.size();
  Millis age = mState.AgeOf(mState.mListFreshness.ConfirmedAt());
  return mState.InDoubt() || (age > kMaxListAge && !heard);
}

// The version of a stream without a record, where this instance has seen all
// servers that can have begun it, and the store, or a list that is up to date,
// says that there is no other one by now.
std::optional<std::string>
StreamRecords::SoleVersion(const StreamQuery& aQuery, bool aComplete) const
{
  bool seenAll =
    mListedAt != TimePoint() && mState.AgeOf(mListedAt) >= aQuery.mLife;
  if (!seenAll || (!aComplete && ListIsOld())) {
    return std::nullopt;
  }
  return mState.mServers.Versions().Sole(
    aQuery.mService, aQuery.mLife, mState.Now());
}

// A stream without a record began before its instance knew of a second version,
// so at the version that was there alone; or its record was lost, which nothing
// tells. A version that came shortly before this process started may have been
// unknown to the former ones. One that came earlier wasn't, nor was one that
// has left since.
void
StreamRecords::AnswerFromList(const PendingQuery& aPending, bool aComplete)
{
  const StreamQuery& query = aPending.mQuery;
  auto found = mRecords.find(query.mStream);
  if (found != mRecords.end()) {
    aPending.mDone({ found->second.mOrigin, OriginSource::Store });
    return;
  }
  // Without the store's answer only a single version leaves no doubt.
  const ServiceVersions& versions = mState.mServers.Versions();
  if (auto sole = SoleVersion(query, aComplete)) {
    aPending.mDone(
      { StreamOrigin{ query.mService, *sole }, OriginSource::Sole });
    return;
  }
  auto version = versions.Before(query.mService,
                                 UnixMs() - query.mLife.count(),
                                 mStartedUnixMs - kUnawareMs,
                                 query.mLife,
                                 mState.Now());
  bool doubt =
    !aComplete && version &&
    (ListIsOld() ||
     versions.HadOther(query.mService, *version, query.mLife, mState.Now()));
  if (!version || doubt) {
    aPending.mDone({ std::nullopt, OriginSource::Unknown });
    return;
  }
  aPending.mDone(
    { StreamOrigin{ query.mService, *version }, OriginSource::Assumed });
}

} // namespace caraway
