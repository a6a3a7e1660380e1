// ShareCodec.h: share tables as JSON.
#ifndef caraway_share_ShareCodec_h
#define caraway_share_ShareCodec_h

#include <json/json.h>

#include "decide/ShareTable.h"

namespace caraway {

ShareTable
ShareTableParse(const Json::Value& aJson);
Json::Value
ShareTableJson(const ShareTable& aTable);

} // namespace caraway

#endif
