#include "store/StoreFeed.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Millis kRetry{ 150 };

// Changes come in bursts (a load begins, ends, a server beats), and each call
// is paid for. Gathered for so long, a change is known in under a second: a
// leaving server may get requests for two. What models a server holds is told
// sooner, by who orders it.
constexpr Millis kMaxGathered{ 800 };

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
StoreFeed::Start()
{
  ++mRound;
  mListing = true;
  mPages.clear();
  List("");
}

void
StoreFeed::Stop()
{
  ++mRound;
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
StoreFeed::Later(bool aList)
{
  uint64_t round = mRound;
  mReactor.After(kRetry, [this, round, aList] {
    if (round != mRound) {
      return;
    }
    if (aList) {
      Start();
    } else {
      Watch(mWatchTime);
    }
  });
}

void
StoreFeed::List(const std::string& aAfter)
{
  uint64_t round = mRound;
  if (aAfter.empty()) {
    mListStartedAt = mReactor.Now();
  }
  mStore.Call(
    "list",
    wire::ListCall(mKind, aAfter, false),
    [this, round, aAfter](StoreOutcome aOutcome, const std::string& aBody) {
      if (round != mRound) {
        return;
      }
      auto page = aOutcome == StoreOutcome::Done ? wire::ReadListAnswer(aBody)
                                                 : std::nullopt;
      if (!page) {
        Later(true);
        return;
      }
      if (aAfter.empty()) {
        mListAsOf = page->mAsOf;
      }
      std::string last =
        page->mChanges.empty() ? "" : page->mChanges.back().mObject.mName;
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
      mEvents.mWhole(all);
      mEvents.mNews();
      Watch(mWatchTime);
    });
}

void
StoreFeed::Watch(Millis aWait)
{
  uint64_t round = mRound;
  mStore.Wait("watch",
              wire::WatchCall(mKind, mAsOf, aWait),
              aWait,
              [this, round](StoreOutcome aOutcome, const std::string& aBody) {
                if (round != mRound) {
                  return;
                }
                if (aOutcome == StoreOutcome::Gone) {
                  Refresh("history gone");
                  return;
                }
                auto page = aOutcome == StoreOutcome::Done
                              ? wire::ReadWatchAnswer(aBody)
                              : std::nullopt;
                if (!page) {
                  Later(false);
                  return;
                }
                mAsOf = std::max(mAsOf, page->mAsOf);
                mConfirmedAt = mReactor.Now();
                for (const StoreChange& change : page->mChanges) {
                  mEvents.mChange(change);
                }
                mEvents.mNews();
                if (page->mChanges.empty()) {
                  Watch(mWatchTime);
                  return;
                }
                mReactor.After(kMaxGathered, [this, round] {
                  if (round == mRound) {
                    Watch(mWatchTime - kMaxGathered);
                  }
                });
              });
}

} // namespace caraway
