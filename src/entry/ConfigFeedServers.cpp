// ConfigFeedServers.cpp: the list of servers, from the store and from other
// instances.
#include "entry/ConfigFeed.h"

#include <algorithm>
#include <set>

#include "base/JsonText.h"
#include "entry/ColdReports.h"
#include "platform/ServerEntry.h"
#include "platform/WireNames.h"

namespace caraway {

namespace {

// Entries of servers lapse during an outage of the store. Servers that are
// alive register again within two seconds of its recovery; an entry that is
// still missing then is removed. Removing them at once would leave no server
// for requests meanwhile.
constexpr Millis kReregistrationGrace{ 2000 };

// When another instance has seen a newer revision and this instance's watch has
// not answered for this long, the watch is dead: changes are batched for less
// than a second.
constexpr Millis kDeadWatchTimeout{ 1200 };

// How long a removal is remembered, so that a repeated earlier change doesn't
// list the server again. Updates from other instances repeat a change for a
// shorter time.
constexpr Millis kRemovalRetention{ 10000 };

// A server's cold time that ends later by this much is passed on.
constexpr Millis kColdNews{ 300 };

} // namespace

bool
ConfigFeed::ApplyServer(const StoreObject& aObject)
{
  StoredEntry& stored = mServers[aObject.mName];
  if (aObject.mRevision < stored.mRevision) {
    return false;
  }
  stored.mRevision = aObject.mRevision;
  stored.mSpec = JsonWrite(aObject.mSpec);
  mServersRevision = std::max(mServersRevision, aObject.mRevision);
  mMissingSince.erase(aObject.mName);
  auto entry = wire::ReadServerEntry(aObject.mName, aObject.mSpec);
  if (!entry) {
    // An unreadable entry names no server. An earlier one that was readable
    // stays in use until it is removed.
    mState.mLog.Line("server_unreadable")
      .Text("server", aObject.mName)
      .Count("revision", aObject.mRevision);
    return false;
  }
  Backend* known = mState.mServers.Find(entry->mId);
  if (entry->mColdLeftUnreadable) {
    LogIgnored(mState, entry->mId, "entry's cold time");
  }
  entry->mRevision = aObject.mRevision;
  entry->mRunningFor = RunningFor(*entry);
  bool restarted = known && (known->mEntry.mStartTime != entry->mStartTime ||
                             known->mEntry.mVersion != entry->mVersion);
  bool listed =
    !known || restarted || known->mEntry.mDraining != entry->mDraining;
  // Followers learn what servers hold from the instance that orders the loads.
  // Of the servers' heartbeats they need only the fields compared here.
  bool relevant = listed || known->mEntry.mAddress != entry->mAddress ||
                  known->mEntry.mOnDisk != entry->mOnDisk ||
                  LengthensCold(*known, *entry);
  if (restarted) {
    mState.DropConnections(known->mEntry.mAddress, entry->mId);
  }
  if (listed) {
    LogListed(aObject, *entry);
  }
  bool cold = IsCold(mState, entry->mId);
  bool changed = mState.mServers.Put(*entry, mState.Now());
  LogIfCold(mState, entry->mId, cold, restarted || !known ? "start" : "entry");
  if (relevant) {
    mOnApplied({ aObject, false });
  }
  return changed;
}

// By the wall clock of this machine.
Millis
ConfigFeed::RunningFor(const BackendEntry& aEntry) const
{
  auto now = mState.mReactor.SourceClock().WallNow().time_since_epoch();
  int64_t since = std::chrono::duration_cast<Millis>(now).count();
  // Of a garbled time only the order of magnitude matters.
  constexpr int64_t kMost = int64_t(1) << 50;
  return Millis(since - std::clamp(aEntry.mStartTime, -kMost, kMost));
}

// Servers write how long they stay cold with each heartbeat, which is no news
// as long as the end remains.
bool
ConfigFeed::LengthensCold(const Backend& aKnown,
                          const BackendEntry& aEntry) const
{
  Millis left = aEntry.mColdLeft.value_or(Millis(0));
  return left > Millis(0) &&
         mState.Now() + left > aKnown.mColdUntil + kColdNews;
}

void
ConfigFeed::LogListed(const StoreObject& aObject, const BackendEntry& aEntry)
{
  mState.mLog.Line("server_listed")
    .Text("server", aEntry.mId)
    .Text("zone", aEntry.mZone)
    .Text("version", aEntry.mVersion)
    .Flag("draining", aEntry.mDraining)
    .Count("born", aEntry.mStartTime)
    .Count("revision", aObject.mRevision);
}

void
ConfigFeed::RemoveServer(const std::string& aId)
{
  mMissingSince.erase(aId);
  auto known = mServers.find(aId);
  if (known != mServers.end()) {
    RecordRemoval(aId, known->second.mRevision);
    mServers.erase(known);
  }
  StoreChange removal;
  removal.mObject.mName = aId;
  removal.mObject.mRevision = std::max(mServersRevision, mServerObjects.AsOf());
  removal.mRemoved = true;
  mOnApplied(removal);
  if (Backend* backend = mState.mServers.Find(aId)) {
    mState.mLog.Line("server_gone").Text("server", aId);
    mState.DropConnections(backend->mEntry.mAddress, aId);
    mState.mServers.Remove(aId, mState.Now());
    mChanged();
  }
}

void
ConfigFeed::RecordRemoval(const std::string& aId, int64_t aRevision)
{
  TimePoint now = mState.Now();
  for (auto it = mRemovals.begin(); it != mRemovals.end();) {
    it = now - it->second.mAt >= kRemovalRetention ? mRemovals.erase(it)
                                                   : std::next(it);
  }
  mRemovals[aId] = { aRevision, now };
}

void
ConfigFeed::RemoveAfterGrace(const std::string& aId)
{
  TimePoint now = mState.Now();
  TimePoint recovered = mStore.RecoveredAt();
  Backend* backend = mState.mServers.Find(aId);
  bool lapsed = recovered != TimePoint() &&
                now - recovered < kReregistrationGrace && backend &&
                !backend->mEntry.mDraining;
  if (!lapsed) {
    RemoveServer(aId);
    return;
  }
  if (mMissingSince.emplace(aId, now).second) {
    mState.mLog.Line("server_missing").Text("server", aId);
    auto left = std::chrono::duration_cast<Millis>(recovered +
                                                   kReregistrationGrace - now);
    mState.mReactor.After(left, [this, aId] {
      if (mMissingSince.count(aId)) {
        RemoveServer(aId);
      }
    });
  }
}

void
ConfigFeed::OnServers(const std::vector<StoreChange>& aAll, int64_t aAsOf)
{
  std::set<std::string> listed;
  for (const StoreChange& change : aAll) {
    listed.insert(change.mObject.mName);
    ApplyServer(change.mObject);
  }
  std::vector<std::string> missing;
  for (const auto& [id, stored] : mServers) {
    if (!listed.count(id) && stored.mRevision <= aAsOf) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    RemoveAfterGrace(id);
  }
  mState.mServersKnown = true;
  mChanged();
}

void
ConfigFeed::OnServer(const StoreChange& aChange)
{
  mServersRevision = std::max(mServersRevision, aChange.mObject.mRevision);
  if (aChange.mRemoved) {
    RemoveAfterGrace(aChange.mObject.mName);
  } else if (ApplyServer(aChange.mObject)) {
    mChanged();
  }
}

void
ConfigFeed::ReadServer(const std::string& aId, std::function<void()> aDone)
{
  if (!mStore.Reachable()) {
    aDone();
    return;
  }
  mStore.Call("server_read",
              wire::ReadCall(wire::kServersKind, aId),
              [this, aId, done = std::move(aDone), askedAt = mState.Now()](
                StoreOutcome aOutcome, const std::string& aBody) {
                auto object = wire::ReadObjectAnswer(aBody);
                if (aOutcome == StoreOutcome::Done && object) {
                  OnServer({ *object, false });
                  SetEntryRead(aId, askedAt);
                }
                done();
              });
}

void
ConfigFeed::SetEntryRead(const std::string& aId, TimePoint aAt)
{
  if (Backend* backend = mState.mServers.Find(aId)) {
    backend->mEntryReadAt = std::max(backend->mEntryReadAt, aAt);
  }
}

// Removals are applied without a grace time: the sender has already waited for
// entries that lapsed during an outage.
void
ConfigFeed::ApplyPeerUpdate(const std::vector<StoreChange>& aChanges,
                            int64_t aCompleteTo,
                            int64_t aSeen,
                            TimePoint aUpdateAt)
{
  bool changed = false;
  for (const StoreChange& change : aChanges) {
    const StoreObject& object = change.mObject;
    auto known = mServers.find(object.mName);
    bool exists = known != mServers.end();
    auto removal = mRemovals.find(object.mName);
    int64_t before = exists                       ? known->second.mRevision
                     : removal != mRemovals.end() ? removal->second.mRevision
                                                  : 0;
    if (object.mRevision <= before) {
      continue; // a repeated change, perhaps of a server removed since
    }
    if (!change.mRemoved) {
      changed = ApplyServer(object) || changed;
    } else if (exists) {
      RemoveServer(object.mName);
    }
  }
  mServersRevision = std::max(mServersRevision, aSeen);
  mPeerCompleteTo = std::max(mPeerCompleteTo, aCompleteTo);
  mState.mListFreshness.OnConfirmed(aUpdateAt);
  if (changed) {
    mChanged();
  }
}

Json::Value
ConfigFeed::ServersJson() const
{
  Json::Value all(Json::objectValue);
  for (const auto& [id, stored] : mServers) {
    Json::Value& entry = all[id];
    entry["revision"] = Json::Int64(stored.mRevision);
    entry["spec"] = stored.mSpec;
  }
  return all;
}

void
ConfigFeed::ApplyServersJson(const Json::Value& aEntries,
                             int64_t aRevision,
                             const std::string& aFrom)
{
  if (!aEntries.isObject() || aEntries.empty()) {
    return;
  }
  mState.mLog.Line("servers_from_peer")
    .Text("peer", aFrom)
    .Count("servers", static_cast<int64_t>(aEntries.size()));
  std::vector<StoreChange> all;
  for (const std::string& id : aEntries.getMemberNames()) {
    const Json::Value& entry = aEntries[id];
    StoreChange change;
    change.mObject.mName = id;
    change.mObject.mRevision = entry["revision"].asInt64();
    change.mObject.mSpec = JsonParseOrEmpty(entry["spec"].asString());
    all.push_back(std::move(change));
  }
  OnServers(all, aRevision);
}

void
ConfigFeed::OnPeerRevision(int64_t aRevision)
{
  if (!mPaused && aRevision > mServersRevision && mStore.Reachable() &&
      mState.Now() - mServerObjects.ConfirmedAt() > kDeadWatchTimeout) {
    mServerObjects.Refresh("another instance has a newer revision");
  }
}

} // namespace caraway
