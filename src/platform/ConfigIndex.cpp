#include "platform/ConfigIndex.h"

namespace caraway {

namespace {

ConfigRevision
RevisionParse(const Json::Value& aJson)
{
  ConfigRevision revision;
  revision.mRevision = aJson["revision"].asInt64();
  revision.mManifest = aJson["manifest"].asString();
  revision.mAuthor = aJson["author"].asString();
  revision.mNote = aJson["note"].asString();
  revision.mAt = aJson["at"].asString();
  return revision;
}

} // namespace

Json::Value
ConfigRevisionJson(const ConfigRevision& aRevision)
{
  Json::Value json;
  json["revision"] = Json::Int64(aRevision.mRevision);
  json["manifest"] = aRevision.mManifest;
  json["author"] = aRevision.mAuthor;
  json["note"] = aRevision.mNote;
  json["at"] = aRevision.mAt;
  return json;
}

ConfigIndex
ConfigIndexParse(const Json::Value& aJson)
{
  ConfigIndex index;
  index.mNow = RevisionParse(aJson["now"]);
  for (const Json::Value& entry : aJson["history"]) {
    index.mHistory.push_back(RevisionParse(entry));
  }
  return index;
}

Json::Value
ConfigIndexJson(const ConfigIndex& aIndex)
{
  Json::Value json;
  json["now"] = ConfigRevisionJson(aIndex.mNow);
  json["history"] = Json::Value(Json::arrayValue);
  for (const ConfigRevision& revision : aIndex.mHistory) {
    json["history"].append(ConfigRevisionJson(revision));
  }
  return json;
}

} // namespace caraway
