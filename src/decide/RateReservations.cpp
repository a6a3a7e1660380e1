#include "decide/RateReservations.h"

#include <algorithm>
#include <cmath>

#include "base/EraseIf.h"

namespace caraway {

namespace {

// In a window a server bears so many times what its limit allows, and so many
// requests more.
constexpr double kOverage = 1.5;
constexpr double kSlack = 5;

// Between the first of the permits of a window and the first after them; one
// may be used late, the other at once.
constexpr Millis kSpan =
  RateReservations::kWindow + RateReservations::kPermitLife;

// Instances that may keep the reservations of one server at a time.
constexpr int kKeepers = 2;

} // namespace

int
RequestsPerWindow(double aPerSecond)
{
  double seconds =
    std::chrono::duration<double>(RateReservations::kWindow).count();
  double named = aPerSecond * seconds;
  double bound = (named * kOverage + kSlack) / kKeepers;
  return static_cast<int>(std::max(1.0, std::floor(std::min(named, bound))));
}

RateReservation
RateReservations::Reserve(const std::string& aServer,
                          int64_t aStartTime,
                          double aPerSecond,
                          TimePoint aBy,
                          TimePoint aNow)
{
  Times& times = mServers[aServer];
  if (times.mStartTime != aStartTime) {
    times = { aStartTime, {} };
  }
  std::deque<TimePoint>& all = times.mTimes;
  while (!all.empty() && aNow - all.front() >= kSpan) {
    all.pop_front();
  }
  TimePoint at = aNow;
  auto most = static_cast<size_t>(RequestsPerWindow(aPerSecond));
  if (all.size() >= most) {
    at = std::max(at, all[all.size() - most] + kSpan);
  }
  RateReservation reservation;
  reservation.mWait = std::chrono::ceil<Millis>(at - aNow);
  if (at <= std::min(aBy, aNow + kMaxAhead)) {
    all.push_back(std::max(at, all.empty() ? at : all.back()));
    reservation.mAt = all.back();
  }
  return reservation;
}

void
RateReservations::Sweep(TimePoint aNow)
{
  EraseIf(mServers, [aNow](const auto& aEntry) {
    const auto& times = aEntry.second.mTimes;
    return times.empty() || aNow - times.back() >= kSpan;
  });
}

} // namespace caraway
