#include "decide/ZoneMembers.h"

#include <algorithm>

namespace caraway {

namespace {

// Consecutive heartbeats missed by a peer that counts as silent.
constexpr int kMissedHeartbeats = 3;

} // namespace

ZoneMembers::ZoneMembers(std::string aSelf)
  : mSelf(std::move(aSelf))
{
}

void
ZoneMembers::SetHeartbeatInterval(Millis aInterval)
{
  mSilenceTimeout = std::max(kSilenceTimeout, aInterval * kMissedHeartbeats);
}

// Without contact for the silence timeout, this instance's entry may have been
// removed. Hearing from a majority again doesn't disprove that, so the instance
// has to be counted anew.
void
ZoneMembers::Tick(TimePoint aNow)
{
  if (mCounted && aNow - mSeenAt > mSilenceTimeout &&
      !Majority(aNow, mSilenceTimeout)) {
    mCounted = false;
    mEntryCounted = false;
    mListed = false;
  }
}

ZoneMembers::MemberPeer&
ZoneMembers::AddPeer(const std::string& aZonePeer, TimePoint aNow)
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
  mEntryCounted = aCounted;
  mCounted = mCounted && aCounted && mJoined && !mMissing;
  mListed = mListed && mCounted;
  mJoined = true;
  mJoinedAt = aAskedAt;
  mSeenAt = aAskedAt;
  mMissing = false;
  mMarked = false;
  for (auto& [name, peer] : mZonePeers) {
    peer.mConfirmed = peer.mConfirmed && mCounted;
  }
}

void
ZoneMembers::OnListed(const std::vector<MemberEntry>& aEntries,
                      TimePoint aAskedAt,
                      TimePoint aNow)
{
  Tick(aNow);
  if (!mJoined || aAskedAt < mJoinedAt) {
    // The list may lack this instance, or peers that joined with it.
    return;
  }
  std::map<std::string, MemberPeer> peers;
  bool self = false;
  bool marked = false;
  for (const MemberEntry& entry : aEntries) {
    if (entry.mName == mSelf) {
      self = true;
      marked = entry.mMarked;
      mEntryCounted = mEntryCounted || entry.mCounted;
      continue;
    }
    MemberPeer peer = AddPeer(entry.mName, aNow);
    peer.mCounted = peer.mCounted || entry.mCounted;
    if (!entry.mMarked) {
      peer.mMarkedSince = TimePoint();
    } else if (peer.mMarkedSince == TimePoint() ||
               peer.mMarkRevision != entry.mRevision) {
      peer.mMarkedSince = aNow; // each mark starts a new waiting time
    }
    peer.mMarkRevision = entry.mRevision;
    peers[entry.mName] = std::move(peer);
  }
  for (auto& [name, peer] : mZonePeers) {
    if (peer.mAskedAt >= aAskedAt) {
      // Joined since the list was requested.
      peers.try_emplace(name, std::move(peer));
    }
  }
  mZonePeers = std::move(peers);
  mListed = true;
  mMissing = !self;
  mMarked = marked;
  if (mMissing) {
    mCounted = false;
    return;
  }
  if (marked) {
    // The entry is rewritten first, so that no late call removes it.
    return;
  }
  mSeenAt = aAskedAt;
  UpdateCounted();
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
    found->second.mHeartbeat = aHeartbeat;
  }
}

// The newcomer may spend as soon as all peers have confirmed it, so it counts
// in majorities from now on.
void
ZoneMembers::OnNewcomer(const std::string& aZonePeer, TimePoint aNow)
{
  Tick(aNow);
  MemberPeer& peer = AddPeer(aZonePeer, aNow);
  peer.mHeartbeatAt = aNow;
  peer.mAskedAt = aNow;
  peer.mCounted = true;
}

void
ZoneMembers::OnConfirmed(const std::string& aZonePeer)
{
  auto found = mZonePeers.find(aZonePeer);
  if (found != mZonePeers.end()) {
    found->second.mConfirmed = true;
  }
  UpdateCounted();
}

void
ZoneMembers::OnLeft(const std::string& aZonePeer)
{
  mZonePeers.erase(aZonePeer);
  UpdateCounted();
}

// Once counted, this instance stays counted: peers that join later ask it for
// confirmation.
void
ZoneMembers::UpdateCounted()
{
  if (mJoined && mListed && !mMissing &&
      (mEntryCounted || Unconfirmed().empty())) {
    mCounted = true;
  }
}

