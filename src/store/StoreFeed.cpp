#include "store/StoreFeed.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Millis kRetryDelay{ 150 };

// Time between two watches, in which changes are batched: they come in bursts
// (a load begins or ends, a server sends its heartbeat), and each call is
// billed. A change is still known within a second, while a leaving server may
// get requests for two. What models a server holds is reported sooner, by the
// instance that orders the loads.
constexpr Millis kBatchInterval{ 800 };

} // namespace

StoreFeed::StoreFeed(Reactor& aReactor,
                     EventLog& aLog,
                     StoreClient& aStore,
                     std::string aKind,
                     Millis aWatchTime,
                     Events aEvents)
  : mReactor(aReactor)
  , mLog(aLog)
  , mStore(aStore)
  , mKind(std::move(aKind))
  , mWatchTime(aWatchTime)
  , mEvents(std::move(aEvents))
{
}

void
StoreFeed::Start(FirstWatch aFirst)
{
  mFirstWatch = aFirst;
  ListAll();
}

void
StoreFeed::ListAll()
{
  ++mGeneration;
  mListing = true;
  mPages.clear();
  List("");
}

void
StoreFeed::Stop()
{
  ++mGeneration;
  mListing = false;
  mPages.clear();
}

void
StoreFeed::Refresh(const char* aWhy)
{
  if (!mListing) {
    mLog.Line("list_refresh").Text("kind", mKind).Text("why", aWhy);
    Start();
  }
}

void
StoreFeed::RetryLater(bool aList)
{
  uint64_t generation = mGeneration;
  mReactor.After(kRetryDelay, [this, generation, aList] {
    if (generation != mGeneration) {
      return;
    }
    if (aList) {
      ListAll();
    } else {
      Watch(mWatchTime);
    }
  });
}

void
StoreFeed::List(const std::string& aAfter)
{
  uint64_t generation = mGeneration;
  if (aAfter.empty()) {
    mListStartedAt = mReactor.Now();
  }
  mStore.Call("list",
              wire::ListCall(mKind, aAfter, false),
              [this, generation, aAfter](StoreOutcome aOutcome,
                                         const std::string& aBody) {
                if (generation != mGeneration) {
                  return;
                }
                auto page = aOutcome == StoreOutcome::Done
                              ? wire::ReadListAnswer(aBody)
                              : std::nullopt;
                if (!page) {
                  RetryLater(true);
                  return;
                }
                if (aAfter.empty()) {
                  mListAsOf = page->mAsOf;
                }
                std::string last = page->mChanges.empty()
                                     ? ""
                                     : page->mChanges.back().mObject.mName;
                std::move(page->mChanges.begin(),
                          page->mChanges.end(),
                          std::back_inserter(mPages));
                if (page->mMore && !last.empty()) {
                  List(last);
                  return;
                }
                mListing = false;
                mAsOf = mListAsOf;
                mConfirmedAt = mListStartedAt;
                std::vector<StoreChange> all = std::move(mPages);
                mPages.clear();
                mEvents.mSnapshot(all);
                mEvents.mAnswered();
                if (mFirstWatch == FirstWatch::AtOnce) {
                  Watch(mWatchTime);
                } else {
                  WatchAfterBatch();
                }
              });
}

void
StoreFeed::Watch(Millis aWait)
{
  uint64_t generation = mGeneration;
  mStore.LongPoll(
    "watch",
    wire::WatchCall(mKind, mAsOf, aWait),
    aWait,
    [this, generation, aWait, sentAt = mReactor.Now()](
      StoreOutcome aOutcome, const std::string& aBody) {
      if (generation != mGeneration) {
        return;
      }
      if (aOutcome == StoreOutcome::Gone) {
        Refresh("revision no longer in the store's history");
        return;
      }
      auto page = aOutcome == StoreOutcome::Done ? wire::ReadWatchAnswer(aBody)
                                                 : std::nullopt;
      if (!page) {
        RetryLater(false);
        return;
      }
      mAsOf = std::max(mAsOf, page->mAsOf);
      mConfirmedAt = std::max(
        mConfirmedAt, AnsweredAt(sentAt, aWait, !page->mChanges.empty()));
      for (const StoreChange& change : page->mChanges) {
        mEvents.mChange(change);
      }
      mEvents.mAnswered();
      if (page->mChanges.empty()) {
        Watch(NextWait(sentAt + aWait));
        return;
      }
      WatchAfterBatch();
    });
}

// The wait of the watch after one whose answer was due at aDue. Watches end
// mWatchTime apart, however long their answers take: those who rely on them
// would read a slow store by themselves otherwise.
Millis
StoreFeed::NextWait(TimePoint aDue) const
{
  auto late = std::chrono::duration_cast<Millis>(mReactor.Now() - aDue);
  return std::clamp(mWatchTime - late, mWatchTime / 2, mWatchTime);
}

// When the store answered a watch, at the earliest. The answer may have lain
// unread while the loop was held up. One without a change was given once the
// wait was over, however long it was on its way.
TimePoint
StoreFeed::AnsweredAt(TimePoint aSentAt, Millis aWait, bool aChanged) const
{
  TimePoint arrivedAt = mReactor.Now() - mReactor.Lag();
  TimePoint at = aChanged ? arrivedAt : std::min(arrivedAt, aSentAt + aWait);
  return std::max(at, aSentAt);
}

void
StoreFeed::WatchAfterBatch()
{
  uint64_t generation = mGeneration;
  mReactor.After(kBatchInterval, [this, generation] {
    if (generation == mGeneration) {
      Watch(mWatchTime - kBatchInterval);
    }
  });
}

} // namespace caraway
