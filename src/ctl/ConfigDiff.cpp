#include "ctl/ConfigDiff.h"

#include <map>

#include "base/JsonText.h"

namespace caraway {

namespace {

using Entries = std::map<std::string, Json::Value>;

Entries
ByName(const Json::Value& aSection)
{
  Entries entries;
  for (const Json::Value& entry : aSection) {
    const char* key = entry.isMember("name") ? "name" : "id";
    entries[entry[key].asString()] = entry;
  }
  return entries;
}

Json::Value
Line(const char* aChange, const std::string& aSection, const std::string& aName)
{
  Json::Value line;
  line["change"] = aChange;
  line["section"] = aSection;
  line["name"] = aName;
  return line;
}

void
DiffEntry(const Json::Value& aFrom,
          const Json::Value& aTo,
          const std::string& aSection,
          const std::string& aName,
          Json::Value& aDiff)
{
  for (const std::string& field : aTo.getMemberNames()) {
    if (aFrom[field] != aTo[field]) {
      Json::Value line = Line("changed", aSection, aName);
      line["field"] = field;
      line["from"] = aFrom[field];
      line["to"] = aTo[field];
      aDiff.append(line);
    }
  }
}

} // namespace

Json::Value
ConfigMerge(const Json::Value& aInForce, const Json::Value& aFile)
{
  Json::Value merged = aInForce;
  for (const std::string& section : aFile.getMemberNames()) {
    merged[section] = aFile[section];
  }
  return merged;
}

Json::Value
ConfigDiff(const Json::Value& aFrom, const Json::Value& aTo)
{
  Json::Value diff(Json::arrayValue);
  for (const std::string& section : aTo.getMemberNames()) {
    Entries from = ByName(aFrom[section]);
    Entries to = ByName(aTo[section]);
    for (const auto& entry : to) {
      auto old = from.find(entry.first);
      if (old == from.end()) {
        diff.append(Line("made", section, entry.first));
      } else {
        DiffEntry(old->second, entry.second, section, entry.first, diff);
      }
    }
    for (const auto& entry : from) {
      if (!to.count(entry.first)) {
        diff.append(Line("removed", section, entry.first));
      }
    }
  }
  return diff;
}

std::string
ConfigDiffText(const Json::Value& aDiff)
{
  std::string text;
  for (const Json::Value& line : aDiff) {
    text += line["change"].asString() + " " + line["section"].asString() + "." +
            line["name"].asString();
    if (line.isMember("field")) {
      text += "." + line["field"].asString() + ": " + JsonWrite(line["from"]) +
              " -> " + JsonWrite(line["to"]);
    }
    text += "\n";
  }
  return text;
}

} // namespace caraway
