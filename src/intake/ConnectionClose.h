// ConnectionClose.h: why this instance closed a connection, for the log.
#ifndef caraway_intake_ConnectionClose_h
#define caraway_intake_ConnectionClose_h

#include <cstddef>

#include "caraway/Time.h"

namespace caraway {

enum class ConnectionCloseReason
{
  AnswerWithClose,  // the last answer carried "Connection: close"
  InvalidRequest,   // malformed, too large or too slow
  IdleTimeout,      // idle for longer than the limit
  Leaving,          // idle while the instance is leaving
  AnswerAborted,    // the answer in progress can't be completed
  SlowReader,       // too much of the answer is unsent
  InstanceExit,     // the process exits
  OutOfMemory,      // its partial request, as others need the memory
  OutOfDescriptors, // stands still, and another connection needs its place
};

const char*
ConnectionCloseReasonName(ConnectionCloseReason aReason);

// State of a connection that this instance closes, for the log.
struct ConnectionClose
{
  ConnectionCloseReason mReason = ConnectionCloseReason::AnswerWithClose;
  int mRequests = 0;         // read on the connection
  bool mBusy = false;        // the last request has no complete answer
  size_t mUnread = 0;        // bytes received and discarded
  Millis mAge{};             // since it was accepted
  Millis mSinceLastAnswer{}; // or since it was accepted, if none
  Millis mReadTime{};        // from the last request's first to last byte
  Millis mIdleLimit{};       // in force for the connection
};

} // namespace caraway

#endif
