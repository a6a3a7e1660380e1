#include "base/JsonFields.h"

namespace caraway {

JsonFields::JsonFields(const Json::Value& aObject, std::string aWhere)
  : mObject(aObject)
  , mWhere(std::move(aWhere))
{
  if (!aObject.isObject()) {
    mTrouble = mWhere + ": expected a table";
  }
}

void
JsonFields::Complain(const char* aName, const std::string& aExpected)
{
  if (mTrouble.empty()) {
    mTrouble = mWhere + "." + aName + ": " + aExpected;
  }
}

const Json::Value*
JsonFields::Find(const char* aName, bool aRequired)
{
  mKnown.insert(aName);
  if (mObject.isObject() && mObject.isMember(aName)) {
    return &mObject[aName];
  }
  if (aRequired) {
    Complain(aName, "is missing");
  }
  return nullptr;
}

std::string
JsonFields::Text(const char* aName, bool aRequired)
{
  const Json::Value* value = Find(aName, aRequired);
  if (!value) {
    return "";
  }
  if (!value->isString() || (aRequired && value->asString().empty())) {
    Complain(aName, "expected a text");
    return "";
  }
  return value->asString();
}

int64_t
JsonFields::Integer(const char* aName, int64_t aDefault, int64_t aLeast)
{
  const Json::Value* value = Find(aName, false);
  if (!value) {
    return aDefault;
  }
  if (!value->isInt64() || value->asInt64() < aLeast) {
    Complain(aName, "expected a whole number >= " + std::to_string(aLeast));
    return aDefault;
  }
  return value->asInt64();
}

double
JsonFields::Number(const char* aName, double aDefault, double aLeast)
{
  const Json::Value* value = Find(aName, false);
  if (!value) {
    return aDefault;
  }
  if (!value->isNumeric() || value->asDouble() < aLeast) {
    // Bounds are whole; 0.000000 would only puzzle.
    Complain(aName,
             "expected a number >= " +
               std::to_string(static_cast<int64_t>(aLeast)));
    return aDefault;
  }
  return value->asDouble();
}

bool
JsonFields::Flag(const char* aName, bool aDefault)
{
  const Json::Value* value = Find(aName, false);
  if (!value) {
    return aDefault;
  }
  if (!value->isBool()) {
    Complain(aName, "expected true or false");
    return aDefault;
  }
  return value->asBool();
}

Millis
JsonFields::Duration(const char* aName, Millis aDefault, Millis aLeast)
{
  return Millis(Integer(aName, aDefault.count(), aLeast.count()));
}

Result<void>
JsonFields::Done()
{
  if (mTrouble.empty()) {
    for (const std::string& name : mObject.getMemberNames()) {
      if (mKnown.count(name) == 0) {
        Complain(name.c_str(), "unknown field");
      }
    }
  }
  if (!mTrouble.empty()) {
    return Fail(ErrorKind::ConfigInvalid, mTrouble);
  }
  return {};
}

} // namespace caraway
