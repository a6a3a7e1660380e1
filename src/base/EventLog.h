// EventLog.h: JSON lines on standard output, non-blocking and bounded.
//
// spdlog's sinks block until the reader has taken everything, so a pipe that
// nobody reads would stop the thread that serves callers. This log buffers
// lines and writes them without waiting, once per pass of the event loop; lines
// that don't fit are counted, and their number is logged in a line of its own.
#ifndef caraway_base_EventLog_h
#define caraway_base_EventLog_h

#include <map>
#include <string>
#include <string_view>

#include "caraway/Clock.h"

namespace caraway {

class EventLog;

// One line; written when the object is destroyed.
class EventLine
{
public:
  EventLine(EventLog* aLog, std::string aText);
  ~EventLine();
  EventLine(const EventLine&) = delete;
  EventLine& operator=(const EventLine&) = delete;
  EventLine(EventLine&& aOther) noexcept;

  EventLine& Text(std::string_view aName, std::string_view aValue);
  EventLine& Count(std::string_view aName, int64_t aValue);
  EventLine& Number(std::string_view aName, double aValue);
  EventLine& Ms(std::string_view aName, Millis aValue);
  EventLine& Flag(std::string_view aName, bool aValue);

private:
  void Name(std::string_view aName);

  EventLog* mLog; // null if the line is dropped
  std::string mText;
};

class EventLog
{
public:
  // aFile: file descriptor, set to non-blocking. -1 only buffers lines, for
  // tests.
  EventLog(const Clock& aClock, std::string aInstance, int aFile);

  // Begins a line for event aEvent, which docs/OPERATIONS.md must list.
  EventLine Line(std::string_view aEvent);
  // Writes buffered lines, as far as the reader takes them without blocking.
  void Flush();

  int64_t DroppedLines() const { return mDroppedLines; }
  size_t BufferedBytes() const { return mBuffer.size(); }
  const std::string& BufferedText() const { return mBuffer; }

private:
  friend class EventLine;
  struct Budget
  {
    TimePoint mSince{};
    int mUsed = 0;
    int64_t mDropped = 0;
  };
  void Put(std::string aLine);
  bool Allow(std::string_view aEvent);
  void WriteDropped(const std::string& aEvent, Budget& aBudget);

  const Clock& mClock;
  std::string mInstance;
  int mFile;
  std::string mBuffer;
  std::map<std::string, Budget, std::less<>> mBudgets; // by event name
  int64_t mDroppedLines = 0;
};

} // namespace caraway

#endif
