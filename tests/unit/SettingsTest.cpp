#include <gtest/gtest.h>

#include "daemon/Settings.h"

namespace caraway {

namespace {

const std::string kValidSettings = R"([instance]
id = "m1"
zone = "a"
zones = ["a", "b"]
[caller]
listen = "127.0.0.1:0"
[admin]
listen = "127.0.0.1:0"
keys = { ana = "0123456789012345678901234567890123456789012345678901234567890123" }
[peer]
listen = "127.0.0.1:0"
secret = "0123456789abcdef"
[platform]
address = "127.0.0.1:1"
)";

std::string
ErrorOf(const std::string& aText)
{
  auto read = Outcome([&] { return SettingsParse(aText, "f.toml"); });
  auto* failure = std::get_if<Failure>(&read);
  return failure ? failure->mDetail : "";
}

} // namespace

TEST(Settings, ValidSettingsAreAccepted)
{
  EXPECT_EQ(ErrorOf(kValidSettings), "");
}

// Guards against invalid settings that are ignored, so that the instance runs
// with defaults instead. Before anything starts, the error must name the file,
// the line and what was expected.
TEST(Settings, InvalidSettingsAreReportedWithTheirLine)
{
  EXPECT_EQ(ErrorOf(kValidSettings + "[keys]\nmax_age = 3\n"),
            "f.toml:16: keys.max_age: unknown field");
  EXPECT_EQ(ErrorOf(kValidSettings + "[keys]\nmax_age_s = \"3s\"\n"),
            "f.toml:16: keys.max_age_s: expected a whole number >= 1, without "
            "a unit");
  EXPECT_EQ(ErrorOf(kValidSettings + "[extra]\n"),
            "f.toml:15: extra: unknown table or field");
  std::string without =
    kValidSettings.substr(0, kValidSettings.find("[platform]"));
  EXPECT_EQ(ErrorOf(without), "f.toml:1: platform.address: is missing");
  EXPECT_NE(ErrorOf(kValidSettings + "[keys\n").find("f.toml:15"),
            std::string::npos);
}

// Guards against a list of near zones that names an unknown zone or omits the
// instance's own: models would be requested where nothing loads them.
TEST(Settings, NearZonesAreKnownAndIncludeOwnZone)
{
  auto near = [](const std::string& aZones) {
    std::string text = kValidSettings;
    std::string zonesLine = "zones = [\"a\", \"b\"]\n";
    text.insert(text.find(zonesLine) + zonesLine.size(),
                "near = " + aZones + "\n");
    return ErrorOf(text);
  };
  EXPECT_EQ(near("[\"a\"]"), "");
  EXPECT_EQ(near("[\"b\"]"),
            "f.toml:5: instance.near: must include the instance's own zone");
  EXPECT_EQ(near("[\"a\", \"c\"]"),
            "f.toml:5: instance.near: c isn't listed in zones");
}

} // namespace caraway
