#include "decide/FirstTokenEstimate.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

// Guesses until there are enough first events; see Trend.
constexpr double kGuessedTokenMs = 0.04; // 1,000 tokens in 40 ms
constexpr double kGuessedStepMs = 2;
constexpr double kGuessedPromptTokens = 500;

// As many as a few requests that differ by 1,000 tokens, or by 3 requests at
// their servers.
constexpr double kTokenGuessWeight = 4e6;
constexpr double kStepGuessWeight = 36;

// Learnt times are at most so many times longer or shorter than the guesses:
// callers may state wrong lengths.
constexpr double kMaxDeviationFactor = 10;

// A first event that took longer than so many times the expected time counts as
// that. Servers may stall for reasons that have nothing to do with prompts.
constexpr double kMaxOutlierFactor = 4;
constexpr double kLeastExpectedMs = 20;

// Least weight of the newest first event in the means.
constexpr double kMeanGain = 0.02;

double
Within(double aLearnt, double aGuess)
{
  return std::clamp(
    aLearnt, aGuess / kMaxDeviationFactor, aGuess * kMaxDeviationFactor);
}

Millis
Rounded(double aMs)
{
  constexpr double kMaxMs = 1e9;
  return Millis(std::llround(std::clamp(aMs, 0.0, kMaxMs)));
}

} // namespace

FirstTokenEstimate::FirstTokenEstimate()
  : mPrompt(kGuessedTokenMs, kTokenGuessWeight)
  , mStep(kGuessedStepMs, kStepGuessWeight)
  , mUsualPrompt(kGuessedPromptTokens)
{
}

double
FirstTokenEstimate::TokenMs() const
{
  return Within(mPrompt.Slope(), kGuessedTokenMs);
}

double
FirstTokenEstimate::StepMs() const
{
  return Within(mStep.Slope(), kGuessedStepMs);
}

double
FirstTokenEstimate::WorkMs(const FirstTokenFacts& aFacts) const
{
  return TokenMs() * aFacts.mPromptTokens + StepMs() * aFacts.mRequests;
}

// Each trend sees what the other one leaves.
void
FirstTokenEstimate::Record(const FirstTokenFacts& aFacts, Millis aTook)
{
  double expected = WorkMs(aFacts) + mFixedMs;
  double took =
    std::min(static_cast<double>(aTook.count()) / aFacts.mPace,
             kMaxOutlierFactor * std::max(expected, kLeastExpectedMs));
  double prompt = TokenMs() * aFacts.mPromptTokens;
  double steps = StepMs() * aFacts.mRequests;
  mPrompt.Record(aFacts.mPromptTokens, took - steps);
  mStep.Record(aFacts.mRequests, took - prompt);
  double gain = std::max(kMeanGain, 1 / ++mEvents);
  mFixedMs += gain * (took - WorkMs(aFacts) - mFixedMs);
  mFixedMs = std::max(0.0, mFixedMs);
  mUsualPrompt += gain * (aFacts.mOwnTokens - mUsualPrompt);
  double longTokens = aFacts.mLong ? aFacts.mOwnTokens : 0;
  mLongTokens += gain * (longTokens - mLongTokens);
}

double
FirstTokenEstimate::LongShare() const
{
  return std::clamp(mLongTokens / std::max(mUsualPrompt, 1.0), 0.0, 1.0);
}

Millis
FirstTokenEstimate::Expected(const FirstTokenFacts& aFacts) const
{
  return Rounded(aFacts.mPace * (WorkMs(aFacts) + mFixedMs));
}

Millis
FirstTokenEstimate::ReadingTime(double aPromptTokens) const
{
  return Rounded(TokenMs() * aPromptTokens);
}

} // namespace caraway
