// QueuedRequest.h: a request waiting for an engine slot.
#ifndef caraway_decide_QueuedRequest_h
#define caraway_decide_QueuedRequest_h

#include <cstdint>
#include <string>

#include "caraway/RequestClass.h"
#include "caraway/Time.h"

namespace caraway {

struct QueuedRequest
{
  uint64_t mId = 0;
  std::string mTenant;
  RequestClass mClass = RequestClass::Interactive;
  uint64_t mRequestDigest = 0; // recognizes a retry; see RetrySchedule
  double mTokens = 1;          // expected cost
  TimePoint mStartBy{};        // deadline for the start
  TimePoint mArrived{};
};

} // namespace caraway

#endif