size_t
ZoneMembers::CountedTotal() const
{
  return 1 + static_cast<size_t>(std::count_if(
               mZonePeers.begin(), mZonePeers.end(), [](const auto& aOne) {
                 return aOne.second.mCounted;
               }));
}

bool
ZoneMembers::IsConnected(const MemberPeer& aZonePeer,
                         TimePoint aNow,
                         Millis aWithin) const
{
  return aNow - aZonePeer.mHeartbeatAt <= aWithin && aZonePeer.mCounted &&
         aZonePeer.mHeartbeat.mCounted &&
         !aZonePeer.mHeartbeat.mSilent.count(mSelf);
}

// Of two instances, neither alone is a majority.
bool
ZoneMembers::Majority(TimePoint aNow, Millis aWithin) const
{
  size_t heard = 1;
  for (const auto& [name, peer] : mZonePeers) {
    heard += IsConnected(peer, aNow, aWithin) ? 1 : 0;
  }
  return 2 * heard > CountedTotal();
}

bool
ZoneMembers::MaySpend(TimePoint aNow) const
{
  bool seen = aNow - mSeenAt <= mSilenceTimeout;
  return mCounted && !mLeft && (seen || Majority(aNow, mSilenceTimeout));
}

bool
ZoneMembers::NeedsStore(TimePoint aNow) const
{
  bool removing =
    std::any_of(mZonePeers.begin(), mZonePeers.end(), [](const auto& aOne) {
      return aOne.second.mMarkedSince != TimePoint();
    });
  // Checked at half the timeout, so that the list has arrived when it is
  // needed.
  Millis soon = mSilenceTimeout / 2;
  bool mayExpire =
    !mCounted || (aNow - mSeenAt > soon && !Majority(aNow, soon));
  return mJoined && !mLeft && (mayExpire || removing);
}

// Whether a majority no longer hears from the peer; with two instances, whether
// this one doesn't.
bool
ZoneMembers::IsLost(const std::string& aZonePeer, TimePoint aNow) const
{
  auto found = mZonePeers.find(aZonePeer);
  Millis silent{ 0 };
  if (found != mZonePeers.end()) {
    silent =
      std::chrono::duration_cast<Millis>(aNow - found->second.mHeartbeatAt);
  }
  if (silent <= mSilenceTimeout || !mCounted) {
    return silent > kPresumedDead;
  }
  size_t notHearing = 1;
  for (const auto& [name, peer] : mZonePeers) {
    bool heard = aNow - peer.mHeartbeatAt <= mSilenceTimeout;
    bool weighs = heard && peer.mCounted && peer.mHeartbeat.mCounted;
    notHearing += weighs && peer.mHeartbeat.mSilent.count(aZonePeer) ? 1 : 0;
  }
  return 2 * notHearing > CountedTotal() || CountedTotal() == 2 ||
         silent > kPresumedDead;
}

bool
ZoneMembers::MayMark(const std::string& aZonePeer, TimePoint aNow) const
{
  return IsLost(aZonePeer, aNow) &&
         mZonePeers.at(aZonePeer).mMarkedSince == TimePoint();
}

bool
ZoneMembers::MayRemove(const std::string& aZonePeer, TimePoint aNow) const
{
  if (!IsLost(aZonePeer, aNow)) {
    return false;
  }
  TimePoint marked = mZonePeers.at(aZonePeer).mMarkedSince;
  return marked != TimePoint() && aNow - marked > mSilenceTimeout + kMargin;
}

MemberHeartbeat
ZoneMembers::OwnHeartbeat(TimePoint aNow) const
{
  MemberHeartbeat heartbeat;
  heartbeat.mCounted = mCounted;
  for (const auto& [name, peer] : mZonePeers) {
    if (aNow - peer.mHeartbeatAt > mSilenceTimeout) {
      heartbeat.mSilent.insert(name);
    }
  }
  return heartbeat;
}

std::vector<std::string>
ZoneMembers::Unconfirmed() const
{
  std::vector<std::string> names;
  for (const auto& [name, peer] : mZonePeers) {
    if (!mCounted && !peer.mConfirmed) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string>
ZoneMembers::All() const
{
  std::vector<std::string> names{ mSelf };
  for (const auto& [name, peer] : mZonePeers) {
    names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

} // namespace caraway
