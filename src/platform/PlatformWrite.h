// PlatformWrite.h: a conditional write and its outcome.
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
  std::string mWriteId;  // random; identifies this write in later reads
  Json::Value mValue;
};

enum class WriteOutcome
{
  Done,     // took effect; mObject is the written object
  Conflict, // another version exists; mObject is that version
  Unknown,  // no usable answer, and resending gave none either
  Refused,  // not stored: nothing was sent, or the platform refused it
};

struct WriteResult
{
  WriteOutcome mOutcome = WriteOutcome::Unknown;
  PlatformObject mObject;
};

} // namespace caraway

#endif
