// RequestEndReportsKept.cpp: ends of servers under requests in the store, one
// object of each instance, for the time after all instances were killed.
#include <algorithm>

#include "crash/RequestEndReports.h"
#include "platform/JsonReading.h"

namespace caraway {

namespace {

constexpr char kKind[] = "caraway-request-ends";

// An answer that says that its server broke off is held back until the other
// instances and the store know; no longer than kMaxHold.
constexpr Millis kMinHold{ 10 };
constexpr Millis kMaxHold{ 100 };

constexpr Millis kRetryInterval{ 300 };

// Of one object; an end takes some 150 bytes.
constexpr size_t kMaxStored = 256;

// Limit of the writes of all instances together, a part of what the store
// takes.
constexpr double kFleetWritesPerSecond = 100;
constexpr double kWriteBurst = 3;

// Objects of instances that have gone are removed after this.
constexpr int64_t kOutdatedMs = 20 * 60 * 1000;

} // namespace

int64_t
RequestEndReports::UnixMs() const
{
  auto now = mState.mReactor.SourceClock().WallNow().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

// ---- Writing

void
RequestEndReports::WriteSoon()
{
  mOutdated = true;
  if (mWriting || mWriteDue) {
    return;
  }
  mWriteDue = true;
  TimePoint now = mState.Now();
  mWriteBudget.Resize(
    kFleetWritesPerSecond / std::max(1, mState.mInstances), kWriteBurst, now);
  Millis wait = mFailing ? kRetryInterval : mWriteBudget.Until(1, now);
  mState.mReactor.After(wait, [this] {
    mWriteDue = false;
    Write();
  });
}

// Those that this instance reported, or that an earlier process of it had
// stored.
std::vector<RunEnd>
RequestEndReports::OwnEnds() const
{
  std::vector<RunEnd> own;
  for (RunEnd& end : mEnds.Latest(SIZE_MAX)) {
    if (own.size() < kMaxStored && mOwn.count({ end.mRequest, end.mLife })) {
      own.push_back(std::move(end));
    }
  }
  return own;
}

void
RequestEndReports::Write()
{
  mWriting = true;
  mOutdated = false;
  mWriteBudget.Overdraw(1, mState.Now());
  uint64_t write = ++mWrites;
  std::vector<RunEnd> own = OwnEnds();
  mOwn.clear();
  for (const RunEnd& end : own) {
    mOwn.emplace(end.mRequest, end.mLife);
  }
  StoreObject object;
  object.mName = mState.mSettings.mName;
  object.mRevision = mRevision;
  object.mSpec["written"] = Json::Int64(UnixMs());
  object.mSpec["ends"] = ToJson(own);
  mStore.Call("request_ends_write",
              mRevision > 0 ? wire::ReplaceCall(kKind, object)
                            : wire::CreateCall(kKind, object),
              [this, write](StoreOutcome aOutcome, const std::string& aBody) {
                OnWritten(write, aOutcome, aBody);
              });
}

void
RequestEndReports::OnWritten(uint64_t aWrite,
                             StoreOutcome aOutcome,
                             const std::string& aBody)
{
  mWriting = false;
  auto object = wire::ReadObjectAnswer(aBody);
  mFailing = false;
  if (aOutcome == StoreOutcome::Done && object) {
    mRevision = object->mRevision;
    mWritten = aWrite;
  } else {
    mOutdated = true;
    if (aOutcome == StoreOutcome::Conflict && object) {
      // Written by an earlier process, or by a write whose answer was lost.
      mRevision = object->mRevision;
      TakeFrom(*object);
    } else if (aOutcome == StoreOutcome::Missing) {
      mRevision = 0;
    } else {
      mFailing = true;
    }
  }
  if (mOutdated) {
    WriteSoon();
  }
  CallWaiters();
}

void
RequestEndReports::WhenStored(std::function<void()> aDone)
{
  bool pending = mOutdated || mWriting;
  Millis most = pending && !mFailing ? kMaxHold : kMinHold;
  uint64_t write = mOutdated ? mWrites + 1 : mWrites;
  TimePoint now = mState.Now();
  mWaiters.push_back({ write, now + kMinHold, now + most, std::move(aDone) });
  mState.mReactor.After(kMinHold, [this] { CallWaiters(); });
  mState.mReactor.After(most, [this] { CallWaiters(); });
}

void
RequestEndReports::CallWaiters()
{
  TimePoint now = mState.Now();
  std::vector<Waiter> due;
  std::vector<Waiter> left;
  for (Waiter& waiter : mWaiters) {
    bool stored = waiter.mWrite <= mWritten || mFailing;
    bool ready = now >= waiter.mUntil || (stored && now >= waiter.mNotBefore);
    (ready ? due : left).push_back(std::move(waiter));
  }
  mWaiters = std::move(left);
  for (const Waiter& waiter : due) {
    waiter.mDone();
  }
}

// ---- Reading

void
RequestEndReports::ReadPage(const std::string& aAfter)
{
  mStore.Call("request_ends_read",
              wire::ListCall(kKind, aAfter, false),
              [this](StoreOutcome aOutcome, const std::string& aBody) {
                OnPage(aOutcome, aBody);
              });
}

void
RequestEndReports::OnPage(StoreOutcome aOutcome, const std::string& aBody)
{
  auto page = wire::ReadListAnswer(aBody);
  if (aOutcome != StoreOutcome::Done || !page) {
    mState.mReactor.After(kRetryInterval, [this] { ReadPage(""); });
    return;
  }
  for (const StoreChange& change : page->mChanges) {
    TakeFrom(change.mObject);
  }
  if (page->mMore && !page->mChanges.empty()) {
    ReadPage(page->mChanges.back().mObject.mName);
    return;
  }
  mKnown = true;
}

// Ages are kept as they were written, so that a clock that jumps moves all ends
// of an object together.
void
RequestEndReports::TakeFrom(const StoreObject& aObject)
{
  auto written = wire::Integer(aObject.mSpec, "written");
  if (!written) {
    return;
  }
  int64_t age = std::max<int64_t>(UnixMs() - *written, 0);
  const Json::Value& ends = wire::Field(aObject.mSpec, "ends");
  if (aObject.mName == mState.mSettings.mName) {
    mRevision = std::max(mRevision, aObject.mRevision);
    for (const Json::Value& one : ends) {
      mOwn.emplace(wire::Text(one, "request").value_or(""),
                   wire::Text(one, "life").value_or(""));
    }
  } else if (age >= kOutdatedMs) {
    mStore.Call("request_ends_drop",
                wire::DeleteCall(kKind, aObject.mName, aObject.mRevision),
                [](StoreOutcome, const std::string&) {
                  // The next process that starts tries again.
                });
    return;
  }
  ReadEnds(ends, Millis(std::min(age, kOutdatedMs)));
}

} // namespace caraway
