#include "base/JsonText.h"

#include <memory>

namespace caraway {

namespace {

bool
ParseInto(const std::string& aText, Json::Value& aOut, std::string& aErrors)
{
  Json::CharReaderBuilder builder;
  builder["failIfExtra"] = true;
  builder["rejectDupKeys"] = true;
  builder["stackLimit"] = 64; // limits recursion on deeply nested input
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  const char* begin = aText.data();
  try {
    return reader->parse(begin, begin + aText.size(), &aOut, &aErrors);
  } catch (const std::exception& error) {
    aErrors = error.what();
    return false;
  }
}

} // namespace

Result<Json::Value>
JsonParse(const std::string& aText)
{
  Json::Value value;
  std::string errors;
  if (!ParseInto(aText, value, errors)) {
    return Fail(ErrorKind::BadRequest, "invalid JSON: " + errors);
  }
  return value;
}

Json::Value
JsonParseOrEmpty(const std::string& aText)
{
  Json::Value value;
  std::string errors;
  if (!ParseInto(aText, value, errors) || !value.isObject()) {
    return Json::Value(Json::objectValue);
  }
  return value;
}

std::string
JsonWrite(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aValue);
}

} // namespace caraway
