// PlacementCodec.h: placement records and engine reports as JSON.
#ifndef caraway_own_PlacementCodec_h
#define caraway_own_PlacementCodec_h

#include <json/json.h>

#include "decide/EngineReport.h"
#include "decide/PlacementRecord.h"

namespace caraway {

PlacementRecord
PlacementParse(const Json::Value& aJson);
Json::Value
PlacementJson(const PlacementRecord& aRecord);
EngineReport
EngineReportParse(const Json::Value& aJson);

} // namespace caraway

#endif
