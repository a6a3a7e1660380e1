// QueuedRequest.h: one request waiting for a place at an engine.
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
  uint64_t mRequestDigest = 0; // digest of what it asks for
  double mTokens = 1;          // expected work
  TimePoint mStartBy{};        // later is useless
  TimePoint mArrived{};
};

} // namespace caraway

#endif
