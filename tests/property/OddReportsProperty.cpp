// Servers' reports with contents that nobody expects.

#include <gtest/gtest.h>

#include <random>

#include "base/JsonText.h"
#include "platform/OrderMessage.h"

namespace caraway {

namespace {

constexpr unsigned kReports = 20000;

Json::Value
Odd(std::mt19937& aRandom, int aDepth)
{
  switch (aRandom() % (aDepth > 0 ? 10 : 8)) {
    case 0:
      return "";
    case 1:
      return "m1/a1@v2";
    case 2:
      return static_cast<Json::Int64>(aRandom() % 10);
    case 3:
      return static_cast<Json::Int64>(INT64_MIN);
    case 4:
      return -1e300;
    case 5:
      return aRandom() % 2 == 0;
    case 6:
      return Json::Value();
    case 7:
      return "m1";
    case 8: {
      Json::Value array(Json::arrayValue);
      for (unsigned i = aRandom() % 4; i > 0; --i) {
        array.append(Odd(aRandom, aDepth - 1));
      }
      return array;
    }
    default: {
      constexpr const char* kNames[] = { "name",   "adapters", "version",
                                         "models", "coming",   "busy" };
      Json::Value object(Json::objectValue);
      for (unsigned i = aRandom() % 4; i > 0; --i) {
        object[kNames[aRandom() % std::size(kNames)]] =
          Odd(aRandom, aDepth - 1);
      }
      return object;
    }
  }
}

Json::Value
Sound()
{
  return JsonParseOrEmpty(
    R"({"sequence":2,"busy":false,"born":7,"coming":["m1/a2@3"],)"
    R"("models":[{"name":"m1","version":1,"adapters":["a1"]}]})");
}

} // namespace

// Guards against a process that ends because of a report, and against one whose
// missing or unreadable parts are taken for room.
TEST(OddReports, AreReadInFullOrNotAtAll)
{
  ASSERT_TRUE(wire::ReadReport(JsonWrite(Sound())));
  std::mt19937 random(7);
  constexpr const char* kFields[] = {
    "sequence", "busy", "born", "coming", "models"
  };
  int read = 0;
  for (unsigned i = 0; i < kReports; ++i) {
    Json::Value body = Sound();
    const char* field = kFields[random() % std::size(kFields)];
    body[field] = Odd(random, 3);
    std::string text = JsonWrite(body);
    if (random() % 5 == 0) {
      text.resize(random() % (text.size() + 1));
    }
    auto report = wire::ReadReport(text);
    if (!report) {
      continue;
    }
    ++read;
    Json::Value whole = JsonParseOrEmpty(text);
    EXPECT_TRUE(whole["sequence"].isInt64()) << text;
    EXPECT_TRUE(whole["busy"].isBool()) << text;
    EXPECT_TRUE(whole["born"].isInt64()) << text;
    EXPECT_TRUE(whole["models"].isArray()) << text;
    for (const Json::Value& model : whole["models"]) {
      ASSERT_TRUE(model["name"].isString()) << text;
      EXPECT_EQ(1u, report->mModels.count(model["name"].asString())) << text;
    }
    for (const Json::Value& coming : whole["coming"]) {
      std::string name = coming.asString();
      EXPECT_EQ(1u, report->mModels.count(name.substr(0, name.find('/'))))
        << text;
    }
  }
  EXPECT_GT(read, 0);
}

} // namespace caraway
