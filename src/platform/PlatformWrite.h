// PlatformWrite.h: a conditional write, and how it ended.
#ifndef caraway_platform_PlatformWrite_h
#define caraway_platform_PlatformWrite_h

#include <json/json.h>
#include <string>

#include "platform/PlatformObject.h"

namespace caraway {

struct PlatformWrite
{
  std::string mKind;
  std::string mName;
  int64_t mExpected = 0; // version it replaces; 0 = must not exist yet
  std::string mWriteId;  // drawn by the writer, found again by a re-read
  Json::Value mValue;
};

enum class WriteOutcome
{
  Done,     // in force; mObject is what was written
  Conflict, // another version stands; mObject is it
  Unknown,  // no answer, and re-reading gave none either
  Refused,  // the platform can't be reached; nothing was offered
};

struct WriteResult
{
  WriteOutcome mEnd = WriteOutcome::Unknown;
  PlatformObject mObject;
};

} // namespace caraway

#endif
