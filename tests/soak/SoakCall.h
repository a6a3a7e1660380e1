// SoakCall.h: one request of the soak, as its caller and the servers saw it.
#ifndef caraway_soak_SoakCall_h
#define caraway_soak_SoakCall_h

#include <string>

#include "caraway/Time.h"

namespace caraway {

enum class SoakKind
{
  Order,  // at most once
  Read,   // idempotent
  Stream, // at most once
  Resume, // a stream that may be resumed
};

struct SoakCall
{
  std::string mId;
  // Of a stream that its caller resumed: the attempt that began it, and the
  // number of its events that the caller had.
  std::string mResumes;
  int mReceived = 0;
  SoakKind mKind = SoakKind::Order;
  std::string mTenant;
  std::string mModel;      // of a stream
  std::string mCrashPart;  // crashes servers; "" = a sound request
  Millis mRetryAfter{ 0 }; // of the answer
  size_t mInstance = 0;
  int mRequestsOnConnection = 0; // earlier requests on its connection
  TimePoint mSent{};
  TimePoint mEnded{}; // complete answer, or end of the connection
  int mStatus = 0;    // 0 if no response head was received
  bool mComplete = false;
  bool mConnected = false;
  bool mCallerLeft = false; // the caller closed the connection
  std::string mBody;
};

} // namespace caraway

#endif
