#include "decide/BrokenServers.h"

#include "base/EraseIf.h"

namespace caraway {

namespace {

// All connections to a server that ends are noticed within this time.
constexpr Millis kGatherTime{ 30 };

// A server that sends something later than kSettleTime after one of its
// connections ended has not ended. What it sends later than kBackTime after
// may be its next process's.
constexpr Millis kSettleTime{ 100 };
constexpr Millis kBackTime{ 400 };

// Two instances notice the end of a server this far apart at most.
constexpr Millis kSameEnd{ 200 };

// The end of a server is in the list, or told by another instance, within this
// time.
constexpr Millis kUnsureTime{ 5000 };

// How long a server that broke a connection and went on is remembered.
constexpr Seconds kRefutedTime{ 60 };

// Limits of servers remembered at a time.
constexpr size_t kMaxEnds = 256;
constexpr size_t kMaxRefuted = 256;

// Follows the name of a life that ended after it had been refuted to have, so
// that the news of that don't clear this crash.
constexpr char kAfterRefuted[] = "+";

} // namespace

BrokenServers::End&
BrokenServers::Add(const ServerLife& aLife, TimePoint aNow)
{
  Forget(aNow);
  End& end = mEnds[aLife.Name()];
  if (end.mAt == TimePoint()) {
    end.mLife = aLife;
    end.mAt = aNow;
  }
  return end;
}

void
BrokenServers::OnBroken(const ServerLife& aLife,
                        const std::vector<std::string>& aParts,
                        TimePoint aNow)
{
  if (Refuted(aLife.Name())) {
    OnUnsureEnd(aLife, aParts, aNow);
    return;
  }
  if (mEnds.size() >= kMaxEnds && !mEnds.count(aLife.Name())) {
    return;
  }
  End& end = Add(aLife, aNow);
  if (!end.mSure) {
    SetSure(end, aNow);
  } else if (aNow - end.mAt > kSameEnd) {
    return; // reached no server: it had ended
  }
  end.mReported = end.mReported && aParts.empty();
  end.mParts.insert(aParts.begin(), aParts.end());
}

void
BrokenServers::OnUnsureEnd(const ServerLife& aLife,
                           const std::vector<std::string>& aParts,
                           TimePoint aNow)
{
  if (aParts.empty() ||
      (mEnds.size() >= kMaxEnds && !mEnds.count(aLife.Name()))) {
    return;
  }
  End& end = Add(aLife, aNow);
  if (end.mSure && aNow - end.mAt > kSameEnd) {
    return;
  }
  // A server that has ended ends no answer later.
  if (!end.mSure && aNow - end.mAt > kGatherTime) {
    end.mParts.clear();
    end.mAt = aNow;
  }
  end.mReported = false;
  end.mParts.insert(aParts.begin(), aParts.end());
}

// What ended unsurely at another time ended for a reason of its own.
void
BrokenServers::SetSure(End& aEnd, TimePoint aAt)
{
  auto apart = aAt > aEnd.mAt ? aAt - aEnd.mAt : aEnd.mAt - aAt;
  if (apart > kSameEnd) {
    aEnd.mParts.clear();
  }
  aEnd.mSure = true;
  aEnd.mAt = aAt;
}

void
BrokenServers::OnEnded(const std::string& aLife,
                       std::optional<TimePoint> aAt,
                       TimePoint aNow)
{
  Forget(aNow);
  if (aAt && Refuted(aLife)) {
    return;
  }
  auto found = mEnds.find(aLife);
  if (found != mEnds.end() && !found->second.mSure) {
    SetSure(found->second, aAt.value_or(found->second.mAt));
  } else if (found == mEnds.end() && aAt && mEnds.size() < kMaxEnds) {
    End& end = mEnds[aLife];
    end.mAt = *aAt;
    end.mSure = true;
    end.mReported = true;
  }
}

bool
BrokenServers::OnBytes(const ServerLife& aLife,
                       TimePoint aSentAt,
                       TimePoint aNow)
{
  auto found = mEnds.find(aLife.Name());
  if (found == mEnds.end()) {
    return false;
  }
  TimePoint brokeAt = found->second.mAt;
  bool later = aSentAt > brokeAt || aNow >= brokeAt + kSettleTime;
  if (!later || aNow > brokeAt + kBackTime) {
    return false;
  }
  if (!found->second.mSure) {
    mEnds.erase(found);
    return false;
  }
  // Lost packets may come late: the list has the last word.
  found->second.mSure = false;
  found->second.mReported = false;
  OnRefuted(aLife.Name(), aNow);
  return true;
}

void
BrokenServers::OnRefuted(const std::string& aLife, TimePoint aNow)
{
  if (mRefuted.size() < kMaxRefuted || Refuted(aLife)) {
    mRefuted[aLife] = aNow;
  }
}

std::vector<CrashReport>
BrokenServers::TakeReports(TimePoint aNow)
{
  std::vector<CrashReport> reports;
  for (auto& [name, end] : mEnds) {
    if (!end.mSure || end.mReported || aNow < end.mAt + kGatherTime) {
      continue;
    }
    end.mReported = true;
    if (!end.mParts.empty()) {
      std::string crash = name + (Refuted(name) ? kAfterRefuted : "");
      reports.push_back({ { crash, end.mAt }, end.mParts });
    }
  }
  Forget(aNow);
  return reports;
}

void
BrokenServers::Forget(TimePoint aNow)
{
  EraseIf(mEnds, [aNow](const auto& aEntry) {
    const End& end = aEntry.second;
    bool pending = end.mSure && !end.mReported;
    return !pending && aNow - end.mAt > kUnsureTime;
  });
  EraseIf(mRefuted, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kRefutedTime;
  });
}

std::vector<ServerLife>
BrokenServers::Unsure() const
{
  std::vector<ServerLife> lives;
  for (const auto& [name, end] : mEnds) {
    if (!end.mSure) {
      lives.push_back(end.mLife);
    }
  }
  return lives;
}

} // namespace caraway
