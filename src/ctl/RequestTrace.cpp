#include "ctl/RequestTrace.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

#include "base/JsonText.h"

namespace caraway {

namespace {

// Around the request's own lines: a load takes seconds, and what broke a
// server is seen at other instances within one.
constexpr int64_t kBeforeMs = 8000;
constexpr int64_t kAfterMs = 1500;

// Lines of others about the request's model, servers or tenant.
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

// How far another instance's clock must move so that its load of the model
// begins after the request waited and ends before the request was sent.
int64_t
ShiftOf(const std::vector<TraceLine>& aOwn,
        const std::vector<TraceLine>& aOthers)
{
  const TraceLine* waits = FirstOf(aOwn, "request_waits");
  const TraceLine* sent = FirstOf(aOwn, "request_sent");
  const TraceLine* ended = FirstOf(aOthers, "place_ended");
  const TraceLine* decided = FirstOf(aOthers, "place_decided");
  if (sent && ended && waits && ended->mAt > sent->mAt) {
    return sent->mAt - ended->mAt - 1; // a cause comes first also in a tie
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
    line.mUp = json["up_ms"].isInt64() ? json["up_ms"].asInt64() : 0;
    line.mOwn = TextOf(json, "id") == mId;
    line.mLine = std::move(json);
    mAll.push_back(std::move(line));
  }
}

bool
RequestTrace::IsRelated(const TraceLine& aLine,
                        const std::vector<TraceLine>& aOwn) const
{
  bool near =
    std::any_of(aOwn.begin(), aOwn.end(), [&aLine](const TraceLine& aRequest) {
      int64_t after = aLine.mAt - aRequest.mAt;
      return after > -kBeforeMs && after < kAfterMs;
    });
  std::string event = TextOf(aLine.mLine, "event");
  if (!near || aLine.mOwn) {
    return false;
  }
  if (kModelEvents.count(event)) {
    return ValuesOf(aOwn, "model").count(TextOf(aLine.mLine, "model")) > 0;
  }
  if (kServerEvents.count(event)) {
    return ValuesOf(aOwn, "server").count(TextOf(aLine.mLine, "server")) > 0;
  }
  if (event == "tokens_refused") {
    return ValuesOf(aOwn, "tenant").count(TextOf(aLine.mLine, "tenant")) > 0 &&
           aLine.mInstance == aOwn.front().mInstance;
  }
  return kStateEvents.count(event) > 0;
}

std::vector<TraceLine>
RequestTrace::Lines() const
{
  std::vector<TraceLine> own;
  std::copy_if(mAll.begin(),
               mAll.end(),
               std::back_inserter(own),
               [](const TraceLine& aLine) { return aLine.mOwn; });
  std::stable_sort(
    own.begin(), own.end(), [](const auto& aOne, const auto& aB) {
      return aOne.mUp < aB.mUp;
    });
  std::map<std::string, std::vector<TraceLine>> others;
  for (const TraceLine& line : mAll) {
    if (!own.empty() && IsRelated(line, own)) {
      others[line.mInstance].push_back(line);
    }
  }
  std::vector<TraceLine> story = own;
  for (auto& [instance, lines] : others) {
    bool same = !own.empty() && instance == own.front().mInstance;
    int64_t shift = same ? 0 : ShiftOf(own, lines);
    for (TraceLine& line : lines) {
      line.mAt += shift;
      line.mMoved = shift != 0;
      story.push_back(std::move(line));
    }
  }
  std::stable_sort(
    story.begin(), story.end(), [](const auto& aOne, const auto& aB) {
      bool same = aOne.mInstance == aB.mInstance;
      return same && aOne.mAt == aB.mAt ? aOne.mUp < aB.mUp : aOne.mAt < aB.mAt;
    });
  return story;
}

std::string
RequestTrace::Text() const
{
  std::vector<TraceLine> story = Lines();
  if (story.empty()) {
    return "no line is about request " + mId + "\n";
  }
  std::ostringstream text;
  int64_t begin = story.front().mAt;
  for (const TraceLine& line : story) {
    Json::Value rest = line.mLine;
    for (const char* name : { "at", "up_ms", "instance", "event", "id" }) {
      rest.removeMember(name);
    }
    text << (line.mOwn ? "* " : "  ") << line.mAt - begin << " ms"
         << (line.mMoved ? "~ " : " ") << line.mInstance << " "
         << TextOf(line.mLine, "event") << " " << JsonWrite(rest) << "\n";
  }
  return text.str();
}

} // namespace caraway
