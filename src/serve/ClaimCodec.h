// ClaimCodec.h: JSON encoding of claims.
#ifndef caraway_serve_ClaimCodec_h
#define caraway_serve_ClaimCodec_h

#include <json/json.h>

#include "decide/ClaimRecord.h"

namespace caraway {

ClaimRecord
ClaimParse(const Json::Value& aJson);
Json::Value
ClaimJson(const ClaimRecord& aRecord);
ClaimAnswer
ClaimAnswerParse(const Json::Value& aJson);
Json::Value
ClaimAnswerJson(const ClaimAnswer& aAnswer);

} // namespace caraway

#endif
