// ModelOrder.h: what a holder may order of a model server, and what comes
// back.
#ifndef caraway_decide_ModelOrder_h
#define caraway_decide_ModelOrder_h

#include <cstdint>
#include <optional>
#include <string>

#include "decide/BackendEntry.h"

namespace caraway {

struct ModelOrder
{
  bool mLoad = true; // else unload
  std::string mModel;
  std::string mAdapter; // "" = the model itself
  int64_t mOrders = 0;  // accepted so far; the server refuses if it differs
  std::string mHolder;  // who orders
  int64_t mToken = 0;   // fencing token of the holder's lease
};

enum class OrderAnswer
{
  Accepted,    // is being carried out
  Holds,       // was so already, or is done at once
  Busy,        // another order is under way, or the count of orders differs
  Fenced,      // a higher token was seen
  WrongServer, // another server has the address
  Refused,     // the order is wrong
  Unknown,     // no answer: it may be carried out, also later
};

struct ServerReport
{
  HeldModels mModels;
  bool mBusy = false;
  int64_t mOrders = 0;
  std::optional<int64_t> mStartTime; // of the life that it tells of, if it says
};

} // namespace caraway

#endif
