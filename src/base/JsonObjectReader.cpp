#include "base/JsonObjectReader.h"

namespace caraway {

JsonObjectReader::JsonObjectReader(const Json::Value& aObject,
                                   std::string aPath)
  : mObject(aObject)
  , mPath(std::move(aPath))
{
  if (!aObject.isObject()) {
    mError = mPath + ": expected an object";
  }
}

void
JsonObjectReader::AddError(const char* aName, const std::string& aExpected)
{
  if (mError.empty()) {
    mError = mPath + "." + aName + ": " + aExpected;
  }
}

const Json::Value*
JsonObjectReader::Find(const char* aName, bool aRequired)
{
  mKnownFields.insert(aName);
  if (mObject.isObject() && mObject.isMember(aName)) {
    return &mObject[aName];
  }
  if (aRequired) {
    AddError(aName, "is missing");
  }
  return nullptr;
}

std::string
JsonObjectReader::Text(const char* aName, bool aRequired)
{
  const Json::Value* value = Find(aName, aRequired);
  if (!value) {
    return "";
  }
  if (!value->isString() || (aRequired && value->asString().empty())) {
    AddError(aName, "expected a string");
    return "";
  }
  return value->asString();
}

int64_t
JsonObjectReader::Integer(const char* aName, int64_t aDefault, int64_t aMin)
{
  const Json::Value* value = Find(aName, false);
  if (!value) {
    return aDefault;
  }
  if (!value->isInt64() || value->asInt64() < aMin) {
    AddError(aName, "expected a whole number >= " + std::to_string(aMin));
    return aDefault;
  }
  return value->asInt64();
}

double
JsonObjectReader::Number(const char* aName, double aDefault, double aMin)
{
  const Json::Value* value = Find(aName, false);
  if (!value) {
    return aDefault;
  }
  if (!value->isNumeric() || value->asDouble() < aMin) {
    // Bounds are integers; to_string of a double would print 0.000000.
    AddError(aName,
             "expected a number >= " +
               std::to_string(static_cast<int64_t>(aMin)));
    return aDefault;
  }
  return value->asDouble();
}

bool
JsonObjectReader::Flag(const char* aName, bool aDefault)
{
  const Json::Value* value = Find(aName, false);
  if (!value) {
    return aDefault;
  }
  if (!value->isBool()) {
    AddError(aName, "expected true or false");
    return aDefault;
  }
  return value->asBool();
}

Millis
JsonObjectReader::Duration(const char* aName, Millis aDefault, Millis aMin)
{
  return Millis(Integer(aName, aDefault.count(), aMin.count()));
}

Result<void>
JsonObjectReader::Done()
{
  if (mError.empty()) {
    for (const std::string& name : mObject.getMemberNames()) {
      if (mKnownFields.count(name) == 0) {
        AddError(name.c_str(), "unknown field");
      }
    }
  }
  if (!mError.empty()) {
    return Fail(ErrorKind::ConfigInvalid, mError);
  }
  return {};
}

} // namespace caraway
