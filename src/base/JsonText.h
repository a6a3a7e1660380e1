// JsonText.h: JSON text in and out. jsoncpp, since libjsonrpccpp brings it:
// one JSON type in the whole program instead of two that need converting.
#ifndef caraway_base_JsonText_h
#define caraway_base_JsonText_h

#include <json/json.h>
#include <string>

#include "caraway/Result.h"

namespace caraway {

// BadRequest with the parser's line and column when aText isn't JSON.
Result<Json::Value>
JsonParse(const std::string& aText);

// One line, no blanks.
std::string
JsonWrite(const Json::Value& aValue);

// An object whose text can't be read as JSON, or isn't an object, is empty.
Json::Value
JsonParseOrEmpty(const std::string& aText);

} // namespace caraway

#endif
