// ModelOrder.h: orders that the lease holder sends to a model server, and the
// server's answers.
#ifndef caraway_decide_ModelOrder_h
#define caraway_decide_ModelOrder_h

#include <cstdint>
#include <string>

#include "decide/BackendEntry.h"

namespace caraway {

struct ModelOrder
{
  bool mLoad = true; // false = unload
  std::string mModel;
  std::string mAdapter; // "" = the model itself
  // Orders that the server has accepted so far; it refuses another count.
  int64_t mOrderCount = 0;
  std::string mHolder; // instance that sends the order
  int64_t mToken = 0;  // fencing token of the lease
};

enum class OrderAnswer
{
  Accepted,    // in progress
  AlreadyDone, // no change needed, or done at once
  Busy,        // another order is in progress, or the count of orders differs
  Fenced,      // the server has seen a higher fencing token
  WrongServer, // another server answers at the address
  Refused,     // the order is invalid
  Unknown,     // no answer: may be carried out, now or later
};

struct ServerReport
{
  HeldModels mModels;
  bool mBusy = false; // an order is in progress
  int64_t mOrderCount = 0;
  int64_t mStartTime = 0; // of the server, Unix ms
};

} // namespace caraway

#endif
