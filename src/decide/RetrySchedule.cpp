#include "decide/RetrySchedule.h"

#include <algorithm>

namespace caraway {

namespace {

// A caller's timer and the way here may add this much.
constexpr Millis kLate{ 1500 };
constexpr size_t kMaxRetriesPerTenant = 2000; // of a tenant; memory
constexpr double kInitialReturnRate = 0.5;    // of them come
constexpr double kLearn = 0.1;

} // namespace

void
RetrySchedule::Add(const std::string& aTenant,
                   uint64_t aRequestDigest,
                   double aTokens,
                   TimePoint aDue)
{
  Line& line = mLines[aTenant];
  if (line.mDue.size() < kMaxRetriesPerTenant &&
      line.mRequestDigest[aRequestDigest].insert(aDue).second) {
    line.mDue.emplace(aDue, std::make_pair(aRequestDigest, aTokens));
  }
}

std::optional<TimePoint>
RetrySchedule::Due(const std::string& aTenant, uint64_t aRequestDigest) const
{
  auto line = mLines.find(aTenant);
  if (line == mLines.end()) {
    return std::nullopt;
  }
  auto known = line->second.mRequestDigest.find(aRequestDigest);
  return known == line->second.mRequestDigest.end()
           ? std::nullopt
           : std::optional<TimePoint>(*known->second.begin());
}

void
RetrySchedule::Use(const std::string& aTenant, uint64_t aRequestDigest)
{
  Learn(aTenant, true);
  Line& line = mLines[aTenant];
  auto range =
    line.mDue.equal_range(*line.mRequestDigest[aRequestDigest].begin());
  for (auto one = range.first; one != range.second; ++one) {
    if (one->second.first == aRequestDigest) {
      line.mDue.erase(one);
      break;
    }
  }
  line.EraseFirst(aRequestDigest);
  if (line.mDue.empty()) {
    mLines.erase(aTenant);
  }
}

void
RetrySchedule::Line::EraseFirst(uint64_t aRequestDigest)
{
  auto alike = mRequestDigest.find(aRequestDigest);
  alike->second.erase(alike->second.begin());
  if (alike->second.empty()) {
    mRequestDigest.erase(alike);
  }
}

void
RetrySchedule::Learn(const std::string& aTenant, bool aCame)
{
  double& came =
    mReturnRates.emplace(aTenant, kInitialReturnRate).first->second;
  came += kLearn * ((aCame ? 1.0 : 0.0) - came);
}

double
RetrySchedule::ReturnProbability(const std::string& aTenant) const
{
  if (mLines.count(aTenant) == 0) {
    return 0;
  }
  auto came = mReturnRates.find(aTenant);
  return came == mReturnRates.end() ? kInitialReturnRate : came->second;
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
  return tokens * ReturnProbability(aTenant);
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
