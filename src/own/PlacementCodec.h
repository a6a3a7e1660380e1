// PlacementCodec.h: placement records and engine reports as JSON.
#ifndef caraway_own_PlacementCodec_h
#define caraway_own_PlacementCodec_h

#include <json/json.h>
#include <optional>

#include "decide/EngineReport.h"
#include "decide/PlacementRecord.h"

namespace caraway {

PlacementRecord
PlacementParse(const Json::Value& aJson);
Json::Value
PlacementJson(const PlacementRecord& aRecord);
// Nothing if any part of it can't be read: what is left out would count as
// free.
std::optional<EngineReport>
EngineReportParse(const Json::Value& aJson);

} // namespace caraway

#endif
