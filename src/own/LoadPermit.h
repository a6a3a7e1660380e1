// LoadPermit.h: one load's turn at the weight store, given back at its end.
#ifndef caraway_own_LoadPermit_h
#define caraway_own_LoadPermit_h

#include <functional>
#include <string>

#include "own/StoreGate.h"

namespace caraway {

class LoadPermit
{
public:
  // How urgent what waits for the load is now; asked each time anew.
  using Urgency = std::function<RequestClass()>;

  // Without a gate every load goes ahead.
  LoadPermit(StoreGate* aGate, Urgency aUrgency);
  ~LoadPermit();
  LoadPermit(const LoadPermit&) = delete;
  LoadPermit& operator=(const LoadPermit&) = delete;

  bool HasPermit() const { return !mGate || mHasPermit; }
  // False when aUntil passed first.
  bool Await(TimePoint aUntil);
  // To be called often while loading; asks again as often as is needed for the
  // place not to lapse.
  void Renew();

private:
  void SendRequest();

  StoreGate* mGate;
  Urgency mUrgency;
  std::string mId;
  bool mHasPermit = false;
  TimePoint mLastRequest{};
  Millis mPollAfter{ 0 };
};

} // namespace caraway

#endif
