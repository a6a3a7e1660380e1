// Commands on single entries: profiles, tenants, endpoints, models, keys.
#include "ctl/Ctl.h"

#include <cstdio>

#include "base/Digest.h"
#include "base/JsonText.h"
#include "base/RandomId.h"

namespace caraway {

namespace {

struct EntryKind
{
  const char* mSingular;
  const char* mSection;
  std::vector<std::string> mColumns;
};

const EntryKind*
EntryKindOf(const std::string& aName)
{
  static const EntryKind sEntryKinds[] = {
    { "profile",
      "profiles",
      { "name",
        "tenant",
        "model",
        "adapter",
        "service",
        "class",
        "repeatable" } },
    { "tenant", "tenants", { "name", "rate", "burst" } },
    { "endpoint",
      "endpoints",
      { "name",
        "zone",
        "group",
        "kind",
        "address",
        "memory",
        "checks_fencing" } },
    { "model", "models", { "name", "version", "base", "bytes" } },
  };
  for (const EntryKind& kind : sEntryKinds) {
    if (aName == kind.mSingular || aName == kind.mSection) {
      return &kind;
    }
  }
  return nullptr;
}

leaf::error_id
UnknownEntryKind(const std::string& aName)
{
  return Fail(ErrorKind::BadRequest,
              aName + ": expected profile, tenant, endpoint or model");
}

Json::Value*
Find(Json::Value& aSection, const char* aField, const std::string& aName)
{
  for (Json::Value& entry : aSection) {
    if (entry[aField].asString() == aName) {
      return &entry;
    }
  }
  return nullptr;
}

// Returns a boolean or number if aText is one, and a string otherwise.
Json::Value
ValueOf(const std::string& aText)
{
  Json::Value parsed;
  auto json = Outcome([&] { return JsonParse(aText); });
  if (auto* value = std::get_if<Json::Value>(&json)) {
    if (value->isBool() || value->isNumeric()) {
      return *value;
    }
  }
  return aText;
}

void
RemoveEntry(Json::Value& aSection, const char* aField, const std::string& aName)
{
  Json::Value kept(Json::arrayValue);
  for (const Json::Value& entry : aSection) {
    if (entry[aField].asString() != aName) {
      kept.append(entry);
    }
  }
  aSection = kept;
}

} // namespace

Result<int>
Ctl::List(const Arguments& aArguments)
{
  const EntryKind* kind = EntryKindOf(aArguments[0]);
  if (!kind) {
    return UnknownEntryKind(aArguments[0]);
  }
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/config"));
  const Json::Value& section = json["config"][kind->mSection];
  Print(section, section, kind->mColumns);
  return CtlExit_Ok;
}

Result<int>
Ctl::Show(const Arguments& aArguments)
{
  const EntryKind* kind = EntryKindOf(aArguments[0]);
  if (!kind) {
    return UnknownEntryKind(aArguments[0]);
  }
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/config"));
  Json::Value* entry =
    Find(json["config"][kind->mSection], "name", aArguments[1]);
  if (!entry) {
    return Fail(ErrorKind::NotFound, aArguments[0] + " " + aArguments[1]);
  }
  if (mOptions.mJson) {
    std::printf("%s\n", JsonWrite(*entry).c_str());
    return CtlExit_Ok;
  }
  for (const std::string& field : entry->getMemberNames()) {
    std::printf(
      "%-16s %s\n", field.c_str(), JsonWrite((*entry)[field]).c_str());
  }
  return CtlExit_Ok;
}

Result<int>
Ctl::Set(const Arguments& aArguments)
{
  const EntryKind* kind = EntryKindOf(aArguments[0]);
  if (!kind) {
    return UnknownEntryKind(aArguments[0]);
  }
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/config"));
  Json::Value& section = json["config"][kind->mSection];
  Json::Value* entry = Find(section, "name", aArguments[1]);
  bool isNew = entry == nullptr;
  if (isNew) {
    Json::Value newEntry;
    newEntry["name"] = aArguments[1];
    entry = &section.append(newEntry);
  }
  for (size_t i = 2; i < aArguments.size(); ++i) {
    size_t split = aArguments[i].find('=');
    if (split == std::string::npos) {
      return Fail(ErrorKind::BadRequest,
                  aArguments[i] + ": expected FIELD=VALUE");
    }
    (*entry)[aArguments[i].substr(0, split)] =
      ValueOf(aArguments[i].substr(split + 1));
  }
  return Change(json["config"],
                json["revision"].asInt64(),
                std::string(isNew ? "made " : "changed ") + kind->mSingular +
                  " " + aArguments[1]);
}

Result<int>
Ctl::Remove(const Arguments& aArguments)
{
  const EntryKind* kind = EntryKindOf(aArguments[0]);
  if (!kind) {
    return UnknownEntryKind(aArguments[0]);
  }
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/config"));
  Json::Value& section = json["config"][kind->mSection];
  if (!Find(section, "name", aArguments[1])) {
    return Fail(ErrorKind::NotFound, aArguments[0] + " " + aArguments[1]);
  }
  RemoveEntry(section, "name", aArguments[1]);
  return Change(json["config"],
                json["revision"].asInt64(),
                std::string("removed ") + kind->mSingular + " " +
                  aArguments[1]);
}

Result<int>
Ctl::Keys(const Arguments&)
{
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/config"));
  const Json::Value& section = json["config"]["keys"];
  Print(section, section, { "id", "tenant" });
  return CtlExit_Ok;
}

// The key is generated here and only its digest is sent, so it appears nowhere
// but in this output.
Result<int>
Ctl::Grant(const Arguments& aArguments)
{
  constexpr size_t kIdDigits = 10;
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/config"));
  std::string key = RandomKey();
  Json::Value entry;
  entry["id"] = "key-" + RandomId().substr(0, kIdDigits);
  entry["tenant"] = aArguments[0];
  entry["digest"] = DigestHex(key);
  json["config"]["keys"].append(entry);
  BOOST_LEAF_AUTO(
    code,
    Change(json["config"],
           json["revision"].asInt64(),
           "granted " + entry["id"].asString() + " to " + aArguments[0]));
  if (mOptions.mJson) {
    Json::Value output;
    output["id"] = entry["id"];
    output["key"] = key;
    std::printf("%s\n", JsonWrite(output).c_str());
  } else {
    std::printf(
      "%s  %s  (shown this once)\n", entry["id"].asCString(), key.c_str());
  }
  return code;
}

Result<int>
Ctl::Withdraw(const Arguments& aArguments)
{
  BOOST_LEAF_AUTO(json, mClient.Get("/admin/v1/config"));
  Json::Value& keys = json["config"]["keys"];
  if (!Find(keys, "id", aArguments[0])) {
    return Fail(ErrorKind::NotFound, "key " + aArguments[0]);
  }
  RemoveEntry(keys, "id", aArguments[0]);
  return Change(
    json["config"], json["revision"].asInt64(), "withdrew " + aArguments[0]);
}

} // namespace caraway
