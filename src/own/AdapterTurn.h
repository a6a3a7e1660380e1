// AdapterTurn.h: one adapter's way to an engine, given back at its end.
#ifndef caraway_own_AdapterTurn_h
#define caraway_own_AdapterTurn_h

#include "own/StoreGate.h"

namespace caraway {

class AdapterTurn
{
public:
  // Waits until aUntil at most. Without a gate every adapter goes ahead.
  AdapterTurn(StoreGate* aGate, TimePoint aUntil)
    : mGate(aGate)
    , mIn(!aGate || aGate->EnterAdapter(aUntil))
  {
  }
  ~AdapterTurn()
  {
    if (mGate && mIn) {
      mGate->LeaveAdapter();
    }
  }
  AdapterTurn(const AdapterTurn&) = delete;
  AdapterTurn& operator=(const AdapterTurn&) = delete;

  bool In() const { return mIn; }

private:
  StoreGate* mGate;
  bool mIn;
};

} // namespace caraway

#endif
