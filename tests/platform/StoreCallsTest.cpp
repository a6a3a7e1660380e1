// Calls to the store: those of a fleet that starts, and of one at rest.

#include <gtest/gtest.h>

#include <map>
#include <sstream>

#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

// Calls by kind and outcome, over all instances, as text.
std::string
CallsByKind(EntryTestFleet& aFleet)
{
  constexpr char kCounter[] = "caraway_store_calls_total{";
  std::map<std::string, int> calls;
  for (const auto& instance : aFleet.mInstances) {
    std::istringstream lines(instance->State().mMetrics.Text());
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind(kCounter, 0) == 0) {
        size_t value = line.rfind(' ');
        calls[line.substr(0, value)] += std::stoi(line.substr(value));
      }
    }
  }
  std::string text;
  for (const auto& [kind, count] : calls) {
    text += kind + " " + std::to_string(count) + "\n";
  }
  return text;
}

} // namespace

// Guards against a start at which all instances race for the lease, list each
// other again and again and watch what one of them watches for all: with
// hundreds of them most of the store's calls of a day.
TEST(StoreCalls, StartingInstanceMakesFew)
{
  constexpr int kMostPerInstance = 6;
  constexpr int kMostPerZone = 20; // of the reader and the lease holder
  EntryTestFleet fleet(TwoLargeZones(Millis(1)));
  fleet.AwaitReady();
  fleet.RunFor(Millis(3000));
  int most = kMostPerInstance * static_cast<int>(fleet.Instances()) +
             kMostPerZone * static_cast<int>(fleet.mOptions.mZones.size());
  EXPECT_LE(fleet.mStore->Calls(), most) << CallsByKind(fleet);
}

} // namespace caraway
