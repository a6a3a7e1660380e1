#include "net/HttpHead.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace caraway {

namespace {

constexpr std::string_view kEndOfHead = "\r\n\r\n";
constexpr size_t kMaxFields = 128; // far more than any real caller sends

// Other statuses have no meaning: RFC 9110, section 15.
constexpr int kLeastStatus = 100;
constexpr int kMostStatus = 599;

char
Lower(char aChar)
{
  return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
}

bool
IsTokenChar(char aChar)
{
  return std::isalnum(static_cast<unsigned char>(aChar)) ||
         std::string_view("!#$%&'*+-.^_`|~").find(aChar) !=
           std::string_view::npos;
}

bool
ListContains(std::string_view aList, std::string_view aWord)
{
  size_t at = 0;
  while (at <= aList.size()) {
    size_t end = std::min(aList.find(',', at), aList.size());
    std::string_view word = aList.substr(at, end - at);
    while (!word.empty() && word.front() == ' ') {
      word.remove_prefix(1);
    }
    while (!word.empty() && word.back() == ' ') {
      word.remove_suffix(1);
    }
    if (EqualsIgnoreCase(word, aWord)) {
      return true;
    }
    at = end + 1;
  }
  return false;
}

HeadFault
ReadField(std::string_view aLine, HttpHead& aHead)
{
  size_t colon = aLine.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return HeadFault::FieldName;
  }
  std::string_view name = aLine.substr(0, colon);
  std::string_view value = aLine.substr(colon + 1);
  if (!std::all_of(name.begin(), name.end(), IsTokenChar)) {
    return HeadFault::FieldName;
  }
  if (!IsPlainText(value)) {
    return HeadFault::FieldValue;
  }
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
    value.remove_prefix(1);
  }
  while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) {
    value.remove_suffix(1);
  }
  aHead.mFields.push_back({ std::string(name), std::string(value) });
  return aHead.mFields.size() <= kMaxFields ? HeadFault::None
                                            : HeadFault::FieldCount;
}

std::optional<size_t>
ReadLength(const std::string& aText)
{
  size_t length = 0;
  const char* end = aText.data() + aText.size();
  auto [at, error] = std::from_chars(aText.data(), end, length);
  if (aText.empty() || error != std::errc() || at != end) {
    return std::nullopt;
  }
  return length;
}

// Returns false if the framing is ambiguous.
bool
ReadFraming(HttpHead& aHead, BodyFraming aDefault)
{
  aHead.mFraming = aDefault;
  bool length = false;
  bool coding = false;
  for (const HttpField& field : aHead.mFields) {
    if (EqualsIgnoreCase(field.mName, "Content-Length")) {
      auto value = ReadLength(field.mValue);
      if (!value || length || coding) {
        return false;
      }
      length = true;
      aHead.mFraming = BodyFraming::Length;
      aHead.mLength = *value;
    } else if (EqualsIgnoreCase(field.mName, "Transfer-Encoding")) {
      if (!EqualsIgnoreCase(field.mValue, "chunked") || length || coding) {
        return false;
      }
      coding = true;
      aHead.mFraming = BodyFraming::Chunked;
    } else if (EqualsIgnoreCase(field.mName, "Connection")) {
      if (ListContains(field.mValue, "close")) {
        aHead.mKeepAlive = false;
      }
    }
  }
  return true;
}

bool
ReadVersion(std::string_view aText, HttpHead& aHead)
{
  aHead.mKeepAlive = aText == "HTTP/1.1";
  return aHead.mKeepAlive || aText == "HTTP/1.0";
}

HeadFault
ReadRequestLine(std::string_view aLine, HttpHead& aHead)
{
  size_t first = aLine.find(' ');
  size_t last = aLine.rfind(' ');
  if (first == std::string_view::npos || first == 0 || last <= first + 1) {
    return HeadFault::FirstLine;
  }
  std::string_view target = aLine.substr(first + 1, last - first - 1);
  aHead.mMethod = aLine.substr(0, first);
  aHead.mTarget = target;
  bool plain = std::all_of(target.begin(), target.end(), [](char aChar) {
    return static_cast<unsigned char>(aChar) > 0x20 && aChar != 0x7f;
  });
  bool valid =
    plain && target.front() == '/' &&
    std::all_of(aHead.mMethod.begin(), aHead.mMethod.end(), IsTokenChar) &&
    ReadVersion(aLine.substr(last + 1), aHead);
  return valid ? HeadFault::None : HeadFault::FirstLine;
}

HeadFault
ReadStatusLine(std::string_view aLine, HttpHead& aHead)
{
  if (aLine.size() < 12 || !ReadVersion(aLine.substr(0, 8), aHead) ||
      aLine[8] != ' ') {
    return HeadFault::FirstLine;
  }
  const char* at = aLine.data() + 9;
  auto [end, error] = std::from_chars(at, at + 3, aHead.mStatus);
  if (error != std::errc() || end != at + 3 || aHead.mStatus < kLeastStatus ||
      aHead.mStatus > kMostStatus || (aLine.size() > 12 && aLine[12] != ' ')) {
    return HeadFault::Status;
  }
  aHead.mReason = aLine.size() > 13 ? aLine.substr(13) : std::string_view();
  return IsPlainText(aHead.mReason) ? HeadFault::None : HeadFault::FirstLine;
}

