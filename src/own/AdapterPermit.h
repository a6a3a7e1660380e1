// AdapterPermit.h: one adapter's way to an engine, given back at its end.
#ifndef caraway_own_AdapterPermit_h
#define caraway_own_AdapterPermit_h

#include "own/StoreGate.h"

namespace caraway {

class AdapterPermit
{
public:
  // Waits until aUntil at most. Without a gate every adapter goes ahead.
  AdapterPermit(StoreGate* aGate, TimePoint aUntil)
    : mGate(aGate)
    , mIn(!aGate || aGate->EnterAdapter(aUntil))
  {
  }
  ~AdapterPermit()
  {
    if (mGate && mIn) {
      mGate->LeaveAdapter();
    }
  }
  AdapterPermit(const AdapterPermit&) = delete;
  AdapterPermit& operator=(const AdapterPermit&) = delete;

  bool In() const { return mIn; }

private:
  StoreGate* mGate;
  bool mIn;
};

} // namespace caraway

#endif
