#include "peer/Members.h"

#include "decide/Rendezvous.h"

namespace caraway {

namespace {

// One unanswered call may be due to a kept connection that the peer closed
// while restarting.
constexpr int kMaxUnansweredCalls = 2;
// Several loads may call one peer at the same moment. If each unanswered call
// counted, a stall of a third of a second would look like a crash.
constexpr Millis kMinUnansweredSpacing{ 200 };
constexpr Seconds kForgetAfter{ 60 };
constexpr Seconds kListMaxAge{ 10 };

} // namespace

Members::Members(const Clock& aClock, InstanceInfo aSelf)
  : mClock(aClock)
  , mSelf(std::move(aSelf))
{
}

void
Members::UpdateFromList(const std::vector<InstanceInfo>& aList)
{
  std::lock_guard<std::mutex> lock(mLock);
  std::map<std::string, Member> next;
  mListed.clear();
  mListedAt = mClock.Now();
  for (const InstanceInfo& info : aList) {
    mListed.insert(info.mPeerAddress);
    if (info.mId == mSelf.mId) {
      continue;
    }
    Member member;
    auto known = mMembers.find(info.mId);
    if (known != mMembers.end() &&
        known->second.mInfo.mPeerAddress == info.mPeerAddress) {
      member = known->second;
    }
    // A peer's own report that it is leaving is newer than the list.
    bool leaving = member.mInfo.mLeaving || info.mLeaving;
    member.mInfo = info;
    member.mInfo.mLeaving = leaving;
    next[info.mId] = member;
  }
  TimePoint now = mClock.Now();
  for (const auto& known : mMembers) {
    if (!next.count(known.first) &&
        now - known.second.mLastHeard < kForgetAfter) {
      next.insert(known);
    }
  }
  mMembers = std::move(next);
}

std::optional<std::set<std::string>>
Members::ListedAddresses() const
{
  std::lock_guard<std::mutex> lock(mLock);
  bool recent =
    mListedAt != TimePoint{} && mClock.Now() - mListedAt < kListMaxAge;
  return recent ? std::make_optional(mListed) : std::nullopt;
}

void
Members::RecordHeartbeat(const InstanceInfo& aPeer)
{
  std::lock_guard<std::mutex> lock(mLock);
  if (aPeer.mId == mSelf.mId) {
    return;
  }
  Member& member = mMembers[aPeer.mId];
  member.mInfo = aPeer;
  member.mLastHeard = mClock.Now();
  mSuspectedZones.erase(aPeer.mZone);
  member.mUnansweredCalls = 0;
}

void
Members::RecordUnansweredCall(const std::string& aAddress)
{
  std::lock_guard<std::mutex> lock(mLock);
  TimePoint now = mClock.Now();
  for (auto& entry : mMembers) {
    Member& member = entry.second;
    bool countsSeparately = member.mUnansweredCalls == 0 ||
                            now - member.mUnansweredAt >= kMinUnansweredSpacing;
    if (member.mInfo.mPeerAddress == aAddress && countsSeparately) {
      ++member.mUnansweredCalls;
      member.mUnansweredAt = now;
    }
  }
}

void
Members::MarkUnreachable(const std::string& aAddress)
{
  std::lock_guard<std::mutex> lock(mLock);
  for (auto& member : mMembers) {
    if (member.second.mInfo.mPeerAddress == aAddress) {
      member.second.mUnansweredCalls = kMaxUnansweredCalls;
    }
  }
}

void
Members::MarkSelfLeaving()
{
  std::lock_guard<std::mutex> lock(mLock);
  mSelf.mLeaving = true;
}

bool
Members::IsAvailable(const Member& aMember) const
{
  return !aMember.mInfo.mLeaving &&
         aMember.mUnansweredCalls < kMaxUnansweredCalls;
}

std::vector<InstanceInfo>
Members::AvailableInstancesIn(const std::string& aZone) const
{
  std::lock_guard<std::mutex> lock(mLock);
  std::vector<InstanceInfo> available;
  if (mSelf.mZone == aZone && !mSelf.mLeaving) {
    available.push_back(mSelf);
  }
  for (const auto& member : mMembers) {
    if (member.second.mInfo.mZone == aZone && IsAvailable(member.second)) {
      available.push_back(member.second.mInfo);
    }
  }
  return available;
}

std::vector<InstanceInfo>
Members::Peers() const
{
  std::lock_guard<std::mutex> lock(mLock);
  std::vector<InstanceInfo> peers;
  for (const auto& member : mMembers) {
    if (!member.second.mInfo.mLeaving) {
      peers.push_back(member.second.mInfo);
    }
  }
  return peers;
}

InstanceInfo
Members::OwnerAmong(const std::vector<InstanceInfo>& aAvailable,
                    const std::string& aKey) const
{
  std::vector<std::string> ids;
  for (const InstanceInfo& info : aAvailable) {
    ids.push_back(info.mId);
  }
  std::string owner = RendezvousOwner(ids, aKey);
  for (const InstanceInfo& info : aAvailable) {
    if (info.mId == owner) {
      return info;
    }
  }
  return Self();
}

InstanceInfo
Members::Owner(const std::string& aKey) const
{
  return OwnerAmong(AvailableInstancesIn(mSelf.mZone), aKey);
}

InstanceInfo
Members::FleetOwner(const std::string& aKey) const
{
  std::vector<InstanceInfo> available = AvailableInstancesIn(mSelf.mZone);
  for (const InstanceInfo& info : AvailableElsewhere()) {
    available.push_back(info);
  }
  return OwnerAmong(available, aKey);
}

std::optional<InstanceInfo>
Members::OwnerIn(const std::string& aZone, const std::string& aKey) const
{
  std::vector<InstanceInfo> available = AvailableInstancesIn(aZone);
  return available.empty() ? std::nullopt
                           : std::make_optional(OwnerAmong(available, aKey));
}

std::set<std::string>
Members::AvailableZones() const
{
  std::set<std::string> zones = { mSelf.mZone };
  for (const InstanceInfo& member : AvailableElsewhere()) {
    zones.insert(member.mZone);
  }
  return zones;
}

int
Members::AvailableZoneCount() const
{
  return static_cast<int>(AvailableZones().size());
}

std::set<std::string>
Members::RespondingZones() const
{
  std::set<std::string> zones = AvailableZones();
  std::lock_guard<std::mutex> lock(mLock);
  for (const std::string& suspected : mSuspectedZones) {
    zones.erase(suspected);
  }
  return zones;
}

void
Members::SuspectZone(const std::string& aZone)
{
  std::lock_guard<std::mutex> lock(mLock);
  mSuspectedZones.insert(aZone);
}

bool
Members::IsAvailablePeer(const std::string& aId) const
{
  std::lock_guard<std::mutex> lock(mLock);
  auto member = mMembers.find(aId);
  return member != mMembers.end() && IsAvailable(member->second);
}

std::vector<std::string>
Members::UncontactedPeers() const
{
  std::lock_guard<std::mutex> lock(mLock);
  std::vector<std::string> uncontacted;
  for (const auto& entry : mMembers) {
    const Member& member = entry.second;
    if (member.mLastHeard == TimePoint{} && member.mUnansweredCalls == 0) {
      uncontacted.push_back(member.mInfo.mPeerAddress);
    }
  }
  return uncontacted;
}

int
Members::AvailableCount() const
{
  return static_cast<int>(AvailableInstancesIn(mSelf.mZone).size() +
                          AvailableElsewhere().size());
}

std::vector<InstanceInfo>
Members::AvailableElsewhere() const
{
  std::lock_guard<std::mutex> lock(mLock);
  std::vector<InstanceInfo> available;
  for (const auto& member : mMembers) {
    if (member.second.mInfo.mZone != mSelf.mZone &&
        IsAvailable(member.second)) {
      available.push_back(member.second.mInfo);
    }
  }
  return available;
}

} // namespace caraway
