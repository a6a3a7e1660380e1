// JsonObjectReader.h: reads a JSON object's fields and rejects unknown ones.
#ifndef caraway_base_JsonObjectReader_h
#define caraway_base_JsonObjectReader_h

#include <json/json.h>
#include <set>
#include <string>

#include "caraway/Result.h"

namespace caraway {

// Keeps the first error instead of returning at once, so that a parse function
// reads as a list of its fields. Unknown fields are errors, since a misspelt
// optional field would otherwise be ignored and its default would apply.
class JsonObjectReader
{
public:
  JsonObjectReader(const Json::Value& aObject, std::string aPath);

  std::string Text(const char* aName, bool aRequired = false);
  int64_t Integer(const char* aName, int64_t aDefault, int64_t aMin);
  double Number(const char* aName, double aDefault, double aMin);
  bool Flag(const char* aName, bool aDefault);
  Millis Duration(const char* aName, Millis aDefault, Millis aMin);

  void AddError(const char* aName, const std::string& aExpected);
  // ConfigInvalid with "path.field: what was expected" if there was an error.
  Result<void> Done();

private:
  const Json::Value* Find(const char* aName, bool aRequired);

  const Json::Value& mObject;
  std::string mPath;
  std::string mError;
  std::set<std::string> mKnownFields;
};

} // namespace caraway

#endif
