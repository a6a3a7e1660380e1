#include "decide/ZoneMembers.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr int kMissedHeartbeats = 3; // of a mate that is silent

} // namespace

ZoneMembers::ZoneMembers(std::string aSelf)
  : mSelf(std::move(aSelf))
{
}

void
ZoneMembers::SetHeartbeatInterval(Millis aGap)
{
  mSilent = std::max(kSilenceTimeout, aGap * kMissedHeartbeats);
}

// It may have been forgotten meanwhile, however many it hears afterwards.
void
ZoneMembers::Tick(TimePoint aNow)
{
  if (mCounted && aNow - mSeenAt > mSilent && !Majority(aNow, mSilent)) {
    mCounted = false;
    mReplaced = false;
    mListed = false;
  }
}

ZoneMembers::MemberPeer&
ZoneMembers::Count(const std::string& aZonePeer, TimePoint aNow)
{
  auto [at, added] = mZonePeers.try_emplace(aZonePeer);
  if (added) {
    at->second.mHeartbeatAt = aNow;
  }
  return at->second;
}

void
ZoneMembers::OnJoined(bool aCounted, TimePoint aAskedAt)
{
  mReplaced = aCounted;
  mCounted = mCounted && aCounted && mJoined && !mMissing;
  mListed = mListed && mCounted;
  mJoined = true;
  mJoinedAt = aAskedAt;
  mSeenAt = aAskedAt;
  mMissing = false;
  mMarked = false;
  for (auto& [name, mate] : mZonePeers) {
    mate.mConfirmed = mate.mConfirmed && mCounted;
  }
}

void
ZoneMembers::OnListed(const std::vector<MemberEntry>& aEntries,
                      TimePoint aAskedAt,
                      TimePoint aNow)
{
  Tick(aNow);
  if (!mJoined || aAskedAt < mJoinedAt) {
    return; // it may lack this instance, or those that came with it
  }
  std::map<std::string, MemberPeer> mates;
  bool self = false;
  bool marked = false;
  for (const MemberEntry& entry : aEntries) {
    if (entry.mName == mSelf) {
      self = true;
      marked = entry.mMarked;
      mReplaced = mReplaced || entry.mCounted;
      continue;
    }
    MemberPeer mate = Count(entry.mName, aNow);
    mate.mCounted = mate.mCounted || entry.mCounted;
    if (!entry.mMarked) {
      mate.mMarkedSince = TimePoint();
    } else if (mate.mMarkedSince == TimePoint() ||
               mate.mMarkRevision != entry.mRevision) {
      mate.mMarkedSince = aNow; // each mark begins a time of its own
    }
    mate.mMarkRevision = entry.mRevision;
    mates[entry.mName] = std::move(mate);
  }
  for (auto& [name, mate] : mZonePeers) {
    if (mate.mAskedAt >= aAskedAt) {
      mates.try_emplace(name, std::move(mate)); // it came since
    }
  }
  mZonePeers = std::move(mates);
  mListed = true;
  mMissing = !self;
  mMarked = marked;
  if (mMissing) {
    mCounted = false;
    return;
  }
  if (marked) {
    return; // written again first, so that no late call removes it
  }
  mSeenAt = aAskedAt;
  Look();
}

void
ZoneMembers::OnHeartbeat(const std::string& aZonePeer,
                         const MemberHeartbeat& aHeartbeat,
                         TimePoint aNow)
{
  Tick(aNow);
  auto found = mZonePeers.find(aZonePeer);
  if (found != mZonePeers.end()) {
    found->second.mHeartbeatAt = aNow;
    found->second.mPulse = aHeartbeat;
  }
}

// It may spend as soon as all have confirmed it, so it weighs in majorities
// from now on.
void
ZoneMembers::OnNewcomer(const std::string& aZonePeer, TimePoint aNow)
{
  Tick(aNow);
  MemberPeer& mate = Count(aZonePeer, aNow);
  mate.mHeartbeatAt = aNow;
  mate.mAskedAt = aNow;
  mate.mCounted = true;
}

void
ZoneMembers::OnConfirmed(const std::string& aZonePeer)
{
  auto found = mZonePeers.find(aZonePeer);
  if (found != mZonePeers.end()) {
    found->second.mConfirmed = true;
  }
  Look();
}

