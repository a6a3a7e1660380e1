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
    , mHasPermit(!aGate || aGate->AcquireAdapter(aUntil))
  {
  }
  ~AdapterPermit()
  {
    if (mGate && mHasPermit) {
      mGate->ReleaseAdapter();
    }
  }
  AdapterPermit(const AdapterPermit&) = delete;
  AdapterPermit& operator=(const AdapterPermit&) = delete;

  bool HasPermit() const { return mHasPermit; }

private:
  StoreGate* mGate;
  bool mHasPermit;
};

} // namespace caraway

#endif
