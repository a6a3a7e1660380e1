// CarriedRequests.h: the requests that a connection has carried, and which
// ones it may carry next.
//
// A faulty server may answer a request a second time, late: where the answer to
// the next request on the connection is due. An answer names no more than the
// id of its request, which all sends of the request share. Read as the answer
// to another send, it tells a caller "not run" of a request that runs, or makes
// one run twice.
#ifndef caraway_decide_CarriedRequests_h
#define caraway_decide_CarriedRequests_h

#include <cstddef>
#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

// How the answer to a request is told from a second or late one to another.
enum class AnswerIdentity
{
  None,      // by nothing
  RequestId, // it names the request
  Trusted,   // the other side answers each request once, and in order
};

struct RequestIdentity
{
  AnswerIdentity mBy = AnswerIdentity::None;
  std::string mId;    // if mBy is RequestId
  TimePoint mUntil{}; // the same: nobody sends the request later
};

class CarriedRequests
{
public:
  // No send of a request uses a connection that has carried it, and a request
  // that its answers don't name uses one that has carried nothing.
  bool MayCarry(const RequestIdentity& aNext) const;
  void Add(const RequestIdentity& aSent, TimePoint aNow);
  // False once a second answer may come that names no request.
  bool Reusable() const { return !mUnnamed; }

private:
  struct Carried
  {
    size_t mIdHash = 0; // that two ids share one costs a new connection
    TimePoint mUntil;
  };

  std::vector<Carried> mNamed; // those that may still be sent again
  bool mUnnamed = false;
  bool mAny = false;
};

} // namespace caraway

#endif
