// ServerInventory.h: upper bound of what a server holds, derived from the
// orders it has accepted.
//
// A server that is ordered to load more than fits in its memory fails as a
// whole. A server accepts an order only under the exact count of orders
// accepted so far, so an order is safe if the content after that count is
// known. Invariant: while Known(), the server's content after OrderCount()
// accepted orders is within UpperBound(), whoever sent the orders and however
// late they are carried out. Only a report of an idle server, and own orders
// accepted after it, establish that content. Room is kept for orders from
// before a restart; see LateOrders.
#ifndef caraway_decide_ServerInventory_h
#define caraway_decide_ServerInventory_h

#include <set>
#include <string>
#include <vector>

#include "caraway/Time.h"
#include "decide/LateOrders.h"
#include "decide/ModelOrder.h"
#include "decide/ServingConfig.h"

namespace caraway {

class ServerInventory
{
public:
  explicit ServerInventory(int64_t aStartTime = 0)
    : mStartTime(aStartTime)
  {
  }
  // The server restarted under the same id. Orders sent before the restart may
  // still reach it.
  void Restart(int64_t aStartTime);
  // Marks the content as unknown until the next report.
  void MarkUnknown() { mOrderCount = -1; }

  bool Known() const { return mOrderCount >= 0; }
  // Accepted; negative = unknown.
  int64_t OrderCount() const { return mOrderCount; }
  // Start time of the server, Unix ms.
  int64_t StartTime() const { return mStartTime; }
  // Content that requests may use: without pending loads and unloads.
  HeldModels Usable() const;
  bool Holds(const std::string& aModel, const std::string& aAdapter) const;
  // All that may take memory by the orders accepted so far.
  const HeldModels& UpperBound() const { return mHeld; }
  // Whether the server, once it has accepted aOrder as its next one, holds no
  // more than there is room for, also if late orders follow.
  bool Fits(const EngineSpec& aEngine,
            const ModelOrder& aOrder,
            TimePoint aNow) const;
  // Whether orders from before a restart may still be carried out.
  bool MayGetLateOrders(TimePoint aNow) const
  {
    return mLate.CountOfOtherLives(mStartTime, aNow) > 0;
  }
  // Room that late orders may take once aOrders more have been accepted.
  RoomUse RoomForLateOrders(const EngineSpec& aEngine,
                            int aOrders,
                            TimePoint aNow) const;
  const LateOrders& Late() const { return mLate; }

  // Own orders accepted since the report that established the content.
  int OrdersSinceReport() const { return mOrdersSinceReport; }
  // Whether a report of an idle server, of the same start and count, shows
  // something that isn't within the content known here: an order decided by
  // that content may exceed the server's room.
  bool Underestimates(const ServerReport& aReport) const;

  // Returns true if the report establishes the content: it has the same start
  // time, comes from an idle server, and isn't older than an accepted order.
  bool OnReport(const ServerReport& aReport);
  // The server accepted aOrder under the count OrderCount(). aDone: it has been
  // carried out already.
  void OnAccepted(const ModelOrder& aOrder, bool aDone);
  // Each order is recorded as it is sent, and until the server has answered it:
  // whatever becomes of its sender meanwhile, it may be carried out.
  void OnSent(const ModelOrder& aOrder, TimePoint aNow);
  // aStartTime: of the server that the order was sent to.
  void OnAnswered(const ModelOrder& aOrder, int64_t aStartTime);
  // Orders of other holders; see LateOrders.
  void OnToldOfOrder(SentOrder aSent) { mLate.OnTold(std::move(aSent)); }
  void SetUnknownOrders(TimePoint aUntil,
                        int64_t aLowestCount,
                        int64_t aHighestCount)
  {
    mLate.SetUnknown(aUntil, aLowestCount, aHighestCount);
  }
  void ForgetOldOrders(TimePoint aNow) { mLate.Forget(aNow); }
  // The last accepted load has finished.
  void OnLoadFinished();
  // A report shows that a load assumed to be finished is still in progress.
  // Returns true if it was assumed finished until now.
  bool OnLoadStillPending(const ServerReport& aReport);
  bool Loading() const { return !mPendingLoads.empty(); }

private:
  bool SameStart(const ServerReport& aReport) const;

  int64_t mStartTime = 0;
  int64_t mOrderCount = -1;
  int mOrdersSinceReport = 0;
  HeldModels mHeld; // including pending loads and unloads
  // Subsets of mHeld.
  std::set<std::pair<std::string, std::string>> mPendingLoads;
  std::set<std::pair<std::string, std::string>> mPendingUnloads;
  // Model and adapter of the last accepted order if that was a load; empty if
  // it was an unload or isn't known.
  std::pair<std::string, std::string> mLastLoad;
  LateOrders mLate; // of all lives of the server
};

} // namespace caraway

#endif
