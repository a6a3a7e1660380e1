#include "platform/ConfigStore.h"

#include "base/ConfigCodec.h"
#include "base/Digest.h"
#include "base/JsonText.h"
#include "base/RandomId.h"

namespace caraway {

namespace {

constexpr const char* kIndexKind = "config";
constexpr const char* kIndexName = "index";
constexpr const char* kPartKind = "config-parts";
constexpr size_t kMaxHistory = 100;
// 8,800 adapters in 16 buckets make parts of about 60 KB, well below the value
// limit of 1 MB.
constexpr int kBuckets = 16;

int
BucketOf(const Json::Value& aEntry)
{
  const Json::Value& key =
    aEntry.isMember("name") ? aEntry["name"] : aEntry["id"];
  unsigned hash = 2166136261u;
  for (char c : key.asString()) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  }
  return static_cast<int>((hash >> 8) % kBuckets);
}

// Names the change that was accepted first, so that the operator can review it.
leaf::error_id
Conflict(const ConfigRevision& aNow, int64_t aExpected)
{
  return Fail(ErrorKind::RevisionConflict,
              "your change is based on revision " + std::to_string(aExpected) +
                "; " + aNow.mAuthor + " has made revision " +
                std::to_string(aNow.mRevision) + " (" + aNow.mNote + ")");
}

std::map<std::string, Json::Value>
SplitIntoParts(const Json::Value& aConfig)
{
  std::map<std::string, Json::Value> parts;
  for (const std::string& section : aConfig.getMemberNames()) {
    for (const Json::Value& entry : aConfig[section]) {
      std::string slot = section + "/" + std::to_string(BucketOf(entry));
      Json::Value& part = parts[slot];
      part["section"] = section;
      part["entries"].append(entry);
    }
  }
  return parts;
}

} // namespace

ConfigStore::ConfigStore(PlatformApi& aPlatform)
  : mPlatform(aPlatform)
{
}

Result<ConfigIndex>
ConfigStore::Index()
{
  BOOST_LEAF_AUTO(object, mPlatform.Read(kIndexKind, kIndexName));
  ConfigIndex index = ConfigIndexParse(object.mValue);
  index.mVersion = object.mVersion;
  index.mWriteId = object.mWriteId;
  return index;
}

Result<ConfigIndex>
ConfigStore::WatchIndex(int64_t aAfterVersion, Millis aWithin)
{
  BOOST_LEAF_AUTO(
    object, mPlatform.Watch(kIndexKind, kIndexName, aAfterVersion, aWithin));
  ConfigIndex index = ConfigIndexParse(object.mValue);
  index.mVersion = object.mVersion;
  index.mWriteId = object.mWriteId;
  return index;
}

Result<Json::Value>
ConfigStore::Part(const std::string& aDigest)
{
  {
    std::lock_guard<std::mutex> lock(mLock);
    auto found = mParts.find(aDigest);
    if (found != mParts.end()) {
      return found->second;
    }
  }
  BOOST_LEAF_AUTO(object, mPlatform.Read(kPartKind, aDigest));
  if (DigestHex(JsonWrite(object.mValue)) != aDigest) {
    return Fail(ErrorKind::PlatformUnavailable,
                "part " + aDigest + " doesn't match its digest");
  }
  return object.mValue;
}

Result<ConfigSnapshot>
ConfigStore::Load(const ConfigRevision& aRevision)
{
  std::map<std::string, Json::Value> loaded;
  BOOST_LEAF_AUTO(manifest, Part(aRevision.mManifest));
  loaded[aRevision.mManifest] = manifest;
  Json::Value merged(Json::objectValue);
  for (const Json::Value& digest : manifest["parts"]) {
    BOOST_LEAF_AUTO(part, Part(digest.asString()));
    for (const Json::Value& entry : part["entries"]) {
      merged[part["section"].asString()].append(entry);
    }
    loaded[digest.asString()] = std::move(part);
  }
  BOOST_LEAF_AUTO(config, ConfigParse(merged));
  config.mRevision = aRevision.mRevision;
  std::lock_guard<std::mutex> lock(mLock);
  mParts = std::move(loaded);
  return config;
}

Result<std::string>
ConfigStore::StorePart(const Json::Value& aPart)
{
  std::string digest = DigestHex(JsonWrite(aPart));
  {
    std::lock_guard<std::mutex> lock(mLock);
    if (mParts.count(digest)) {
      return digest;
    }
  }
  WriteResult result =
    mPlatform.Write({ kPartKind, digest, 0, RandomId(), aPart });
  // An object that already exists under a digest has the same content.
  bool stored = result.mOutcome == WriteOutcome::Done ||
                result.mOutcome == WriteOutcome::Conflict;
  if (!stored) {
    return Fail(ErrorKind::PlatformUnavailable,
                "a configuration part could not be stored");
  }
  return digest;
}

Result<ConfigRevision>
ConfigStore::Commit(int64_t aExpected,
                    const ConfigSnapshot& aConfig,
                    const std::string& aAuthor,
                    const std::string& aNote,
                    const std::string& aAt)
{
  ConfigIndex index;
  auto current = Outcome([&] { return Index(); });
  if (auto* failure = std::get_if<Failure>(&current)) {
    if (failure->mKind != ErrorKind::NotFound) {
      return Fail(*failure);
    }
  } else {
    index = std::get<ConfigIndex>(current);
  }
  if (index.mNow.mRevision != aExpected) {
    return Conflict(index.mNow, aExpected);
  }
  Json::Value manifest;
  manifest["parts"] = Json::Value(Json::arrayValue);
  for (const auto& part : SplitIntoParts(ConfigJson(aConfig))) {
    BOOST_LEAF_AUTO(digest, StorePart(part.second));
    manifest["parts"].append(digest);
  }
  BOOST_LEAF_AUTO(manifestDigest, StorePart(manifest));
  if (index.mNow.mRevision != 0) {
    index.mHistory.insert(index.mHistory.begin(), index.mNow);
  }
  if (index.mHistory.size() > kMaxHistory) {
    index.mHistory.resize(kMaxHistory);
  }
  index.mNow = { aExpected + 1, manifestDigest, aAuthor, aNote, aAt };
  WriteResult result = mPlatform.Write({ kIndexKind,
                                         kIndexName,
                                         index.mVersion,
                                         RandomId(),
                                         ConfigIndexJson(index) });
  switch (result.mOutcome) {
    case WriteOutcome::Done:
      return index.mNow;
    case WriteOutcome::Conflict: {
      return Conflict(ConfigIndexParse(result.mObject.mValue).mNow, aExpected);
    }
    default:
      return Fail({ ErrorKind::PlatformUnavailable,
                    "it is unknown whether the change was accepted; read the "
                    "revision before retrying",
                    result.mOutcome == WriteOutcome::Refused
                      ? RunState::NotRun
                      : RunState::MayHaveRun,
                    Seconds(5) });
  }
}

} // namespace caraway
