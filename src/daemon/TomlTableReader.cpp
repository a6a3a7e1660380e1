#include "daemon/TomlTableReader.h"

#include <Poco/Net/SocketAddress.h>

namespace caraway {

void
TomlErrors::Add(uint32_t aLine,
                const std::string& aField,
                const std::string& aWhat)
{
  if (mText.empty()) {
    mText = mFile + ":" + std::to_string(aLine) + ": " + aField + ": " + aWhat;
  }
}

TomlTableReader::TomlTableReader(const toml::table* aTable,
                                 std::string aName,
                                 TomlErrors& aErrors)
  : mTable(aTable)
  , mName(std::move(aName))
  , mErrors(aErrors)
{
}

TomlTableReader::~TomlTableReader()
{
  if (!mTable) {
    return;
  }
  for (const auto& entry : *mTable) {
    std::string field(entry.first.str());
    if (!mKnownFields.count(field)) {
      AddError(&entry.second, field.c_str(), "unknown field");
    }
  }
}

void
TomlTableReader::AddError(const toml::node* aNode,
                          const char* aField,
                          const std::string& aWhat)
{
  uint32_t line = 1;
  if (aNode) {
    line = aNode->source().begin.line;
  } else if (mTable) {
    line = mTable->source().begin.line;
  }
  mErrors.Add(line, mName + "." + aField, aWhat);
}

const toml::node*
TomlTableReader::Node(const char* aField, bool aRequired)
{
  mKnownFields.insert(aField);
  const toml::node* node = mTable ? mTable->get(aField) : nullptr;
  if (!node && aRequired) {
    AddError(nullptr, aField, "is missing");
  }
  return node;
}

void
TomlTableReader::Text(const char* aField, std::string& aOut, bool aRequired)
{
  const toml::node* node = Node(aField, aRequired);
  if (!node) {
    return;
  }
  auto text = node->value_exact<std::string>();
  if (!text || text->empty()) {
    AddError(node, aField, "expected a string in quotes");
    return;
  }
  aOut = *text;
}

void
TomlTableReader::Address(const char* aField, std::string& aOut, bool aRequired)
{
  Text(aField, aOut, aRequired);
  if (aOut.empty()) {
    return;
  }
  try {
    Poco::Net::SocketAddress address(aOut);
  } catch (const std::exception&) {
    AddError(Node(aField, false), aField, "expected ip:port in quotes");
  }
}

void
TomlTableReader::Texts(const char* aField,
                       std::vector<std::string>& aOut,
                       bool aRequired)
{
  const toml::node* node = Node(aField, aRequired);
  if (!node) {
    return;
  }
  const toml::array* array = node->as_array();
  if (!array || (aRequired && array->empty())) {
    AddError(node, aField, "expected a list of strings");
    return;
  }
  for (const toml::node& entry : *array) {
    auto text = entry.value_exact<std::string>();
    if (!text) {
      AddError(&entry, aField, "expected a list of strings");
      return;
    }
    aOut.push_back(*text);
  }
}

void
TomlTableReader::Number(const char* aField, int64_t& aOut, int64_t aMin)
{
  const toml::node* node = Node(aField, false);
  if (!node) {
    return;
  }
  auto number = node->value_exact<int64_t>();
  if (!number || *number < aMin) {
    AddError(node,
             aField,
             "expected a whole number >= " + std::to_string(aMin) +
               ", without a unit");
    return;
  }
  aOut = *number;
}

} // namespace caraway
