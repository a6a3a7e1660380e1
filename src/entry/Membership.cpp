#include "entry/Membership.h"

#include "platform/JsonReading.h"
#include "platform/ServerEntry.h"

namespace caraway {

namespace {

constexpr char kKind[] = "caraway-instances";

// Call by which an instance asks to be counted, and message by which it reports
// that it has stopped spending tokens.
constexpr char kCountMeMethod[] = "count_me";
constexpr char kLeftMessage[] = "left_zone";

// Message that an entry was marked or removed; its receivers read a fresh list.
constexpr char kListChangedMessage[] = "list_news";

constexpr Millis kRetryInterval{ 300 };

constexpr Millis kCheckInterval{ 200 };

// A peer answers within milliseconds; one that does not is called again.
constexpr Millis kCallTimeout{ 300 };

bool
IsSet(const Json::Value& aSpec, const char* aName)
{
  return aSpec[aName].isBool() && aSpec[aName].asBool();
}

} // namespace

Membership::Membership(EntryState& aState, StoreClient& aStore, Peers& aPeers)
  : mState(aState)
  , mStore(aStore)
  , mPeers(aPeers)
  , mZoneMembers(aState.mSettings.mName)
{
}

void
Membership::Start()
{
  mPeers.AddMethod(kCountMeMethod, [this](const Json::Value& aParams) {
    OnCountMe(aParams);
    return Json::Value(Json::objectValue);
  });
  mPeers.OnMessage(kLeftMessage, [this](const Json::Value& aMessage) {
    mZoneMembers.OnLeft(aMessage["name"].asString());
    mState.mServers.ColdLimit().OnLeft(aMessage["name"].asString());
    mOnChange();
  });
  mPeers.OnMessage(kListChangedMessage,
                   [this](const Json::Value&) { mFreshListDue = true; });
  mPeers.OnHeartbeatFill(
    [this](Json::Value& aHeartbeat) { FillHeartbeat(aHeartbeat); });
  mPeers.OnHeartbeat([this](const Peer& aPeer, const Json::Value& aHeartbeat) {
    if (aPeer.mZone == mState.mSettings.mZone) {
      ReadHeartbeat(aPeer.mName, aHeartbeat);
    }
  });
  mListedAt = mState.Now(); // the first list is read once joined
  // As a rule there is no entry yet, which then needs no read.
  mJoining = true;
  Write(0, false);
  mState.mReactor.Every(kCheckInterval, [this] { Check(); });
}

void
Membership::Check()
{
  TimePoint now = mState.Now();
  UpdateColdLimit();
  mZoneMembers.SetHeartbeatInterval(mPeers.HeartbeatInterval());
  mZoneMembers.Tick(now);
  if (mZoneMembers.MustJoin() && !mJoining && !mState.mLeave.Leaving()) {
    Join();
  }
  RequestConfirmations();
  ForgetSilentPeer();
  LogChange();
  Millis wait = mListSchedule.Wait(mZoneMembers.NeedsStore(now));
  if (!mListing && (mFreshListDue || mState.AgeOf(mListedAt) >= wait)) {
    List();
  }
}

// After a standstill the list is read anew, before the limit is used again.
void
Membership::UpdateColdLimit()
{
  ColdServerLimit& limit = mState.mServers.ColdLimit();
  mFreshListDue = !limit.OnRunning(mState.Now()) || mFreshListDue;
  if (MaySpend()) {
    limit.OnCounted(mState.Now());
  }
}

void
Membership::FillHeartbeat(Json::Value& aHeartbeat) const
{
  MemberHeartbeat heartbeat = mZoneMembers.OwnHeartbeat(mState.Now());
  aHeartbeat["counted"] = heartbeat.mCounted;
  for (const std::string& peer : heartbeat.mSilent) {
    aHeartbeat["silent"].append(peer);
  }
}

void
Membership::ReadHeartbeat(const std::string& aZonePeer,
                          const Json::Value& aHeartbeat)
{
  MemberHeartbeat heartbeat;
  heartbeat.mCounted = aHeartbeat["counted"].asBool();
  for (const Json::Value& peer : aHeartbeat["silent"]) {
    heartbeat.mSilent.insert(peer.asString());
  }
  mZoneMembers.OnHeartbeat(aZonePeer, heartbeat, mState.Now());
}

void
Membership::OnCountMe(const Json::Value& aParams)
{
  std::string name = aParams["name"].asString();
  std::string zone = aParams["zone"].asString();
  mPeers.AddPeer(name, zone, aParams["address"].asString());
  if (!name.empty() && zone == mState.mSettings.mZone) {
    mZoneMembers.OnNewcomer(name, mState.Now());
    mState.mServers.ColdLimit().OnNewcomer(name, mState.Now());
    mOnChange(); // before the answer, after which the newcomer may spend
  }
}

// ---- This instance's entry

StoreObject
Membership::Entry(bool aCounted) const
{
  StoreObject self;
  self.mName = mState.mSettings.mName;
  self.mSpec["zone"] = mState.mSettings.mZone;
  self.mSpec["address"] = mState.mSettings.mPeers;
  self.mSpec["counted"] = aCounted;
  mFillEntry(self.mSpec);
  return self;
}

// Writes the entry anew, over the one that is there.
void
Membership::Join()
{
  mJoining = true;
  mStore.Call("join_read",
              wire::ReadCall(kKind, mState.mSettings.mName),
              [this](StoreOutcome aOutcome, const std::string& aBody) {
                auto object = wire::ReadObjectAnswer(aBody);
                if (aOutcome == StoreOutcome::Done && object) {
                  mReadEntry(object->mName, object->mSpec);
                  Write(object->mRevision, IsSet(object->mSpec, "counted"));
                } else if (aOutcome == StoreOutcome::Missing) {
                  Write(0, false);
                } else {
                  mState.mReactor.After(kRetryInterval, [this] { Join(); });
                }
              });
}

// aRevision 0: there is no entry yet. aCounted: by the entry that is replaced,
// all instances of the zone count this one; none stops before the entry is
// removed.
void
Membership::Write(int64_t aRevision, bool aCounted)
{
  StoreObject self = Entry(aCounted);
  self.mRevision = aRevision;
  TimePoint requestedAt = mState.Now();
  mStore.Call("join",
              aRevision > 0 ? wire::ReplaceCall(kKind, self)
                            : wire::CreateCall(kKind, self),
              [this, aRevision, aCounted, requestedAt](
                StoreOutcome aOutcome, const std::string& aBody) {
                auto object = wire::ReadObjectAnswer(aBody);
                if (aOutcome == StoreOutcome::Conflict && aRevision == 0) {
                  Join(); // there is an entry of an earlier process
                  return;
                }
                if (aOutcome != StoreOutcome::Done || !object) {
                  mState.mReactor.After(kRetryInterval, [this] { Join(); });
                  return;
                }
                mJoining = false;
                mRevision = object->mRevision;
                mRecordedCounted = aCounted;
                mZoneMembers.OnJoined(aCounted, requestedAt);
                List();
              });
}

// Records in the entry that this instance is counted, so that after a restart
// it needs no confirmation, and what RewriteEntry() asked for.
void
Membership::UpdateEntry()
{
  bool counted = !mRecordedCounted && MaySpend();
  bool outdated = mEntryOutdated && mStore.Reachable() && mRevision > 0;
  if ((counted || outdated) && !mJoining && !mState.mLeave.Leaving()) {
    Rewrite(mRecordedCounted || counted);
  }
}

void
Membership::Rewrite(bool aCounted)
{
  mJoining = true;
  mEntryOutdated = false;
  StoreObject self = Entry(aCounted);
  self.mRevision = mRevision;
  mStore.Call(
    "join_counted",
    wire::ReplaceCall(kKind, self),
    [this, aCounted](StoreOutcome aOutcome, const std::string& aBody) {
      mJoining = false;
      auto object = wire::ReadObjectAnswer(aBody);
      if (aOutcome == StoreOutcome::Done && object) {
        mRevision = object->mRevision;
        mRecordedCounted = aCounted;
      } else if (aOutcome == StoreOutcome::Conflict ||
                 aOutcome == StoreOutcome::Missing) {
        Join();
      } else {
        mEntryOutdated = true;
      }
    });
}

// The zone is notified only after the entry has been removed: an instance that
// restarts and still finds its entry assumes that it is counted.
void
Membership::Leave()
{
  mPeers.Leave();
  mZoneMembers.Leave();
  mOnChange();
  if (mRevision == 0 || mJoining) {
    return;
  }
  mRemovingEntry = true;
  Json::Value message;
  message["name"] = mState.mSettings.mName;
  mStore.Call("leave",
              wire::DeleteCall(kKind, mState.mSettings.mName, mRevision),
              [this, message](StoreOutcome aOutcome, const std::string&) {
                mRemovingEntry = false;
                if (aOutcome == StoreOutcome::Done) {
                  mPeers.SendMessageInZone(kLeftMessage, message);
                }
              });
}

// ---- Other instances

void
Membership::List()
{
  uint64_t round = ++mListRound;
  mListing = true;
  TimePoint requestedAt = mState.Now();
  bool fresh = mFreshListDue || mZoneMembers.NeedsStore(requestedAt);
  mFreshListDue = false;
  mStore.Call("list_instances",
              wire::ListCall(kKind, "", !fresh),
              [this, round, requestedAt, fresh](StoreOutcome aOutcome,
                                                const std::string& aBody) {
                auto page = aOutcome == StoreOutcome::Done
                              ? wire::ReadListAnswer(aBody)
                              : std::nullopt;
                if (page) {
                  OnList(*page, fresh, requestedAt);
                }
                if (round != mListRound) {
                  return;
                }
                mListedAt = mState.Now();
                mListSchedule.OnRead(page.has_value(), mState.mInstances);
                mListing = false;
              });
}

void
Membership::OnList(const StorePage& aPage, bool aFresh, TimePoint aRequestedAt)
{
  std::vector<MemberEntry> zone;
  std::set<std::string> listed;
  std::map<std::string, int> counts;
  InstancesByZone instances;
  bool readable = true;
  for (const StoreChange& change : aPage.mChanges) {
    const StoreObject& object = change.mObject;
    const Json::Value& spec = object.mSpec;
    auto address = wire::Text(spec, "address");
    if (!address || !wire::IsAddress(*address) || !spec["zone"].isString()) {
      mState.mLog.Line("instance_unreadable").Text("peer", object.mName);
      readable = false; // its zone is not known
      continue;
    }
    counts[spec["zone"].asString()] += 1;
    instances[spec["zone"].asString()].push_back(object.mName);
    mPeers.AddPeer(
      object.mName, spec["zone"].asString(), spec["address"].asString());
    listed.insert(object.mName);
    if (object.mName != mState.mSettings.mName) {
      mReadEntry(object.mName, spec);
    }
    if (spec["zone"].asString() == mState.mSettings.mZone) {
      zone.push_back({ object.mName,
                       object.mRevision,
                       IsSet(spec, "counted"),
                       IsSet(spec, "marked") });
      mEntries[object.mName] = object;
    }
  }
  if (aFresh) {
    mZoneMembers.OnListed(zone, aRequestedAt, mState.Now());
  }
  if (aFresh && readable) {
    mOnZoneCounts(counts, aRequestedAt);
  }
  UpdateColdLimit();
  mState.mServers.ColdLimit().OnListed(
    std::move(instances), aRequestedAt, mState.Now());
  DropSilentPeers(listed);
  mOnChange();
}

// Drops the peers that are silent and not in the list.
void
Membership::DropSilentPeers(const std::set<std::string>& aListed)
{
  std::vector<std::string> gone;
  for (const auto& [name, peer] : mPeers.All()) {
    if (!aListed.count(name) && !mPeers.Alive(peer)) {
      gone.push_back(name);
    }
  }
  for (const std::string& name : gone) {
    mState.mLog.Line("instance_forgotten").Text("peer", name);
    mPeers.RemovePeer(name);
    mEntries.erase(name);
  }
}

void
Membership::RequestConfirmations()
{
  Json::Value params;
  params["name"] = mState.mSettings.mName;
  params["zone"] = mState.mSettings.mZone;
  params["address"] = mState.mSettings.mPeers;
  for (const std::string& peer : mZoneMembers.Unconfirmed()) {
    if (!mConfirming.insert(peer).second) {
      continue;
    }
    mPeers.Call(peer,
                kCountMeMethod,
                params,
                kCallTimeout,
                [this, peer](bool aGood, const Json::Value&) {
                  mConfirming.erase(peer);
                  if (aGood) {
                    mZoneMembers.OnConfirmed(peer);
                    mOnChange();
                  }
                });
  }
}

// Marks the entry of a silent zone peer and removes it later, so that the
// peer's part of the limits is divided among the others.
void
Membership::ForgetSilentPeer()
{
  if (mForgetting || mState.mLeave.Leaving() || !mStore.Reachable()) {
    return;
  }
  TimePoint now = mState.Now();
  for (const std::string& peer : mZoneMembers.All()) {
    bool mark = mZoneMembers.MayMark(peer, now);
    auto entry = mEntries.find(peer);
    if (entry == mEntries.end() ||
        !(mark || mZoneMembers.MayRemove(peer, now))) {
      continue;
    }
    StoreObject object = entry->second;
    object.mSpec["marked"] = true;
    auto call = mark ? wire::ReplaceCall(kKind, object)
                     : wire::DeleteCall(kKind, peer, object.mRevision);
    mForgetting = true;
    mState.mLog.Line("mate_silent").Text("peer", peer).Flag("removed", !mark);
    mStore.Call(mark ? "mark_instance" : "forget_instance",
                call,
                [this](StoreOutcome, const std::string&) {
                  mFreshListDue = true;
                  mPeers.SendMessageInZone(kListChangedMessage, Json::Value());
                  mState.mReactor.After(kRetryInterval,
                                        [this] { mForgetting = false; });
                });
    return;
  }
}

void
Membership::LogChange()
{
  UpdateEntry();
  bool spends = MaySpend();
  if (spends != mReportedMaySpend) {
    mReportedMaySpend = spends;
    mState.mLog.Line(spends ? "part_begun" : "part_ended")
      .Count("members", static_cast<int64_t>(CountedMembers().size()))
      .Count("unconfirmed",
             static_cast<int64_t>(mZoneMembers.Unconfirmed().size()))
      .Flag("store", mStore.Reachable());
    mOnChange();
  }
}

} // namespace caraway
