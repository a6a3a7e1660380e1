#include "base/Log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "base/JsonText.h"

namespace caraway {

namespace {

// The pattern encloses the message, which holds the object's inner part.
constexpr const char* kPattern =
  R"({"at":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

std::string
ObjectContent(const char* aEvent, std::initializer_list<LogField> aFields)
{
  Json::Value line(Json::objectValue);
  line["event"] = aEvent;
  for (const LogField& field : aFields) {
    line[field.first] = field.second;
  }
  std::string text = JsonWrite(line);
  return text.substr(1, text.size() - 2);
}

} // namespace

void
LogStart(const std::string& aInstance)
{
  auto logger = spdlog::get(aInstance);
  if (!logger) {
    logger = spdlog::stderr_logger_mt(aInstance);
  }
  logger->set_pattern(kPattern, spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(logger);
}

void
LogInfo(const char* aEvent, std::initializer_list<LogField> aFields)
{
  spdlog::info("{}", ObjectContent(aEvent, aFields));
}

void
LogWarn(const char* aEvent, std::initializer_list<LogField> aFields)
{
  spdlog::warn("{}", ObjectContent(aEvent, aFields));
}

} // namespace caraway