void
ZoneMembers::OnLeft(const std::string& aZonePeer)
{
  mZonePeers.erase(aZonePeer);
  Look();
}

// Once counted it stays so: whoever comes later asks this instance.
void
ZoneMembers::Look()
{
  if (mJoined && mListed && !mMissing && (mReplaced || Unconfirmed().empty())) {
    mCounted = true;
  }
}

size_t
ZoneMembers::Counted() const
{
  return 1 + static_cast<size_t>(std::count_if(
               mZonePeers.begin(), mZonePeers.end(), [](const auto& aOne) {
                 return aOne.second.mCounted;
               }));
}

bool
ZoneMembers::Hears(const MemberPeer& aZonePeer,
                   TimePoint aNow,
                   Millis aWithin) const
{
  return aNow - aZonePeer.mHeartbeatAt <= aWithin && aZonePeer.mCounted &&
         aZonePeer.mPulse.mCounted && !aZonePeer.mPulse.mSilent.count(mSelf);
}

// Of two, neither is one.
bool
ZoneMembers::Majority(TimePoint aNow, Millis aWithin) const
{
  size_t heard = 1;
  for (const auto& [name, mate] : mZonePeers) {
    heard += Hears(mate, aNow, aWithin) ? 1 : 0;
  }
  return 2 * heard > Counted();
}

bool
ZoneMembers::MaySpend(TimePoint aNow) const
{
  bool seen = aNow - mSeenAt <= mSilent;
  return mCounted && !mLeft && (seen || Majority(aNow, mSilent));
}

bool
ZoneMembers::NeedsStore(TimePoint aNow) const
{
  bool going =
    std::any_of(mZonePeers.begin(), mZonePeers.end(), [](const auto& aOne) {
      return aOne.second.mMarkedSince != TimePoint();
    });
  // Early, so that its word is there when it is needed.
  bool alone = !mCounted || !Majority(aNow, mSilent / 2);
  return mJoined && !mLeft && (alone || going);
}

// A majority doesn't hear aZonePeer; of two, this instance doesn't.
bool
ZoneMembers::Lost(const std::string& aZonePeer, TimePoint aNow) const
{
  auto found = mZonePeers.find(aZonePeer);
  Millis silent{ 0 };
  if (found != mZonePeers.end()) {
    silent =
      std::chrono::duration_cast<Millis>(aNow - found->second.mHeartbeatAt);
  }
  if (silent <= mSilent || !mCounted) {
    return silent > kPresumedDead;
  }
  size_t deaf = 1;
  for (const auto& [name, mate] : mZonePeers) {
    bool heard = aNow - mate.mHeartbeatAt <= mSilent;
    bool weighs = heard && mate.mCounted && mate.mPulse.mCounted;
    deaf += weighs && mate.mPulse.mSilent.count(aZonePeer) ? 1 : 0;
  }
  return 2 * deaf > Counted() || Counted() == 2 || silent > kPresumedDead;
}

bool
ZoneMembers::MayMark(const std::string& aZonePeer, TimePoint aNow) const
{
  return Lost(aZonePeer, aNow) &&
         mZonePeers.at(aZonePeer).mMarkedSince == TimePoint();
}

bool
ZoneMembers::MayRemove(const std::string& aZonePeer, TimePoint aNow) const
{
  if (!Lost(aZonePeer, aNow)) {
    return false;
  }
  TimePoint marked = mZonePeers.at(aZonePeer).mMarkedSince;
  return marked != TimePoint() && aNow - marked > mSilent + kMargin;
}

MemberHeartbeat
ZoneMembers::Pulse(TimePoint aNow) const
{
  MemberHeartbeat pulse;
  pulse.mCounted = mCounted;
  for (const auto& [name, mate] : mZonePeers) {
    if (aNow - mate.mHeartbeatAt > mSilent) {
      pulse.mSilent.insert(name);
    }
  }
  return pulse;
}

std::vector<std::string>
ZoneMembers::Unconfirmed() const
{
  std::vector<std::string> names;
  for (const auto& [name, mate] : mZonePeers) {
    if (!mCounted && !mate.mConfirmed) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string>
ZoneMembers::All() const
{
  std::vector<std::string> names{ mSelf };
  for (const auto& [name, mate] : mZonePeers) {
    names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

} // namespace caraway
