#include "daemon/Settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "daemon/TomlTableReader.h"

namespace caraway {

namespace {

constexpr size_t kDigestDigits = 64;

void
ReadNear(TomlTableReader& aFields, Settings& aOut)
{
  const toml::node* node = aFields.Node("near", false);
  if (!node) {
    aOut.mNear = aOut.mZones;
    return;
  }
  aFields.Texts("near", aOut.mNear, false);
  auto contains = [](const std::vector<std::string>& aZones,
                     const std::string& aZone) {
    return std::find(aZones.begin(), aZones.end(), aZone) != aZones.end();
  };
  if (!contains(aOut.mNear, aOut.mZone)) {
    aFields.AddError(node, "near", "must include the instance's own zone");
  }
  for (const std::string& zone : aOut.mNear) {
    if (!contains(aOut.mZones, zone)) {
      aFields.AddError(node, "near", zone + " isn't listed in zones");
    }
  }
}

void
ReadInstance(TomlTableReader aFields, Settings& aOut)
{
  aFields.Text("id", aOut.mId, true);
  aFields.Text("zone", aOut.mZone, true);
  aFields.Texts("zones", aOut.mZones, true);
  bool zoneListed =
    std::find(aOut.mZones.begin(), aOut.mZones.end(), aOut.mZone) !=
    aOut.mZones.end();
  if (!aOut.mZones.empty() && !zoneListed) {
    aFields.AddError(
      aFields.Node("zone", false), "zone", "isn't listed in zones");
  }
  ReadNear(aFields, aOut);
}

void
ReadCaller(TomlTableReader aFields, Settings& aOut)
{
  int64_t connections = aOut.mCallerConnections;
  aFields.Address("listen", aOut.mCallerListen, true);
  aFields.Number("connections", connections, 1);
  aFields.Number("body_bytes", aOut.mCallerBodyBytes, 1);
  aOut.mCallerConnections = static_cast<int>(connections);
}

void
ReadAdmin(TomlTableReader aFields, Settings& aOut)
{
  aFields.Address("listen", aOut.mAdminListen, true);
  const toml::node* node = aFields.Node("keys", true);
  const toml::table* keys = node ? node->as_table() : nullptr;
  if (node && (!keys || keys->empty())) {
    aFields.AddError(node, "keys", "expected NAME = \"DIGEST\" entries");
  }
  if (!keys) {
    return;
  }
  for (const auto& entry : *keys) {
    auto digest = entry.second.value_exact<std::string>();
    if (!digest || digest->size() != kDigestDigits) {
      aFields.AddError(&entry.second,
                       "keys",
                       "expected a SHA-256 in hex (carawayctl admin-key "
                       "makes one)");
      return;
    }
    aOut.mAdminKeys.push_back({ std::string(entry.first.str()), *digest });
  }
}

void
ReadPeer(TomlTableReader aFields, Settings& aOut)
{
  aFields.Address("listen", aOut.mPeerListen, true);
  aFields.Address("advertise", aOut.mPeerAdvertise);
  aFields.Text("secret", aOut.mPeerSecret, true);
  aFields.Texts("seeds", aOut.mPeerSeeds, false);
  constexpr size_t kMinSecretLength = 16;
  if (!aOut.mPeerSecret.empty() && aOut.mPeerSecret.size() < kMinSecretLength) {
    aFields.AddError(aFields.Node("secret", false),
                     "secret",
                     "expected 16 characters or more");
  }
}

void
ReadOtherTables(const toml::table& aRoot, Settings& aOut, TomlErrors& aErrors)
{
  {
    TomlTableReader fields(aRoot["platform"].as_table(), "platform", aErrors);
    fields.Address("address", aOut.mPlatformAddress, true);
    fields.Time("timeout_ms", aOut.mPlatformTimeout);
    fields.Number("calls_per_second", aOut.mPlatformCallsPerSecond, 1);
  }
  {
    TomlTableReader fields(aRoot["limits"].as_table(), "limits", aErrors);
    fields.Number("memory_mb", aOut.mMemoryMb, 1);
    fields.Number("max_fds", aOut.mDescriptors, 1);
  }
  {
    TomlTableReader fields(aRoot["keys"].as_table(), "keys", aErrors);
    fields.Time("max_age_s", aOut.mKeysMaxAge);
  }
  {
    TomlTableReader fields(aRoot["shares"].as_table(), "shares", aErrors);
    fields.Time("lease_ms", aOut.mShareLease);
    fields.Time("margin_ms", aOut.mShareMargin);
    fields.Time("isolation_limit_s", aOut.mShareIsolationLimit);
    fields.Time("grant_life_ms", aOut.mShareGrantLife);
  }
  {
    TomlTableReader fields(aRoot["store"].as_table(), "store", aErrors);
    fields.Number("at_once", aOut.mStoreAtOnce, 1);
    fields.Number("starts_per_second", aOut.mStoreStartsPerSecond, 1);
    fields.Number("adapters_at_once", aOut.mStoreAdaptersAtOnce, 1);
  }
  {
    TomlTableReader fields(aRoot["models"].as_table(), "models", aErrors);
    fields.Time("idle_limit_s", aOut.mModelIdleLimit);
    fields.Time("order_horizon_s", aOut.mModelOrderHorizon);
  }
  TomlTableReader fields(aRoot["shutdown"].as_table(), "shutdown", aErrors);
  fields.Time("lag_ms", aOut.mShutdownLag);
  fields.Time("limit_s", aOut.mShutdownLimit);
}

void
CheckTables(const toml::table& aRoot, TomlErrors& aErrors)
{
  static const std::set<std::string> sTables = {
    "instance", "caller", "admin",    "peer",  "platform", "keys",
    "shares",   "models", "shutdown", "store", "limits"
  };
  for (const auto& entry : aRoot) {
    std::string name(entry.first.str());
    if (!sTables.count(name)) {
      aErrors.Add(
        entry.second.source().begin.line, name, "unknown table or field");
    } else if (!entry.second.is_table()) {
      aErrors.Add(entry.second.source().begin.line, name, "expected a table");
    }
  }
}

} // namespace

Result<Settings>
SettingsParse(const std::string& aText, const std::string& aFile)
{
  TomlErrors errors{ aFile, "" };
  Settings settings;
  try {
    toml::table root = toml::parse(aText);
    CheckTables(root, errors);
    ReadInstance({ root["instance"].as_table(), "instance", errors }, settings);
    ReadCaller({ root["caller"].as_table(), "caller", errors }, settings);
    ReadAdmin({ root["admin"].as_table(), "admin", errors }, settings);
    ReadPeer({ root["peer"].as_table(), "peer", errors }, settings);
    ReadOtherTables(root, settings, errors);
  } catch (const toml::parse_error& error) {
    errors.Add(
      error.source().begin.line, "not TOML", std::string(error.description()));
  }
  if (!errors.mText.empty()) {
    return Fail(ErrorKind::ConfigInvalid, errors.mText);
  }
  return settings;
}

Result<Settings>
SettingsRead(const std::string& aFile)
{
  std::ifstream file(aFile);
  if (!file) {
    return Fail(ErrorKind::ConfigInvalid, aFile + ": can't be opened");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return SettingsParse(text.str(), aFile);
}

} // namespace caraway
