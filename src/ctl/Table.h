// Table.h: text tables for the terminal.
#ifndef caraway_ctl_Table_h
#define caraway_ctl_Table_h

#include <json/json.h>
#include <string>
#include <vector>

namespace caraway {

// One line per entry, with columns as wide as their widest text.
std::string
TableText(const Json::Value& aEntries,
          const std::vector<std::string>& aColumns);

} // namespace caraway

#endif
