#include "base/JsonText.h"

#include <memory>
#include <sstream>

namespace caraway {

namespace {

// Readers and writers are kept per thread: building one takes longer than a
// short message takes to read.
Json::CharReader&
Reader()
{
  thread_local std::unique_ptr<Json::CharReader> sReader = [] {
    Json::CharReaderBuilder builder;
    builder["failIfExtra"] = true;
    builder["rejectDupKeys"] = true;
    builder["stackLimit"] = 64; // limits recursion on deeply nested input
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
  }();
  return *sReader;
}

Json::StreamWriter&
Writer()
{
  thread_local std::unique_ptr<Json::StreamWriter> sWriter = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
  }();
  return *sWriter;
}

// A value, its entry in its parent, and a copy of both.
constexpr size_t kBytesPerValue = 200;

bool
ParseInto(std::string_view aText, Json::Value& aOut, std::string& aErrors)
{
  const char* begin = aText.data();
  try {
    return Reader().parse(begin, begin + aText.size(), &aOut, &aErrors);
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
JsonParseOrNull(std::string_view aText)
{
  Json::Value value;
  std::string errors;
  return ParseInto(aText, value, errors) ? value : Json::Value();
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

size_t
JsonMemory(std::string_view aText)
{
  size_t values = 1;
  bool inString = false;
  for (size_t i = 0; i < aText.size(); ++i) {
    char c = aText[i];
    if (inString) {
      i += c == '\\' ? 1 : 0; // skips what is escaped
      inString = c != '"';
    } else {
      inString = c == '"';
      values += c == ',' || c == '[' || c == '{' ? 1 : 0;
    }
  }
  return values * kBytesPerValue + aText.size();
}

std::string
JsonWrite(const Json::Value& aValue)
{
  std::ostringstream text;
  Writer().write(aValue, &text);
  return text.str();
}

} // namespace caraway
