// AdapterPermit.h: scoped permit to load one adapter.
#ifndef caraway_own_AdapterPermit_h
#define caraway_own_AdapterPermit_h

#include "own/StoreGate.h"

namespace caraway {

class AdapterPermit
{
public:
  // Waits until aUntil at most. Without a gate every adapter is admitted.
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
