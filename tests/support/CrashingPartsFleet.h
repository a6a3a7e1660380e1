// CrashingPartsFleet.h: a fleet whose engines crash as they begin to answer a
// request with one part in its prompt.
#ifndef caraway_tests_CrashingPartsFleet_h
#define caraway_tests_CrashingPartsFleet_h

#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "support/EntryTestFleet.h"

namespace caraway {

// The model, and the parts of the prompt as ID:TOKENS,...
std::vector<HttpField>
PromptFields(const std::string& aParts, const std::string& aModel = "m0");

class CrashingPartsFleet : public testing::Test
{
protected:
  explicit CrashingPartsFleet(EntryFleetOptions aOptions = Options());

  // Eight instances, ten engines, a clock that advances with each pass.
  static EntryFleetOptions Options();

  // Sends aCount requests with the guilty part, one each aEvery at one instance
  // after the other, and two sound ones beside each: one with its first part,
  // one with another one of its parts.
  void SendMixed(const std::string& aPath, int aCount, Millis aEvery);
  TestCallPtr SendGuilty(const std::string& aPath);
  void SendSound(const std::string& aPath);
  // SendMixed until all instances that run block the part; fails the test if
  // that takes more than aMost.
  void CrashUntilBlocked(const std::string& aPath, int aMost = 12);
  // All of them at once, and new processes in their place.
  void KillAllInstances();
  void EndServersFault(); // the guilty part crashes no server any more

  std::vector<ServerCrashRecord> Crashes() const;
  // Requests with the guilty part that reached servers later than the rule
  // allows any number of them.
  int SentTooLate() const;
  static size_t Served(const std::vector<TestCallPtr>& aCalls);
  bool AllBlock() const;
  int LogLinesOfAll(const std::string& aText);
  // What the instances logged of crashes and verdicts, for failed tests.
  std::string Story();
  // A call between instances, as an operator makes it.
  Json::Value Operate(size_t aInstance,
                      const std::string& aMethod,
                      const Json::Value& aParams);

  EntryTestFleet mFleet;
  int mNumber = 0; // requests with the guilty part so far
  std::vector<TestCallPtr> mGuilty;
  std::vector<TestCallPtr> mSound;

private:
  size_t Next(int aOffset) const;

  ChannelPool mPool;
};

} // namespace caraway

#endif
