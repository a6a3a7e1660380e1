// StoreFeed.h: follows the objects of one kind, by a list first and by watches
// from then on.
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
    // The complete list; an object that isn't in it doesn't exist.
    std::function<void(const std::vector<StoreChange>&)> mSnapshot;
    std::function<void(const StoreChange&)> mChange;
    std::function<void()> mAnswered; // after each answer, even an empty one
  };

  // When the first watch after a list begins. AfterBatch makes no watch for an
  // instance that follows another by then; AtOnce is for the one that others
  // are about to follow.
  enum class FirstWatch
  {
    AfterBatch,
    AtOnce,
  };

  // aWatchTime is how long a watch waits for a change. It must be longer than
  // the batch interval, which is deducted from the next watch. A watch whose
  // connection died silently is detected after this time and the client's
  // margin.
  StoreFeed(Reactor& aReactor,
            EventLog& aLog,
            StoreClient& aStore,
            std::string aKind,
            Millis aWatchTime,
            Events aEvents);

  void Start(FirstWatch aFirst = FirstWatch::AfterBatch);
  // Makes no calls until Start(); pending answers are ignored.
  void Stop();
  // Reads the complete list again, unless it is being read.
  void Refresh(const char* aWhy);

  // The complete list is being read.
  bool Listing() const { return mListing; }
  int64_t AsOf() const { return mAsOf; } // 0 = nothing read yet
  // When the store was last known to have nothing newer.
  TimePoint ConfirmedAt() const { return mConfirmedAt; }

private:
  void ListAll();
  void List(const std::string& aAfter);
  void Watch(Millis aWait);
  void WatchAfterBatch();
  Millis NextWait(TimePoint aDue) const;
  void RetryLater(bool aList);
  TimePoint AnsweredAt(TimePoint aSentAt, Millis aWait, bool aChanged) const;

  Reactor& mReactor;
  EventLog& mLog;
  StoreClient& mStore;
  std::string mKind;
  Millis mWatchTime;
  Events mEvents;
  FirstWatch mFirstWatch = FirstWatch::AfterBatch;
  std::vector<StoreChange> mPages;
  int64_t mAsOf = 0;
  int64_t mListAsOf = 0;    // of the first page; later pages may be newer
  uint64_t mGeneration = 0; // answers to calls of earlier ones are ignored
  bool mListing = false;
  TimePoint mListStartedAt{};
  TimePoint mConfirmedAt{};
};

} // namespace caraway

#endif
