// JsonText.h: parses and writes JSON text. Uses jsoncpp because libjsonrpccpp
// does, so that the program has one JSON type and no conversions.
#ifndef caraway_base_JsonText_h
#define caraway_base_JsonText_h

#include <json/json.h>
#include <string>
#include <string_view>

#include "caraway/Result.h"

namespace caraway {

// BadRequest with the parser's line and column if aText isn't JSON.
Result<Json::Value>
JsonParse(const std::string& aText);

// Null if aText isn't JSON.
Json::Value
JsonParseOrNull(std::string_view aText);

// Bytes that aText takes at most once it is parsed and copied for an engine. A
// value takes many times the two bytes that the shortest one has in the text.
size_t
JsonMemory(std::string_view aText);

// Compact form: one line without spaces.
std::string
JsonWrite(const Json::Value& aValue);

// Returns an empty object if aText isn't JSON or isn't an object.
Json::Value
JsonParseOrEmpty(const std::string& aText);

} // namespace caraway

#endif
