#include <gtest/gtest.h>

#include "own/EngineClient.h"
#include "support/RepeatingServer.h"

namespace caraway {

// Guards against a report that is older than the record it is compared with: a
// model that has just been loaded looks gone, and its memory free.
TEST(EngineClient, ReportIsNotTheAnswerToTheReportBefore)
{
  std::atomic<int> reports{ 0 };
  RepeatingServer engine([&reports](const std::string&) {
    std::string name = "m" + std::to_string(++reports);
    return R"({"replicas":[{"name":")" + name +
           R"(","version":"1","bytes":1,"state":"ready","active":0,"idle_ms":0}]})";
  });
  EngineClient client;
  for (int i = 1; i <= 3; ++i) {
    auto answer = Outcome([&] { return client.Report(engine.Address()); });
    auto* report = std::get_if<EngineReport>(&answer);
    ASSERT_NE(nullptr, report);
    ASSERT_EQ(1u, report->mReplicas.size());
    EXPECT_EQ("m" + std::to_string(i), report->mReplicas[0].mName);
  }
}

// Guards against a process that ends because an engine's report has a field of
// another type.
TEST(EngineClient, OddReportIsNoReport)
{
  for (const char* body : { R"({"active":"x"})",
                            R"({"highest_fence":[1]})",
                            R"({"waiting":1e300})",
                            R"({"replicas":[1]})",
                            R"({"replicas":"x"})",
                            R"({"replicas":[{"name":{},"bytes":"x"}]})",
                            R"({"cached_disk":{"a":1}})",
                            R"({"cached_disk":[[1]]})" }) {
    RepeatingServer engine([body](const std::string&) { return body; });
    EngineClient client;
    EXPECT_NO_THROW({
      auto answer = Outcome([&] { return client.Report(engine.Address()); });
      EXPECT_TRUE(std::holds_alternative<Failure>(answer)) << body;
    }) << body;
  }
}

} // namespace caraway
