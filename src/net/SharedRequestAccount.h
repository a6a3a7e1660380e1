// SharedRequestAccount.h: a RequestAccount that the threads of all ports of a
// process share.
#ifndef caraway_net_SharedRequestAccount_h
#define caraway_net_SharedRequestAccount_h

#include <functional>
#include <mutex>

#include "intake/RequestAccount.h"

namespace caraway {

class SharedRequestAccount
{
public:
  explicit SharedRequestAccount(RequestAccountLimits aLimits);

  // See RequestAccount. aGiveUp is called under the account's lock, on any
  // thread, and must not call the account.
  RequestAccount::Id Add(RequestAccount::Group aGroup,
                         std::function<void()> aGiveUp);
  void Remove(RequestAccount::Id aId);
  bool Set(RequestAccount::Id aId, const HeldBytes& aHeld);
  void Progress(RequestAccount::Id aId, size_t aBytes);
  size_t GiveUpStanding(RequestAccount::Group aGroup, size_t aCount);
  size_t MostForOne() const;
  // A copy of its figures, for metrics.
  RequestAccountFigures Figures() const;

private:
  mutable std::mutex mLock;
  RequestAccount mAccount;
};

} // namespace caraway

#endif
