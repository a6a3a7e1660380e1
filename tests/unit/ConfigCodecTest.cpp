#include <gtest/gtest.h>

#include "base/ConfigCodec.h"
#include "base/JsonText.h"

namespace caraway {

namespace {

std::string
ErrorAfter(const std::string& aChange)
{
  Json::Value config = JsonParseOrEmpty(R"({
    "tenants":[{"name":"acme","rate":10,"burst":20}],
    "models":[{"name":"m","bytes":5},{"name":"a","base":"m"}],
    "endpoints":[{"name":"e","zone":"z","group":"g","kind":"engine",
                  "address":"10.0.0.1:80","memory":10}],
    "profiles":[{"name":"p","tenant":"acme","model":"m","adapter":"a"}]})");
  Json::Value change = JsonParseOrEmpty(aChange);
  for (const std::string& section : change.getMemberNames()) {
    for (const std::string& field : change[section].getMemberNames()) {
      config[section][0][field] = change[section][field];
    }
  }
  auto parsed = Outcome([&] { return ConfigParse(config); });
  auto* failure = std::get_if<Failure>(&parsed);
  return failure ? failure->mDetail : "";
}

} // namespace

// Guards against accepting an invalid configuration: it must be refused as a
// whole, with the path of the wrong field.
TEST(ConfigCodec, InvalidConfigIsReportedWithItsLocation)
{
  EXPECT_EQ(ErrorAfter("{}"), "");
  EXPECT_EQ(ErrorAfter(R"({"profiles":{"model":"x"}})"),
            "profiles.p.model: no model x");
  EXPECT_EQ(ErrorAfter(R"({"profiles":{"adapter":"m"}})"),
            "profiles.p.adapter: no adapter of that model");
  EXPECT_EQ(ErrorAfter(R"({"profiles":{"tenant":"x"}})"),
            "profiles.p.tenant: no tenant x");
  EXPECT_EQ(ErrorAfter(R"({"profiles":{"service":"g"}})"),
            "profiles.p.model: expected either a model or a service");
  EXPECT_EQ(ErrorAfter(R"({"models":{"bytes":11}})"),
            "models.m.bytes: fits no engine's memory");
  EXPECT_EQ(ErrorAfter(R"({"endpoints":{"address":"host:80"}})"),
            "endpoints.e.address: expected ip:port");
  EXPECT_EQ(ErrorAfter(R"({"tenants":{"rate":"10/s"}})"),
            "tenants.acme.rate: expected a number >= 0");
}

// Guards against a model profile that declares its calls non-repeatable and is
// accepted: claims are made for services only, so the calls would still be
// repeated.
TEST(ConfigCodec, NonRepeatableModelProfileIsRejected)
{
  EXPECT_EQ(ErrorAfter(R"({"profiles":{"repeatable":false}})"),
            "profiles.p.repeatable: only profiles of a service can be "
            "non-repeatable");
}

} // namespace caraway
