// ConnectionClose.h: why this instance ended a caller's connection, and what it
// knew.
#ifndef caraway_entry_ConnectionClose_h
#define caraway_entry_ConnectionClose_h

#include <cstddef>

#include "caraway/Time.h"

namespace caraway {

enum class ConnectionCloseReason
{
  AnswerWithClose, // the answer before said that the connection ends
  InvalidRequest,  // what came is no request, or too large or slow
  IdleTimeout,     // over the limit of idle time
  Leaving,         // idle at an instance that leaves
  AnswerAborted,   // the answer under way can't be completed
  SlowReader,      // too much of the answer waits for its caller
  InstanceExit,    // the process ends with it
};

// For the log.
const char*
ConnectionCloseReasonName(ConnectionCloseReason aReason);

// What the log tells of a connection that this instance ended.
struct ConnectionClose
{
  ConnectionCloseReason mReason = ConnectionCloseReason::AnswerWithClose;
  int mRequests = 0;         // read on it
  bool mBusy = false;        // the last of them has no whole answer
  size_t mUnread = 0;        // bytes received and dropped
  Millis mAge{};             // since it was accepted
  Millis mSinceLastAnswer{}; // since its last answer, or since it was accepted
  Millis mReadTime{};        // from the last request's first byte to its last
  Millis mIdleLimit{};       // that it was judged by
};

} // namespace caraway

#endif
