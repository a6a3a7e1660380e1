#include "ctl/ConfigFile.h"

#include <fstream>
#include <sstream>

namespace caraway {

namespace {

bool
ValueOf(const toml::node& aNode, Json::Value& aOut)
{
  if (auto text = aNode.value_exact<std::string>()) {
    aOut = *text;
  } else if (auto number = aNode.value_exact<int64_t>()) {
    aOut = Json::Int64(*number);
  } else if (auto decimal = aNode.value_exact<double>()) {
    aOut = *decimal;
  } else if (auto flag = aNode.value_exact<bool>()) {
    aOut = *flag;
  } else {
    return false;
  }
  return true;
}

leaf::error_id
InvalidAt(const std::string& aFile,
          const toml::node& aNode,
          const std::string& aWhat)
{
  return Fail(ErrorKind::ConfigInvalid,
              aFile + ":" + std::to_string(aNode.source().begin.line) + ": " +
                aWhat);
}

Result<Json::Value>
Section(const std::string& aFile, const toml::table& aTable)
{
  Json::Value section(Json::arrayValue);
  for (const auto& entry : aTable) {
    std::string name(entry.first.str());
    const toml::table* fields = entry.second.as_table();
    if (!fields) {
      return InvalidAt(aFile, entry.second, name + ": expected a table");
    }
    Json::Value item;
    item["name"] = name;
    for (const auto& field : *fields) {
      std::string key(field.first.str());
      if (!ValueOf(field.second, item[key])) {
        return InvalidAt(
          aFile, field.second, key + ": expected a string, number or boolean");
      }
    }
    section.append(item);
  }
  return section;
}

} // namespace

Result<ConfigFile>
ConfigFile::Read(const std::string& aName)
{
  std::ifstream in(aName);
  if (!in) {
    return Fail(ErrorKind::ConfigInvalid, aName + ": can't be opened");
  }
  std::ostringstream text;
  text << in.rdbuf();
  ConfigFile file;
  file.mName = aName;
  try {
    file.mRoot = toml::parse(text.str());
  } catch (const toml::parse_error& error) {
    return Fail(ErrorKind::ConfigInvalid,
                aName + ":" + std::to_string(error.source().begin.line) + ": " +
                  std::string(error.description()));
  }
  for (const auto& entry : file.mRoot) {
    std::string name(entry.first.str());
    const toml::table* table = entry.second.as_table();
    if (!table || name == "keys") {
      return InvalidAt(aName,
                       entry.second,
                       name + (table
                                 ? ": keys are granted with `carawayctl grant`"
                                 : ": expected a table"));
    }
    BOOST_LEAF_AUTO(section, Section(aName, *table));
    file.mSections[name] = section;
  }
  return file;
}

std::string
ConfigFile::LocationOf(const std::string& aDetail) const
{
  std::string path = aDetail.substr(0, aDetail.find(':'));
  // Finds the longest prefix of the path that exists in the file.
  while (!path.empty()) {
    auto node = mRoot.at_path(path);
    if (node) {
      return mName + ":" + std::to_string(node.node()->source().begin.line) +
             ": ";
    }
    size_t dot = path.rfind('.');
    path = dot == std::string::npos ? "" : path.substr(0, dot);
  }
  return mName + ": ";
}

} // namespace caraway
