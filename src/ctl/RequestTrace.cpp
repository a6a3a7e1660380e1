#include "ctl/RequestTrace.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

#include "base/JsonText.h"

namespace caraway {

namespace {

// Window around the request's own lines: a load takes seconds, and other
// instances see a server's failure within one second.
constexpr int64_t kBeforeMs = 8000;
constexpr int64_t kAfterMs = 1500;

// Other lines that relate to the request's model, servers or tenant.
const std::set<std::string> kModelEvents = { "place_decided",
                                             "place_ended",
                                             "place_none",
                                             "order_unanswered" };
const std::set<std::string> kServerEvents = { "server_listed",
                                              "server_gone",
                                              "server_missing",
                                              "content_corrected",
                                              "server_broke" };
const std::set<std::string> kStateEvents = { "lease_taken",     "lease_ended",
                                             "store_lost",      "store_reached",
                                             "config_in_force", "leaving" };

std::string
TextOf(const Json::Value& aLine, const char* aName)
{
  return aLine[aName].isString() ? aLine[aName].asString() : "";
}

std::set<std::string>
ValuesOf(const std::vector<TraceLine>& aLines, const char* aName)
{
  std::set<std::string> values;
  for (const TraceLine& line : aLines) {
    std::string value = TextOf(line.mLine, aName);
    if (!value.empty()) {
      values.insert(value);
    }
  }
  return values;
}

const TraceLine*
FirstOf(const std::vector<TraceLine>& aLines, const std::string& aEvent)
{
  for (const TraceLine& line : aLines) {
    if (TextOf(line.mLine, "event") == aEvent) {
      return &line;
    }
  }
  return nullptr;
}

// Returns the shift of another instance's clock that lets its load of the model
// begin after the request waited and end before the request was sent.
int64_t
ShiftOf(const std::vector<TraceLine>& aOwnLines,
        const std::vector<TraceLine>& aOthers)
{
  const TraceLine* waits = FirstOf(aOwnLines, "request_waits");
  const TraceLine* sent = FirstOf(aOwnLines, "request_sent");
  const TraceLine* ended = FirstOf(aOthers, "place_ended");
  const TraceLine* decided = FirstOf(aOthers, "place_decided");
  if (sent && ended && waits && ended->mAt > sent->mAt) {
    // 1 ms more, so that the cause doesn't tie with its effect.
    return sent->mAt - ended->mAt - 1;
  }
  bool caused = !sent || !ended || ended->mAt >= (waits ? waits->mAt : 0);
  if (waits && decided && caused && decided->mAt < waits->mAt &&
      waits->mAt - decided->mAt < kAfterMs) {
    return waits->mAt - decided->mAt;
  }
  return 0;
}

} // namespace

RequestTrace::RequestTrace(std::string aId)
  : mId(std::move(aId))
{
}

void
RequestTrace::Read(const std::string& aText)
{
  std::istringstream lines(aText);
  std::string text;
  while (std::getline(lines, text)) {
    size_t brace = text.find('{');
    if (brace == std::string::npos) {
      continue;
    }
    Json::Value json = JsonParseOrEmpty(text.substr(brace));
    if (TextOf(json, "event").empty() || !json["at"].isInt64()) {
      continue;
    }
    TraceLine line;
    line.mInstance = TextOf(json, "instance");
    line.mAt = json["at"].asInt64();
    line.mUptimeMs = json["up_ms"].isInt64() ? json["up_ms"].asInt64() : 0;
    line.mOwn = TextOf(json, "id") == mId;
    line.mLine = std::move(json);
    mLines.push_back(std::move(line));
  }
}

bool
RequestTrace::IsRelated(const TraceLine& aLine,
                        const std::vector<TraceLine>& aOwnLines) const
{
  bool inWindow = std::any_of(
    aOwnLines.begin(), aOwnLines.end(), [&aLine](const TraceLine& aRequest) {
      int64_t after = aLine.mAt - aRequest.mAt;
      return after > -kBeforeMs && after < kAfterMs;
    });
  std::string event = TextOf(aLine.mLine, "event");
  if (!inWindow || aLine.mOwn) {
    return false;
  }
  if (kModelEvents.count(event)) {
    return ValuesOf(aOwnLines, "model").count(TextOf(aLine.mLine, "model")) > 0;
  }
  if (kServerEvents.count(event)) {
    return ValuesOf(aOwnLines, "server").count(TextOf(aLine.mLine, "server")) >
           0;
  }
  if (event == "tokens_refused") {
    return ValuesOf(aOwnLines, "tenant").count(TextOf(aLine.mLine, "tenant")) >
             0 &&
           aLine.mInstance == aOwnLines.front().mInstance;
  }
  return kStateEvents.count(event) > 0;
}

std::vector<TraceLine>
RequestTrace::Lines() const
{
  std::vector<TraceLine> ownLines;
  std::copy_if(mLines.begin(),
               mLines.end(),
               std::back_inserter(ownLines),
               [](const TraceLine& aLine) { return aLine.mOwn; });
  std::stable_sort(
    ownLines.begin(), ownLines.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.mUptimeMs < aOther.mUptimeMs;
    });
  std::map<std::string, std::vector<TraceLine>> linesByInstance;
  for (const TraceLine& line : mLines) {
    if (!ownLines.empty() && IsRelated(line, ownLines)) {
      linesByInstance[line.mInstance].push_back(line);
    }
  }
  std::vector<TraceLine> trace = ownLines;
  for (auto& [instance, lines] : linesByInstance) {
    bool sameInstance =
      !ownLines.empty() && instance == ownLines.front().mInstance;
    int64_t shift = sameInstance ? 0 : ShiftOf(ownLines, lines);
    for (TraceLine& line : lines) {
      line.mAt += shift;
      line.mShifted = shift != 0;
      trace.push_back(std::move(line));
    }
  }
  std::stable_sort(
    trace.begin(), trace.end(), [](const auto& aOne, const auto& aOther) {
      bool sameInstance = aOne.mInstance == aOther.mInstance;
      return sameInstance && aOne.mAt == aOther.mAt
               ? aOne.mUptimeMs < aOther.mUptimeMs
               : aOne.mAt < aOther.mAt;
    });
  return trace;
}

std::string
RequestTrace::Text() const
{
  std::vector<TraceLine> trace = Lines();
  if (trace.empty()) {
    return "no line belongs to request " + mId + "\n";
  }
  std::ostringstream text;
  int64_t begin = trace.front().mAt;
  for (const TraceLine& line : trace) {
    Json::Value rest = line.mLine;
    for (const char* name : { "at", "up_ms", "instance", "event", "id" }) {
      rest.removeMember(name);
    }
    text << (line.mOwn ? "* " : "  ") << line.mAt - begin << " ms"
         << (line.mShifted ? "~ " : " ") << line.mInstance << " "
         << TextOf(line.mLine, "event") << " " << JsonWrite(rest) << "\n";
  }
  return text.str();
}

} // namespace caraway
