// StoreFeed.h: follows the objects of one kind, first as a list, then change
// by change.
#ifndef caraway_store_StoreFeed_h
#define caraway_store_StoreFeed_h

#include <functional>
#include <string>

#include "store/StoreClient.h"

namespace caraway {

class StoreFeed
{
public:
  struct Events
  {
    // All there is; what isn't among it is gone.
    std::function<void(const std::vector<StoreChange>&)> mSnapshot;
    std::function<void(const StoreChange&)> mChange;
    std::function<void()> mAnswered; // after each answer, whatever it brought
  };

  // aWatchTime: how long a watch waits for a change; longer than changes are
  // gathered, which counts for the next one. One whose connection died
  // in silence is found after this and the client's margin.
  StoreFeed(Reactor& aReactor,
            EventLog& aLog,
            StoreClient& aStore,
            std::string aKind,
            Millis aWatchTime,
            Events aEvents);

  void Start();
  // Makes no more calls until Start(); answers on their way are dropped.
  void Stop();
  // Reads the whole list anew, unless that is under way.
  void Refresh(const char* aWhy);

  int64_t AsOf() const { return mAsOf; } // 0 = nothing was read yet
  // When the store was last known to have nothing newer.
  TimePoint ConfirmedAt() const { return mConfirmedAt; }

private:
  void List(const std::string& aAfter);
  void Watch(Millis aWait);
  void RetryLater(bool aList);

  Reactor& mReactor;
  EventLog& mLog;
  StoreClient& mStore;
  std::string mKind;
  Millis mWatchTime;
  Events mEvents;
  std::vector<StoreChange> mPages;
  int64_t mAsOf = 0;
  int64_t mListAsOf = 0;    // of the first page: later pages may show more
  uint64_t mGeneration = 0; // answers of earlier rounds are dropped
  bool mListing = false;
  TimePoint mListStartedAt{};
  TimePoint mConfirmedAt{};
};

} // namespace caraway

#endif
