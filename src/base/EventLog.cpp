#include "base/EventLog.h"

#include <cerrno>
#include <climits>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace caraway {

namespace {

// Limit per event name and second: ten times what an instance writes at normal
// traffic. Writing that many lines takes a few thousandths of a core.
constexpr int kLinesPerSecond = 200;

// Buffer for a slow reader: a few seconds of lines.
constexpr size_t kMaxBufferedBytes = 256 * 1024;

// Returns the complete lines at the start of aText that fit into one atomic
// pipe write, so that a process that exits between two writes leaves no partial
// line.
std::string_view
LinesInOneWrite(std::string_view aText)
{
  size_t end = aText.substr(0, PIPE_BUF).rfind('\n');
  if (end == std::string_view::npos) {
    end = aText.find('\n');
  }
  return aText.substr(0, end == std::string_view::npos ? end : end + 1);
}

void
AppendQuoted(std::string& aOut, std::string_view aText)
{
  aOut += '"';
  for (char character : aText) {
    auto value = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      aOut += '\\';
      aOut += character;
    } else if (value < 0x20 || value >= 0x7f) {
      char code[8];
      std::snprintf(code, sizeof code, "\\u%04x", value);
      aOut += code;
    } else {
      aOut += character;
    }
  }
  aOut += '"';
}

} // namespace

EventLine::EventLine(EventLog* aLog, std::string aText)
  : mLog(aLog)
  , mText(std::move(aText))
{
}

EventLine::EventLine(EventLine&& aOther) noexcept
  : mLog(aOther.mLog)
  , mText(std::move(aOther.mText))
{
  aOther.mLog = nullptr;
}

EventLine::~EventLine()
{
  if (mLog) {
    mText += "}\n";
    mLog->Put(std::move(mText));
  }
}

void
EventLine::Name(std::string_view aName)
{
  mText += ",\"";
  mText += aName;
  mText += "\":";
}

EventLine&
EventLine::Text(std::string_view aName, std::string_view aValue)
{
  if (mLog) {
    Name(aName);
    AppendQuoted(mText, aValue);
  }
  return *this;
}

EventLine&
EventLine::Count(std::string_view aName, int64_t aValue)
{
  if (mLog) {
    Name(aName);
    mText += std::to_string(aValue);
  }
  return *this;
}

EventLine&
EventLine::Number(std::string_view aName, double aValue)
{
  if (mLog) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", aValue);
    Name(aName);
    mText += text;
  }
  return *this;
}

EventLine&
EventLine::Ms(std::string_view aName, Millis aValue)
{
  return Count(aName, aValue.count());
}

EventLine&
EventLine::Flag(std::string_view aName, bool aValue)
{
  if (mLog) {
    Name(aName);
    mText += aValue ? "true" : "false";
  }
  return *this;
}

EventLog::EventLog(const Clock& aClock, std::string aInstance, int aFile)
  : mClock(aClock)
  , mInstance(std::move(aInstance))
  , mFile(aFile)
{
  if (mFile >= 0) {
    fcntl(mFile, F_SETFL, fcntl(mFile, F_GETFL) | O_NONBLOCK);
  }
}

bool
EventLog::Allow(std::string_view aEvent)
{
  auto found = mBudgets.find(aEvent);
  if (found == mBudgets.end()) {
    found = mBudgets.emplace(std::string(aEvent), Budget()).first;
  }
  Budget& budget = found->second;
  TimePoint now = mClock.Now();
  if (now - budget.mSince >= Seconds(1)) {
    WriteDropped(found->first, budget);
    budget.mSince = now;
    budget.mUsed = 0;
  }
  if (budget.mUsed >= kLinesPerSecond || mBuffer.size() >= kMaxBufferedBytes) {
    ++budget.mDropped;
    ++mDroppedLines;
    return false;
  }
  ++budget.mUsed;
  return true;
}

void
EventLog::WriteDropped(const std::string& aEvent, Budget& aBudget)
{
  if (aBudget.mDropped > 0 && mBuffer.size() < kMaxBufferedBytes) {
    mBuffer += "{\"event\":\"log_left_out\",\"instance\":\"" + mInstance +
               "\",\"of\":\"" + aEvent +
               "\",\"lines\":" + std::to_string(aBudget.mDropped) + "}\n";
    aBudget.mDropped = 0;
  }
}

EventLine
EventLog::Line(std::string_view aEvent)
{
  if (!Allow(aEvent)) {
    return EventLine(nullptr, "");
  }
  auto wall = mClock.WallNow().time_since_epoch();
  auto now = mClock.Now().time_since_epoch();
  std::string text = "{\"at\":";
  text += std::to_string(std::chrono::duration_cast<Millis>(wall).count());
  text += ",\"up_ms\":";
  text += std::to_string(std::chrono::duration_cast<Millis>(now).count());
  text += ",\"instance\":\"" + mInstance + "\",\"event\":\"";
  text += aEvent;
  text += '"';
  return EventLine(this, std::move(text));
}

void
EventLog::Put(std::string aLine)
{
  mBuffer += aLine;
}

void
EventLog::Flush()
{
  if (mFile < 0) {
    return;
  }
  size_t done = 0;
  while (done < mBuffer.size()) {
    std::string_view chunk =
      LinesInOneWrite(std::string_view(mBuffer).substr(done));
    ssize_t written = write(mFile, chunk.data(), chunk.size());
    if (written < 0 && errno != EAGAIN && errno != EINTR) {
      done = mBuffer.size(); // no reader is left
    }
    if (written <= 0) {
      break;
    }
    done += static_cast<size_t>(written);
  }
  mBuffer.erase(0, done);
}

} // namespace caraway
