// PacedChoice.h: the choice among servers that report their pace.
//
// All instances choose by reports and counts that are up to some seconds old.
// If each took the best server, all would take the same one, so each takes the
// better of two that are drawn at random.
#ifndef caraway_decide_PacedChoice_h
#define caraway_decide_PacedChoice_h

#include <vector>

#include "decide/FirstTokenEstimate.h"
#include "decide/ServerView.h"

namespace caraway {

class PacedChoice
{
public:
  // The parameters must outlive it.
  PacedChoice(const ServerRequirements& aRequirements,
              const FirstTokenEstimate& aFirstToken,
              TimePoint aNow);

  // aCandidates can all take the request. Returns null if there are none.
  Backend* Choose(std::vector<Backend*> aCandidates, std::mt19937& aRandom);
  // What the request's first event waits for on this server.
  FirstTokenFacts FactsAt(const Backend& aBackend) const;

private:
  using Condition = bool (PacedChoice::*)(const Backend&) const;

  bool IsTrusted(const Backend& aBackend) const;
  bool ReadsInTime(const Backend& aBackend) const;
  bool KeepsGapAim(const Backend& aBackend) const;
  bool ReadsNothing(const Backend& aBackend) const;
  // Whether reading the prompt holds up the streams of its server noticeably.
  bool IsLong() const;
  void Prefer(std::vector<Backend*>& aCandidates, Condition aGood) const;
  int RequestsAt(const Backend& aBackend) const;
  void RankServers(const std::vector<Backend*>& aCandidates);
  double OthersPart() const;
  double ApartCost(const Backend& aBackend) const;
  double CostOf(const Backend& aBackend) const;
  Backend* BetterOfTwo(const std::vector<Backend*>& aCandidates,
                       std::mt19937& aRandom) const;

  const ServerRequirements& mRequirements;
  const FirstTokenEstimate& mFirstToken;
  TimePoint mNow;
  double mPromptTokens;
  Millis mReadingTime;                  // of the prompt, at the usual pace
  std::map<std::string, double> mRanks; // of servers, 0 to 1; see ApartCost()
};

} // namespace caraway

#endif
