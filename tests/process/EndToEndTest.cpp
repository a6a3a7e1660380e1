#include <gtest/gtest.h>

#include "base/JsonText.h"
#include "support/Fleet.h"

namespace caraway {

// Guards against a caller's key that is forwarded to an endpoint, and against a
// profile that tenants other than its own can list or use.
TEST(EndToEnd, KeysAndProfilesStayWithTheirTenant)
{
  Fleet fleet({});
  std::string key = fleet.mKeys["acme"];
  EXPECT_TRUE(fleet.OrderCall(0, key, "k1", "body").Ok());
  HttpReply seen =
    fleet.Call(fleet.mServices[0]->Address(), "GET", "/executions");
  EXPECT_FALSE(JsonParseOrEmpty(seen.mBody)["saw_key"].asBool());
  EXPECT_TRUE(fleet.Chat(0, key, "chat-m0", 1).Ok());
  for (size_t i = 0; i < fleet.mEngines.size(); ++i) {
    EXPECT_FALSE(fleet.EngineState(i)["audit"]["saw_key"].asBool());
  }
  fleet.Configure([](Json::Value& aConfig) {
    for (Json::Value& profile : aConfig["profiles"]) {
      if (profile["name"] == "notice") {
        profile["tenant"] = "globex";
      }
    }
  });
  ASSERT_TRUE(fleet.AwaitRevision(2, Seconds(9)));
  std::string caller = fleet.mInstances[1]->Address("caller");
  HttpReply list = fleet.Call(caller, "GET", "/v1/models", {}, key);
  EXPECT_EQ(list.mBody.find("notice"), std::string::npos);
  HttpReply foreign = fleet.Chat(1, key, "notice", 3);
  EXPECT_EQ(foreign.mStatus, 404);
}

} // namespace caraway