HeadState
ReadHead(std::string_view aBytes,
         HttpHead& aHead,
         size_t& aUsed,
         HeadFault (*aReadFirstLine)(std::string_view, HttpHead&))
{
  size_t end = aBytes.find(kEndOfHead);
  if (end == std::string_view::npos) {
    return HeadState::Partial;
  }
  aUsed = end + kEndOfHead.size();
  aHead = HttpHead();
  std::string_view rest = aBytes.substr(0, end + 2);
  bool first = true;
  while (!rest.empty()) {
    size_t stop = rest.find("\r\n");
    std::string_view line = rest.substr(0, stop);
    aHead.mFault = first ? aReadFirstLine(line, aHead) : ReadField(line, aHead);
    if (aHead.mFault != HeadFault::None) {
      return HeadState::Bad;
    }
    first = false;
    rest.remove_prefix(stop + 2);
  }
  return HeadState::Complete;
}

HeadState
BadFraming(HttpHead& aHead)
{
  aHead.mFault = HeadFault::Framing;
  return HeadState::Bad;
}

} // namespace

const char*
HeadFaultName(HeadFault aFault)
{
  switch (aFault) {
    case HeadFault::None:
      return "";
    case HeadFault::FirstLine:
      return "first line";
    case HeadFault::Status:
      return "status";
    case HeadFault::FieldName:
      return "field name";
    case HeadFault::FieldValue:
      return "field value";
    case HeadFault::FieldCount:
      return "number of fields";
    case HeadFault::Framing:
      break;
  }
  return "length or coding";
}

bool
IsInterim(const HttpHead& aHead)
{
  constexpr int kLeastFinalStatus = 200;
  return aHead.mStatus < kLeastFinalStatus &&
         aHead.mStatus != kSwitchingProtocols;
}

bool
IsPlainText(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    auto value = static_cast<unsigned char>(aChar);
    return value == '\t' || (value >= 0x20 && value != 0x7f);
  });
}

bool
IsFieldLine(std::string_view aLine)
{
  HttpHead head;
  return ReadField(aLine, head) == HeadFault::None;
}

bool
EqualsIgnoreCase(std::string_view aOne, std::string_view aOther)
{
  return aOne.size() == aOther.size() &&
         std::equal(aOne.begin(),
                    aOne.end(),
                    aOther.begin(),
                    [](char aA, char aB) { return Lower(aA) == Lower(aB); });
}

const char*
FramingName(BodyFraming aFraming)
{
  switch (aFraming) {
    case BodyFraming::None:
      return "none";
    case BodyFraming::Length:
      return "length";
    case BodyFraming::Chunked:
      return "chunked";
    case BodyFraming::UntilClose:
      break;
  }
  return "until_close";
}

const std::string*
HttpHead::Find(std::string_view aName) const
{
  for (const HttpField& field : mFields) {
    if (EqualsIgnoreCase(field.mName, aName)) {
      return &field.mValue;
    }
  }
  return nullptr;
}

void
HttpHead::Add(std::string aName, std::string aValue)
{
  mFields.push_back({ std::move(aName), std::move(aValue) });
}

HeadState
ReadRequestHead(std::string_view aBytes, HttpHead& aHead, size_t& aUsed)
{
  HeadState state = ReadHead(aBytes, aHead, aUsed, ReadRequestLine);
  if (state != HeadState::Complete) {
    return state;
  }
  return ReadFraming(aHead, BodyFraming::None) ? state : BadFraming(aHead);
}

HeadState
ReadAnswerHead(std::string_view aBytes, HttpHead& aHead, size_t& aUsed)
{
  HeadState state = ReadHead(aBytes, aHead, aUsed, ReadStatusLine);
  if (state != HeadState::Complete) {
    return state;
  }
  // ReadVersion() sets it by the version; ReadFraming() may clear it below.
  bool version11 = aHead.mKeepAlive;
  bool bodiless =
    aHead.mStatus < 200 || aHead.mStatus == 204 || aHead.mStatus == 304;
  if (!ReadFraming(aHead, BodyFraming::UntilClose)) {
    return BadFraming(aHead);
  }
  // HTTP/1.0 has no codings: an intermediary of that version ignores them.
  if (!version11 && aHead.mFraming == BodyFraming::Chunked) {
    return BadFraming(aHead);
  }
  if (bodiless) {
    aHead.mFraming = BodyFraming::None;
  }
  return state;
}

std::string
WriteHead(const std::string& aFirstLine, const std::vector<HttpField>& aFields)
{
  std::string text = aFirstLine + "\r\n";
  for (const HttpField& field : aFields) {
    text += field.mName + ": " + field.mValue + "\r\n";
  }
  return text + "\r\n";
}

bool
IsHopByHopField(std::string_view aName)
{
  static constexpr std::string_view kNames[] = {
    "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
    "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",
  };
  return std::any_of(
    std::begin(kNames), std::end(kNames), [aName](std::string_view aHop) {
      return EqualsIgnoreCase(aName, aHop);
    });
}

} // namespace caraway
