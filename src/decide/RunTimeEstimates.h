// RunTimeEstimates.h: how long requests take on servers, by route.
#ifndef caraway_decide_RunTimeEstimates_h
#define caraway_decide_RunTimeEstimates_h

#include <map>
#include <string>

#include "caraway/Time.h"

namespace caraway {

// What is known of a run before it starts.
struct RunFacts
{
  // Of output, by the caller's estimate; 0 = unknown.
  double mExpectedTokens = 0;
  double mServerLoad = 0; // requests in flight per slot of its server
};

// Line through (x, y) that follows the newest points. Its slope starts at a
// guess, so that few points don't make it steep.
class Trend
{
public:
  // aGuessWeight: sum of the points' squared distances from their mean x at
  // which they count as much as the guess.
  Trend(double aGuessedSlope, double aGuessWeight);

  // Returns the line's rise from the mean x before to the one with this point.
  double Record(double aX, double aY);
  // The line's rise from the mean x to aX; 0 without points.
  double Rise(double aX) const;
  double Slope() const { return mProducts / mSquares; }

private:
  double mGuessedSlope;
  double mGuessWeight;
  double mPoints = 0; // at most as many as the trend remembers
  double mMeanX = 0;
  double mMeanY = 0;
  double mSquares;  // of distances from mMeanX
  double mProducts; // of distances from mMeanX and mMeanY
};

// Smoothed mean and deviation of the logarithm of run times for each route, as
// for a TCP retransmission timer. A stream's time depends more on its length
// and on its server's load than on its route, so both are taken out first.
class RunTimeEstimates
{
public:
  // Records a complete answer on aRoute, aTook after the request was sent.
  void Record(const std::string& aRoute, Millis aTook, RunFacts aFacts = {});
  // Duration that about one in ten such runs exceeds; 0 = aRoute is unknown.
  Millis UsualTime(const std::string& aRoute, RunFacts aFacts = {}) const;
  // Duration that half of such runs exceed; 0 = aRoute is unknown.
  Millis TypicalTime(const std::string& aRoute, RunFacts aFacts = {}) const;
  size_t Size() const { return mRoutes.size(); }

private:
  struct Estimate
  {
    Estimate();

    double LengthRise(const RunFacts& aFacts) const;
    double LoadRise(const RunFacts& aFacts) const;
    void RecordTrends(const RunFacts& aFacts, double aTook);

    Trend mLength;         // over the logarithm of the expected tokens
    Trend mLoad;           // over the square of the server's load
    double mMean = 0;      // at the mean length and load
    double mDeviation = 0; // mean distance from mMean
  };
  Millis TimeAt(const std::string& aRoute,
                const RunFacts& aFacts,
                double aDeviations) const;

  std::map<std::string, Estimate> mRoutes;
};

} // namespace caraway

#endif
