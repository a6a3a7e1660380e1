// EventLog.h: JSON lines on standard output that never block and stay
// bounded.
//
// spdlog's sinks write until the reader has taken all; a pipe that nobody
// reads would stop the thread that serves callers. Lines are gathered here
// and handed over without waiting, once a turn; what doesn't fit is counted
// and told in a line of its own.
#ifndef caraway_base_EventLog_h
#define caraway_base_EventLog_h

#include <map>
#include <string>
#include <string_view>

#include "caraway/Clock.h"

namespace caraway {

class EventLog;

// One line; written when it goes out of scope.
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

  EventLog* mLog; // null = left out
  std::string mText;
};

class EventLog
{
public:
  // aFile: written without waiting; made non-blocking. -1 = keeps lines to
  // itself, for tests.
  EventLog(const Clock& aClock, std::string aInstance, int aFile);

  // Begins a line about aEvent; one of the names of docs/OPERATIONS.md.
  EventLine Line(std::string_view aEvent);
  // Hands gathered lines over, as far as the reader takes them.
  void Flush();

  int64_t DroppedLines() const { return mDroppedLines; }
  size_t BufferedBytes() const { return mBuffer.size(); }
  const std::string& Gathered() const { return mBuffer; }

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
