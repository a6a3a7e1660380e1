// LoadPermit.h: scoped permit to load from the weight store.
#ifndef caraway_own_LoadPermit_h
#define caraway_own_LoadPermit_h

#include <functional>
#include <string>

#include "own/StoreGate.h"

namespace caraway {

class LoadPermit
{
public:
  // Current class of the most urgent request that waits for the load; called
  // for each request to the gate.
  using Urgency = std::function<RequestClass()>;

  // Without a gate every load is admitted.
  LoadPermit(StoreGate* aGate, Urgency aUrgency);
  ~LoadPermit();
  LoadPermit(const LoadPermit&) = delete;
  LoadPermit& operator=(const LoadPermit&) = delete;

  bool HasPermit() const { return !mGate || mHasPermit; }
  // Waits for the permit. False when aUntil passes first.
  bool Await(TimePoint aUntil);
  // Keeps the permit from expiring. To be called often during the load; sends a
  // request only when one is due.
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
