#include "base/ConfigCodec.h"

#include <Poco/Net/SocketAddress.h>

#include "base/JsonObjectReader.h"

namespace caraway {

namespace {

constexpr size_t kMaxName = 128;

// Names are used as object names at the platform and as path segments here.
bool
IsValidName(const std::string& aName)
{
  if (aName.empty() || aName.size() > kMaxName) {
    return false;
  }
  for (char c : aName) {
    bool alphanumeric = std::isalnum(static_cast<unsigned char>(c)) != 0;
    if (!alphanumeric && c != '-' && c != '_' && c != '.' && c != ':') {
      return false;
    }
  }
  return true;
}

std::string
PathOf(const char* aSection, const Json::Value& aJson)
{
  if (aJson.isObject() && aJson["name"].isString()) {
    return std::string(aSection) + "." + aJson["name"].asString();
  }
  return aSection;
}

std::string
Name(JsonObjectReader& aFields)
{
  std::string name = aFields.Text("name", true);
  if (!name.empty() && !IsValidName(name)) {
    aFields.AddError("name", "expected letters, digits, - _ . : only");
  }
  return name;
}

bool
IsValidAddress(const std::string& aAddress)
{
  try {
    Poco::Net::SocketAddress address(aAddress);
    return aAddress.find_first_not_of("0123456789.:[]abcdefABCDEF") ==
             std::string::npos &&
           address.port() != 0;
  } catch (const Poco::Exception&) {
    return false;
  }
}

template<class Item, class Parse>
Result<void>
ParseSection(const Json::Value& aJson,
             const char* aSection,
             std::string Item::*aKey,
             Parse aParse,
             std::map<std::string, Item>& aOut)
{
  const Json::Value& section = aJson[aSection];
  if (section.isNull()) {
    return {};
  }
  if (!section.isArray()) {
    return Fail(ErrorKind::ConfigInvalid,
                std::string(aSection) + ": expected a list");
  }
  for (const Json::Value& entry : section) {
    BOOST_LEAF_AUTO(item, aParse(entry));
    std::string key = item.*aKey;
    if (!aOut.emplace(key, std::move(item)).second) {
      return Fail(ErrorKind::ConfigInvalid,
                  std::string(aSection) + "." + key + ": defined twice");
    }
  }
  return {};
}

template<class Item, class Write>
Json::Value
SectionJson(const std::map<std::string, Item>& aItems, Write aWrite)
{
  Json::Value section(Json::arrayValue);
  for (const auto& item : aItems) {
    section.append(aWrite(item.second));
  }
  return section;
}

Result<void>
CheckProfile(const ConfigSnapshot& aConfig, const Profile& aProfile)
{
  auto invalid = [&](const char* aField, const std::string& aWhy) {
    return Fail(ErrorKind::ConfigInvalid,
                "profiles." + aProfile.mName + "." + aField + ": " + aWhy);
  };
  if (!aProfile.mTenant.empty() && !aConfig.mTenants.count(aProfile.mTenant)) {
    return invalid("tenant", "no tenant " + aProfile.mTenant);
  }
  if (aProfile.mModel.empty() == aProfile.mService.empty()) {
    return invalid("model", "expected either a model or a service");
  }
  if (!aProfile.mModel.empty()) {
    auto model = aConfig.mModels.find(aProfile.mModel);
    if (model == aConfig.mModels.end() || !model->second.mBase.empty()) {
      return invalid("model", "no model " + aProfile.mModel);
    }
  }
  if (!aProfile.mModel.empty() && !aProfile.mRepeatable) {
    return invalid("repeatable",
                   "only profiles of a service can be non-repeatable");
  }
  if (!aProfile.mAdapter.empty()) {
    auto adapter = aConfig.mModels.find(aProfile.mAdapter);
    if (adapter == aConfig.mModels.end() ||
        adapter->second.mBase != aProfile.mModel) {
      return invalid("adapter", "no adapter of that model");
    }
  }
  if (!aProfile.mService.empty()) {
    for (const auto& endpoint : aConfig.mEndpoints) {
      if (endpoint.second.mKind == EndpointKind::Service &&
          endpoint.second.mGroup == aProfile.mService) {
        return {};
      }
    }
    return invalid("service", "no endpoint in group " + aProfile.mService);
  }
  return {};
}

// Rejects a model that fits no engine, since every call to it would be refused.
Result<void>
CheckModel(const ConfigSnapshot& aConfig, const ModelSpec& aModel)
{
  if (!aModel.mBase.empty()) {
    auto base = aConfig.mModels.find(aModel.mBase);
    if (base == aConfig.mModels.end() || !base->second.mBase.empty()) {
      return Fail(ErrorKind::ConfigInvalid,
                  "models." + aModel.mName + ".base: no model " + aModel.mBase);
    }
    return {};
  }
  bool anyEngine = false;
  for (const auto& endpoint : aConfig.mEndpoints) {
    if (endpoint.second.mKind == EndpointKind::Engine) {
      anyEngine = true;
      if (endpoint.second.mMemory >= aModel.mBytes) {
        return {};
      }
    }
  }
  if (!anyEngine) {
    return {};
  }
  return Fail(ErrorKind::ConfigInvalid,
              "models." + aModel.mName + ".bytes: fits no engine's memory");
}

} // namespace

Result<Profile>
ProfileParse(const Json::Value& aJson)
{
  JsonObjectReader fields(aJson, PathOf("profiles", aJson));
  Profile profile;
  profile.mName = Name(fields);
  profile.mTenant = fields.Text("tenant");
  profile.mModel = fields.Text("model");
  profile.mAdapter = fields.Text("adapter");
  profile.mService = fields.Text("service");
  std::string name = fields.Text("class");
  if (!name.empty() && !RequestClassParse(name, profile.mClass)) {
    fields.AddError("class", "expected urgent, interactive or batch");
  }
  const Millis minDuration(1);
  profile.mFirstToken =
    fields.Duration("first_token_ms", profile.mFirstToken, minDuration);
  profile.mColdStart =
    fields.Duration("cold_start_ms", profile.mColdStart, minDuration);
  profile.mAnswer = fields.Duration("answer_ms", profile.mAnswer, minDuration);
  profile.mRepeatable = fields.Flag("repeatable", profile.mRepeatable);
  profile.mMaxTokens =
    static_cast<int>(fields.Integer("max_tokens", profile.mMaxTokens, 1));
  BOOST_LEAF_CHECK(fields.Done());
  return profile;
}

Result<Tenant>
TenantParse(const Json::Value& aJson)
{
  JsonObjectReader fields(aJson, PathOf("tenants", aJson));
  Tenant tenant;
  tenant.mName = Name(fields);
  tenant.mRate = fields.Number("rate", 0, 0);
  tenant.mBurst = fields.Number("burst", 0, 0);
  BOOST_LEAF_CHECK(fields.Done());
  return tenant;
}

Result<TenantKey>
TenantKeyParse(const Json::Value& aJson)
{
  JsonObjectReader fields(aJson, "keys");
  TenantKey key;
  key.mId = fields.Text("id", true);
  key.mTenant = fields.Text("tenant", true);
  key.mDigest = fields.Text("digest", true);
  BOOST_LEAF_CHECK(fields.Done());
  return key;
}

Result<EndpointSpec>
EndpointSpecParse(const Json::Value& aJson)
{
  JsonObjectReader fields(aJson, PathOf("endpoints", aJson));
  EndpointSpec endpoint;
  endpoint.mName = Name(fields);
  endpoint.mZone = fields.Text("zone", true);
  endpoint.mGroup = fields.Text("group", true);
  endpoint.mAddress = fields.Text("address", true);
  if (!endpoint.mAddress.empty() && !IsValidAddress(endpoint.mAddress)) {
    fields.AddError("address", "expected ip:port");
  }
  std::string kind = fields.Text("kind", true);
  if (kind == "service") {
    endpoint.mKind = EndpointKind::Service;
  } else if (kind != "engine") {
    fields.AddError("kind", "expected engine or service");
  }
  endpoint.mMemory = fields.Integer("memory", 0, 0);
  endpoint.mChecksFencing = fields.Flag("checks_fencing", false);
  endpoint.mSlots =
    static_cast<int>(fields.Integer("slots", endpoint.mSlots, 1));
  endpoint.mSoftware = fields.Text("software");
  BOOST_LEAF_CHECK(fields.Done());
  return endpoint;
}

Result<ModelSpec>
ModelSpecParse(const Json::Value& aJson)
{
  JsonObjectReader fields(aJson, PathOf("models", aJson));
  ModelSpec model;
  model.mName = Name(fields);
  model.mVersion = fields.Text("version");
  model.mBase = fields.Text("base");
  model.mBytes = fields.Integer("bytes", 0, 0);
  BOOST_LEAF_CHECK(fields.Done());
  return model;
}

Json::Value
ProfileJson(const Profile& aProfile)
{
  Json::Value json;
  json["name"] = aProfile.mName;
  json["tenant"] = aProfile.mTenant;
  json["model"] = aProfile.mModel;
  json["adapter"] = aProfile.mAdapter;
  json["service"] = aProfile.mService;
  json["class"] = RequestClassName(aProfile.mClass);
  json["first_token_ms"] = Json::Int64(aProfile.mFirstToken.count());
  json["cold_start_ms"] = Json::Int64(aProfile.mColdStart.count());
  json["answer_ms"] = Json::Int64(aProfile.mAnswer.count());
  json["repeatable"] = aProfile.mRepeatable;
  json["max_tokens"] = aProfile.mMaxTokens;
  return json;
}

Json::Value
TenantJson(const Tenant& aTenant)
{
  Json::Value json;
  json["name"] = aTenant.mName;
  json["rate"] = aTenant.mRate;
  json["burst"] = aTenant.mBurst;
  return json;
}

Json::Value
TenantKeyJson(const TenantKey& aKey)
{
  Json::Value json;
  json["id"] = aKey.mId;
  json["tenant"] = aKey.mTenant;
  json["digest"] = aKey.mDigest;
  return json;
}

Json::Value
EndpointSpecJson(const EndpointSpec& aEndpoint)
{
  Json::Value json;
  json["name"] = aEndpoint.mName;
  json["zone"] = aEndpoint.mZone;
  json["group"] = aEndpoint.mGroup;
  json["address"] = aEndpoint.mAddress;
  json["kind"] =
    aEndpoint.mKind == EndpointKind::Service ? "service" : "engine";
  json["memory"] = Json::Int64(aEndpoint.mMemory);
  json["checks_fencing"] = aEndpoint.mChecksFencing;
  json["slots"] = aEndpoint.mSlots;
  json["software"] = aEndpoint.mSoftware;
  return json;
}

Json::Value
ModelSpecJson(const ModelSpec& aModel)
{
  Json::Value json;
  json["name"] = aModel.mName;
  json["version"] = aModel.mVersion;
  json["base"] = aModel.mBase;
  json["bytes"] = Json::Int64(aModel.mBytes);
  return json;
}

Result<ConfigSnapshot>
ConfigParse(const Json::Value& aJson)
{
  static const std::set<std::string> sSections = {
    "profiles", "tenants", "keys", "endpoints", "models"
  };
  if (!aJson.isObject()) {
    return Fail(ErrorKind::ConfigInvalid, "expected an object with sections");
  }
  for (const std::string& name : aJson.getMemberNames()) {
    if (!sSections.count(name)) {
      return Fail(ErrorKind::ConfigInvalid, name + ": unknown section");
    }
  }
  ConfigSnapshot config;
  BOOST_LEAF_CHECK(ParseSection(
    aJson, "profiles", &Profile::mName, ProfileParse, config.mProfiles));
  BOOST_LEAF_CHECK(ParseSection(
    aJson, "tenants", &Tenant::mName, TenantParse, config.mTenants));
  BOOST_LEAF_CHECK(
    ParseSection(aJson, "keys", &TenantKey::mId, TenantKeyParse, config.mKeys));
  BOOST_LEAF_CHECK(ParseSection(aJson,
                                "endpoints",
                                &EndpointSpec::mName,
                                EndpointSpecParse,
                                config.mEndpoints));
  BOOST_LEAF_CHECK(ParseSection(
    aJson, "models", &ModelSpec::mName, ModelSpecParse, config.mModels));
  for (const auto& key : config.mKeys) {
    config.mKeyIdByDigest[key.second.mDigest] = key.first;
  }
  BOOST_LEAF_CHECK(ConfigCheck(config));
  return config;
}

Json::Value
ConfigJson(const ConfigSnapshot& aConfig)
{
  Json::Value json;
  json["profiles"] = SectionJson(aConfig.mProfiles, ProfileJson);
  json["tenants"] = SectionJson(aConfig.mTenants, TenantJson);
  json["keys"] = SectionJson(aConfig.mKeys, TenantKeyJson);
  json["endpoints"] = SectionJson(aConfig.mEndpoints, EndpointSpecJson);
  json["models"] = SectionJson(aConfig.mModels, ModelSpecJson);
  return json;
}

Result<void>
ConfigCheck(const ConfigSnapshot& aConfig)
{
  for (const auto& profile : aConfig.mProfiles) {
    BOOST_LEAF_CHECK(CheckProfile(aConfig, profile.second));
  }
  for (const auto& model : aConfig.mModels) {
    BOOST_LEAF_CHECK(CheckModel(aConfig, model.second));
  }
  for (const auto& key : aConfig.mKeys) {
    if (!aConfig.mTenants.count(key.second.mTenant)) {
      return Fail(ErrorKind::ConfigInvalid,
                  "keys." + key.first + ".tenant: no such tenant");
    }
  }
  return {};
}

} // namespace caraway
