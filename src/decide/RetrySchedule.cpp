#include "decide/RetrySchedule.h"

#include <algorithm>

namespace caraway {

namespace {

// A caller's timer and the way here may add this much.
constexpr Millis kLate{ 1500 };
constexpr size_t kMostBooked = 2000; // of a tenant; memory
constexpr double kAtFirst = 0.5;     // of them come
constexpr double kLearn = 0.1;

} // namespace

void
RetrySchedule::Add(const std::string& aTenant,
                   uint64_t aLike,
                   double aTokens,
                   TimePoint aDue)
{
  Line& line = mLines[aTenant];
  if (line.mDue.size() < kMostBooked && line.mLike[aLike].insert(aDue).second) {
    line.mDue.emplace(aDue, std::make_pair(aLike, aTokens));
  }
}

std::optional<TimePoint>
RetrySchedule::Due(const std::string& aTenant, uint64_t aLike) const
{
  auto line = mLines.find(aTenant);
  if (line == mLines.end()) {
    return std::nullopt;
  }
  auto known = line->second.mLike.find(aLike);
  return known == line->second.mLike.end()
           ? std::nullopt
           : std::optional<TimePoint>(*known->second.begin());
}

void
RetrySchedule::Use(const std::string& aTenant, uint64_t aLike)
{
  Learn(aTenant, true);
  Line& line = mLines[aTenant];
  auto range = line.mDue.equal_range(*line.mLike[aLike].begin());
  for (auto one = range.first; one != range.second; ++one) {
    if (one->second.first == aLike) {
      line.mDue.erase(one);
      break;
    }
  }
  line.EraseFirst(aLike);
  if (line.mDue.empty()) {
    mLines.erase(aTenant);
  }
}

void
RetrySchedule::Line::EraseFirst(uint64_t aLike)
{
  auto alike = mLike.find(aLike);
  alike->second.erase(alike->second.begin());
  if (alike->second.empty()) {
    mLike.erase(alike);
  }
}

void
RetrySchedule::Learn(const std::string& aTenant, bool aCame)
{
  double& came = mCame.emplace(aTenant, kAtFirst).first->second;
  came += kLearn * ((aCame ? 1.0 : 0.0) - came);
}

double
RetrySchedule::Likely(const std::string& aTenant) const
{
  if (mLines.count(aTenant) == 0) {
    return 0;
  }
  auto came = mCame.find(aTenant);
  return came == mCame.end() ? kAtFirst : came->second;
}

double
RetrySchedule::Sum(const std::string& aTenant,
                   const Line& aLine,
                   TimePoint aUntil) const
{
  double tokens = 0;
  for (auto one = aLine.mDue.begin();
       one != aLine.mDue.end() && one->first < aUntil;
       ++one) {
    tokens += one->second.second;
  }
  return tokens * Likely(aTenant);
}

double
RetrySchedule::Tokens(const std::string& aTenant, TimePoint aUntil) const
{
  auto line = mLines.find(aTenant);
  return line == mLines.end() ? 0 : Sum(aTenant, line->second, aUntil);
}

double
RetrySchedule::OthersTokens(const std::string& aTenant,
                            TimePoint aUntil,
                            double aMostOfEach) const
{
  double tokens = 0;
  for (const auto& line : mLines) {
    if (line.first != aTenant) {
      tokens += std::min(Sum(line.first, line.second, aUntil), aMostOfEach);
    }
  }
  return tokens;
}

void
RetrySchedule::Forget(TimePoint aNow)
{
  for (auto line = mLines.begin(); line != mLines.end();) {
    auto& due = line->second.mDue;
    while (!due.empty() && due.begin()->first < aNow - kLate) {
      Learn(line->first, false);
      line->second.EraseFirst(due.begin()->second.first);
      due.erase(due.begin());
    }
    line = due.empty() ? mLines.erase(line) : std::next(line);
  }
}

} // namespace caraway
