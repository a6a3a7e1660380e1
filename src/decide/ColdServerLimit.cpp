#include "decide/ColdServerLimit.h"

#include <algorithm>
#include <cmath>

#include "base/EraseIf.h"
#include "decide/ListSchedule.h"
#include "decide/Rendezvous.h"

namespace caraway {

namespace {

// Groups of instances that know different lists and use all permits each.
constexpr int kViews = 2;

bool
Contains(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

int
CountOf(const InstancesByZone& aInstances)
{
  size_t count = 0;
  for (const auto& [zone, names] : aInstances) {
    count += names.size();
  }
  return static_cast<int>(count);
}

} // namespace

int
ColdPermits(double aPerSecond, double aOverage, double aSlack)
{
  double bound = aPerSecond * aOverage + aSlack;
  double permits = std::min(aPerSecond, bound / kViews);
  constexpr double kMost = 1e6; // more are as good as no limit
  return static_cast<int>(std::floor(std::clamp(permits, 0.0, kMost)));
}

int
ColdShare(const std::vector<std::string>& aMembers,
          const std::string& aSelf,
          const std::string& aServer,
          int aPermits)
{
  if (aMembers.empty() || !Contains(aMembers, aSelf)) {
    return 0;
  }
  int members = static_cast<int>(aMembers.size());
  auto more = static_cast<size_t>(aPermits % members);
  bool first = Contains(RendezvousFirst(aMembers, aServer, more), aSelf);
  return aPermits / members + (first ? 1 : 0);
}

void
ColdServerLimit::Configure(ColdLimitSettings aSettings)
{
  mSettings = std::move(aSettings);
  mParts.clear();
}

bool
ColdServerLimit::OnRunning(TimePoint aNow)
{
  bool first = mRunningAt == TimePoint();
  bool stoodStill = !first && aNow - mRunningAt > kMaxStandstill;
  mRunningAt = aNow;
  if (stoodStill) {
    mInstances.clear();
    mParts.clear();
    mCountedAt.reset();
    mListedAt.reset();
    mSettledAt.reset();
    mListsFrom = aNow;
  }
  return !stoodStill;
}

bool
ColdServerLimit::Listed() const
{
  auto zone = mInstances.find(mSettings.mZone);
  return zone != mInstances.end() && Contains(zone->second, mSettings.mName);
}

void
ColdServerLimit::OnListed(InstancesByZone aInstances,
                          TimePoint aRequestedAt,
                          TimePoint aNow)
{
  if (aRequestedAt < mListsFrom) {
    return;
  }
  mInstances = std::move(aInstances);
  mParts.clear();
  if (!Listed()) {
    // The entry was removed: the others don't count this instance any more.
    mCountedAt.reset();
    mListedAt.reset();
    mSettledAt.reset();
  } else {
    UpdateSettled(aRequestedAt, aNow);
  }
  AddNewcomers(aNow);
  ForgetSpent(aNow);
}

void
ColdServerLimit::AddNewcomers(TimePoint aNow)
{
  EraseIf(mNewcomers, [aNow](const Newcomer& aOne) {
    return aNow - aOne.mAt > kNewcomerTime;
  });
  if (mInstances.empty()) {
    return;
  }
  std::vector<std::string>& zone = mInstances[mSettings.mZone];
  for (const Newcomer& newcomer : mNewcomers) {
    if (!Contains(zone, newcomer.mName)) {
      zone.push_back(newcomer.mName);
    }
  }
}

void
ColdServerLimit::OnNewcomer(const std::string& aName, TimePoint aNow)
{
  mNewcomers.push_back({ aName, aNow });
  mParts.clear();
  AddNewcomers(aNow);
}

void
ColdServerLimit::OnLeft(const std::string& aName)
{
  EraseIf(mNewcomers,
          [&aName](const Newcomer& aOne) { return aOne.mName == aName; });
}

void
ColdServerLimit::OnCounted(TimePoint aNow)
{
  if (!mCountedAt && Listed()) {
    mCountedAt = aNow;
  }
}

// All instances share the permits of a zone that has none of its own.
std::vector<std::string>
ColdServerLimit::MembersFor(const std::string& aZone) const
{
  auto zone = mInstances.find(aZone);
  if (zone != mInstances.end() && !zone->second.empty()) {
    return zone->second;
  }
  std::vector<std::string> all;
  for (const auto& [name, names] : mInstances) {
    all.insert(all.end(), names.begin(), names.end());
  }
  return all;
}

int
ColdServerLimit::PartOf(const std::string& aServer,
                        const std::string& aZone,
                        double aPerSecond)
{
  auto [at, added] = mParts.try_emplace(aServer);
  Part& part = at->second;
  if (added || part.mZone != aZone || part.mPerSecond != aPerSecond) {
    int permits = ColdPermits(aPerSecond, mSettings.mOverage, mSettings.mSlack);
    part = { aZone,
             aPerSecond,
             ColdShare(MembersFor(aZone), mSettings.mName, aServer, permits) };
  }
  return part.mPermits;
}

// One window after the others began to count this instance, so that none of
// their larger parts from before is in the same window. Instances of other
// zones learn of it by their lists only, and use the permits of this zone until
// they know of its first instance.
std::optional<TimePoint>
ColdServerLimit::SpendsFrom(const std::string& aZone) const
{
  bool byLists = aZone != mSettings.mZone || mFirstOfZone;
  if (!mCountedAt || (byLists && !mSettledAt)) {
    return std::nullopt;
  }
  return byLists ? std::max(*mCountedAt, *mSettledAt) + kWindow
                 : *mCountedAt + kWindow;
}

std::optional<TimePoint>
ColdServerLimit::NextPermit(const std::string& aServer,
                            const std::string& aZone,
                            double aPerSecond,
                            TimePoint aNow)
{
  auto from = SpendsFrom(aZone);
  if (!from || aNow - mRunningAt > kMaxStandstill) {
    return std::nullopt;
  }
  int permits = PartOf(aServer, aZone, aPerSecond);
  if (permits <= 0) {
    return std::nullopt;
  }
  TimePoint next = std::max(*from, aNow);
  auto spent = mSpent.find(aServer);
  if (spent != mSpent.end() &&
      spent->second.size() >= static_cast<size_t>(permits)) {
    const auto& times = spent->second;
    TimePoint oldest = times[times.size() - static_cast<size_t>(permits)];
    next = std::max(next, oldest + kWindow);
  }
  return next;
}

void
ColdServerLimit::Spend(const std::string& aServer, TimePoint aNow)
{
  std::deque<TimePoint>& times = mSpent[aServer];
  while (!times.empty() && aNow - times.front() >= kWindow) {
    times.pop_front();
  }
  times.push_back(aNow);
}

// A list read by then shows that this instance was in contact with the store
// for as long as the others take to read their next lists.
void
ColdServerLimit::UpdateSettled(TimePoint aRequestedAt, TimePoint aNow)
{
  if (!mListedAt) {
    mListedAt = aNow;
    mFirstOfZone = mInstances[mSettings.mZone].size() == 1;
  }
  Millis wait = ListSchedule::LongestWait(CountOf(mInstances));
  if (!mSettledAt && aRequestedAt >= *mListedAt + wait) {
    mSettledAt = aNow;
  }
}

void
ColdServerLimit::ForgetSpent(TimePoint aNow)
{
  EraseIf(mSpent, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.back() >= kWindow;
  });
}

} // namespace caraway
