#include "own/PlacementCodec.h"

namespace caraway {

namespace {

constexpr const char* kStateNames[] = { "loading", "ready", "unloading" };

ReplicaState
StateOf(const std::string& aName)
{
  for (int i = 0; i < 3; ++i) {
    if (aName == kStateNames[i]) {
      return static_cast<ReplicaState>(i);
    }
  }
  // A replica in an unknown state stays charged and never serves.
  return ReplicaState::Unloading;
}

std::vector<PlacedReplica>
ReplicasOf(const Json::Value& aJson)
{
  std::vector<PlacedReplica> replicas;
  for (const Json::Value& entry : aJson) {
    PlacedReplica replica;
    replica.mName = entry["name"].asString();
    replica.mVersion = entry["version"].asString();
    replica.mBase = entry["base"].asString();
    replica.mBytes = entry["bytes"].asInt64();
    replica.mState = StateOf(entry["state"].asString());
    replica.mFencingToken = entry["fence"].asInt64();
    replica.mDecision = entry["decision"].asString();
    replica.mLoadOrdersSent = entry["copies"].asInt();
    replica.mAcknowledged = entry["settled"].asBool();
    replicas.push_back(replica);
  }
  return replicas;
}

Json::Value
ReplicasJson(const std::vector<PlacedReplica>& aReplicas)
{
  Json::Value json(Json::arrayValue);
  for (const PlacedReplica& replica : aReplicas) {
    Json::Value entry;
    entry["name"] = replica.mName;
    entry["version"] = replica.mVersion;
    entry["base"] = replica.mBase;
    entry["bytes"] = Json::Int64(replica.mBytes);
    entry["state"] = kStateNames[static_cast<int>(replica.mState)];
    entry["fence"] = Json::Int64(replica.mFencingToken);
    entry["decision"] = replica.mDecision;
    entry["copies"] = replica.mLoadOrdersSent;
    entry["settled"] = replica.mAcknowledged;
    json.append(entry);
  }
  return json;
}

bool
IsListOrAbsent(const Json::Value& aJson)
{
  return aJson.isArray() || aJson.isNull();
}

std::vector<std::string>
Strings(const Json::Value& aJson)
{
  std::vector<std::string> texts;
  for (const Json::Value& entry : aJson) {
    texts.push_back(entry.asString());
  }
  return texts;
}

// Throws a Json::Exception for a field of another type.
EngineReport
ReportOf(const Json::Value& aJson)
{
  EngineReport report;
  report.mHighestFencingToken = aJson["highest_fence"].asInt64();
  report.mActive = aJson["active"].asInt();
  report.mWaiting = aJson["waiting"].asInt();
  for (const Json::Value& entry : aJson["replicas"]) {
    EngineReplica replica;
    replica.mName = entry["name"].asString();
    replica.mVersion = entry["version"].asString();
    replica.mBytes = entry["bytes"].asInt64();
    replica.mReady = entry["state"].asString() == "ready";
    replica.mActive = entry["active"].asInt();
    replica.mIdle = Millis(entry["idle_ms"].asInt64());
    report.mReplicas.push_back(replica);
  }
  report.mCachedInMemory = Strings(aJson["cached_memory"]);
  report.mCachedOnDisk = Strings(aJson["cached_disk"]);
  return report;
}

} // namespace

PlacementRecord
PlacementParse(const Json::Value& aJson)
{
  PlacementRecord record;
  record.mEndpoint = aJson["endpoint"].asString();
  record.mMemory = aJson["memory"].asInt64();
  record.mChecksFencing = aJson["checks_fencing"].asBool();
  record.mFencingToken = aJson["fence"].asInt64();
  record.mReplicas = ReplicasOf(aJson["replicas"]);
  record.mDeparted = ReplicasOf(aJson["departed"]);
  return record;
}

Json::Value
PlacementJson(const PlacementRecord& aRecord)
{
  Json::Value json;
  json["endpoint"] = aRecord.mEndpoint;
  json["memory"] = Json::Int64(aRecord.mMemory);
  json["checks_fencing"] = aRecord.mChecksFencing;
  json["fence"] = Json::Int64(aRecord.mFencingToken);
  json["replicas"] = ReplicasJson(aRecord.mReplicas);
  json["departed"] = ReplicasJson(aRecord.mDeparted);
  return json;
}

std::optional<EngineReport>
EngineReportParse(const Json::Value& aJson)
{
  bool lists = aJson["replicas"].isArray() &&
               IsListOrAbsent(aJson["cached_memory"]) &&
               IsListOrAbsent(aJson["cached_disk"]);
  if (!lists) {
    return std::nullopt;
  }
  try {
    return ReportOf(aJson);
  } catch (const Json::Exception&) {
    return std::nullopt; // a field of another type
  }
}

} // namespace caraway
