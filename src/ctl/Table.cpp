#include "ctl/Table.h"

#include <algorithm>

#include "base/JsonText.h"

namespace caraway {

namespace {

std::string
Cell(const Json::Value& aValue)
{
  if (aValue.isNull()) {
    return "-";
  }
  if (aValue.isString()) {
    return aValue.asString().empty() ? "-" : aValue.asString();
  }
  return JsonWrite(aValue);
}

} // namespace

std::string
TableText(const Json::Value& aEntries, const std::vector<std::string>& aColumns)
{
  std::vector<std::vector<std::string>> rows = { aColumns };
  for (const Json::Value& entry : aEntries) {
    std::vector<std::string> row;
    for (const std::string& column : aColumns) {
      row.push_back(Cell(entry[column]));
    }
    rows.push_back(row);
  }
  std::vector<size_t> widths(aColumns.size(), 0);
  for (const auto& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  constexpr size_t kGap = 2;
  for (const auto& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + kGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

} // namespace caraway
