// LateOrders.h: orders to a server that may still be carried out.
//
// A server checks an order's count only as it carries the order out, which may
// be seconds after its sender gave up. Within one life of the server a late
// order is harmless: the content at its count was known when it was sent. After
// a restart under the same id the counts begin anew, and a late order of the
// former life may meet its count again, with another content. So what such an
// order would load has to find room at that count.
#ifndef caraway_decide_LateOrders_h
#define caraway_decide_LateOrders_h

#include <optional>
#include <vector>

#include "caraway/Time.h"
#include "decide/ModelOrder.h"
#include "decide/ServerRoom.h"

namespace caraway {

// An order that the server hasn't answered.
struct SentOrder
{
  ModelOrder mOrder;
  int64_t mStartTime = 0;  // of the server when the order was sent, Unix ms
  TimePoint mUntil{};      // may be carried out until then
  TimePoint mKnownSince{}; // by this instance
};

class LateOrders
{
public:
  // An unanswered order may still be carried out within this time.
  static constexpr Millis kMaxOrderDelay{ 20000 };

  void OnSent(const ModelOrder& aOrder, int64_t aStartTime, TimePoint aNow);
  // The server has answered the order, so it won't be carried out any more.
  void OnAnswered(const ModelOrder& aOrder, int64_t aStartTime);
  void Forget(TimePoint aNow);

  // An order that another instance sent and that wasn't answered.
  void OnTold(SentOrder aSent);
  // One more order, of which only its sender knew, may be carried out until
  // aUntil, under a count from aLowestCount to aHighestCount. Replaces what was
  // set before.
  void SetUnknown(TimePoint aUntil,
                  int64_t aLowestCount,
                  int64_t aHighestCount);

  const std::vector<SentOrder>& Sent() const { return mSent; }
  // Number of orders sent in other lives of the server than aStartTime, the
  // unknown one included.
  int CountOfOtherLives(int64_t aStartTime, TimePoint aNow) const;
  // Whether an order sent at this count in the life that began at aStartTime is
  // without an answer.
  bool HasAt(int64_t aStartTime, int64_t aCount) const;
  // Whether an order became known at aSince or later that may be carried out
  // beside one sent at aCount in the life that began at aStartTime. Of several
  // at one count of a life only one can be.
  bool HasOthersSince(TimePoint aSince,
                      int64_t aStartTime,
                      int64_t aCount) const;
  // Room that orders of other lives may take before the next order of this
  // life: those at aCount, then those at the next count, and so on. aHeld: the
  // server's content at aCount.
  RoomUse RoomAt(const EngineSpec& aEngine,
                 const HeldModels& aHeld,
                 int64_t aStartTime,
                 int64_t aCount,
                 TimePoint aNow) const;

private:
  // The room taken by the largest load among the orders at aCount; nothing if
  // there is no order at that count. Only one of them can be carried out.
  std::optional<RoomUse> LargestAt(const EngineSpec& aEngine,
                                   const HeldModels& aHeld,
                                   int64_t aStartTime,
                                   int64_t aCount,
                                   TimePoint aNow) const;

  std::vector<SentOrder> mSent;
  TimePoint mUnknownUntil{};
  // Counts.
  int64_t mUnknownFrom = 0;
  int64_t mUnknownTo = 0;
};

} // namespace caraway

#endif
