#include <gtest/gtest.h>

#include <Poco/Net/StreamSocket.h>

#include "base/JsonText.h"
#include "support/Fleet.h"

namespace caraway {

namespace {

std::string
Kind(const HttpReply& aReply)
{
  std::string type = JsonParseOrEmpty(aReply.mBody)["type"].asString();
  return type.substr(type.rfind(':') + 1);
}

HttpReply
Post(Fleet& aFleet,
     const std::string& aPath,
     const std::string& aBody,
     const std::string& aKey)
{
  HttpCall call;
  call.mAddress = aFleet.mInstances[0]->Address("caller");
  call.mMethod = "POST";
  call.mPath = aPath;
  call.mBody = aBody;
  call.mTimeout = Seconds(5);
  call.mHeaders = { { "Authorization", "Bearer " + aKey } };
  return HttpCallOnce(call);
}

} // namespace

// Invalid requests get a specific error, and the next caller is still served.
TEST(BadInput, CallersGetAClearAnswer)
{
  Fleet fleet({});
  std::string key = fleet.mKeys["acme"];
  const std::string chat = "/v1/chat/completions";
  EXPECT_EQ(Kind(Post(fleet, chat, "{", key)), "bad_request");
  EXPECT_EQ(Kind(Post(fleet, chat, std::string(5000, '['), key)),
            "bad_request");
  EXPECT_EQ(Kind(Post(fleet, chat, R"({"model":1})", key)), "bad_request");
  EXPECT_EQ(
    Kind(Post(fleet, chat, R"({"model":"chat-m0","messages":[7]})", key)),
    "bad_request");
  EXPECT_EQ(
    Kind(Post(fleet,
              chat,
              R"({"model":"x","messages":[{"role":"user","content":"a"}]})",
              key)),
    "profile_unknown");
  EXPECT_EQ(Kind(Post(fleet, chat, std::string(2'000'000, 'x'), key)),
            "body_too_large");
  EXPECT_EQ(Kind(Post(fleet, "/v1/nothing", "", key)), "not_found");
  EXPECT_EQ(Kind(Post(fleet, "/v1/briefings/../x", "", key)), "not_found");
  EXPECT_EQ(Kind(Post(fleet, chat, "{}", "")), "key_missing");
  EXPECT_EQ(Kind(Post(fleet, chat, "{}", "wrong")), "key_unknown");
  EXPECT_TRUE(fleet.Chat(0, key, "chat-m0", 1).Ok());
}

// Eighty connections that send nothing, or half a request, are held open.
// Guards against idle connections that use up the port: others must be served
// at once, not only when the idle ones have timed out.
TEST(BadInput, IdleConnectionsDontBlockOthers)
{
  Fleet fleet({});
  Poco::Net::SocketAddress address(fleet.mInstances[0]->Address("caller"));
  std::vector<Poco::Net::StreamSocket> silent;
  for (int i = 0; i < 80; ++i) {
    silent.emplace_back(address);
    if (i % 2 == 0) {
      std::string half = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n";
      silent.back().sendBytes(half.data(), static_cast<int>(half.size()));
    }
  }
  auto begun = std::chrono::steady_clock::now();
  EXPECT_TRUE(fleet.Chat(0, fleet.mKeys["acme"], "chat-m0", 1).Ok());
  EXPECT_LT(std::chrono::steady_clock::now() - begun, Seconds(3));
}

// Guards against peer and administration ports that answer anyone who can reach
// them.
TEST(BadInput, PeerAndAdminPortsRequireAKey)
{
  Fleet fleet({});
  std::string peer = fleet.mInstances[0]->Address("peer");
  std::string admin = fleet.mInstances[0]->Address("admin");
  EXPECT_EQ(fleet.Call(peer, "POST", "/rpc").mStatus, 401);
  EXPECT_EQ(fleet.Call(peer, "POST", "/rpc", {}, fleet.mKeys["acme"]).mStatus,
            401);
  EXPECT_EQ(fleet.Call(admin, "GET", "/admin/v1/config").mStatus, 401);
  EXPECT_EQ(fleet.Call(admin, "GET", "/metrics").mStatus, 401);
  EXPECT_EQ(
    fleet.Call(admin, "GET", "/admin/v1/config", {}, fleet.mKeys["acme"])
      .mStatus,
    401);
  EXPECT_TRUE(fleet.Call(admin, "GET", "/healthz").Ok());
  // With the secret, a malformed call must only cause an error.
  Json::Value nonsense(Json::arrayValue);
  fleet.Call(peer, "POST", "/rpc", nonsense, "0123456789abcdef");
  Json::Value wrong;
  wrong["jsonrpc"] = "2.0";
  wrong["id"] = 1;
  wrong["method"] = "share.take";
  wrong["params"]["slot"] = "nine";
  wrong["params"]["tokens"] = Json::Value(Json::objectValue);
  HttpReply reply = fleet.Call(peer, "POST", "/rpc", wrong, "0123456789abcdef");
  EXPECT_NE(reply.mBody.find("error"), std::string::npos) << reply.mBody;
  EXPECT_TRUE(fleet.Chat(0, fleet.mKeys["acme"], "chat-m0", 1).Ok());
}

} // namespace caraway
