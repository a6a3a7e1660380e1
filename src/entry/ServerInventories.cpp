#include "entry/ServerInventories.h"

#include <algorithm>

#include "base/EraseIf.h"
#include "decide/RateReservations.h"
#include "decide/ServerRoom.h"
#include "entry/ServerLimits.h"
#include "load/OrderLimits.h"
#include "platform/OrderMessage.h"
#include "platform/RequestHead.h"

namespace caraway {

namespace {

constexpr Millis kReportCheckInterval{ 50 };

// Reports are about 100 ms old.
constexpr Millis kReportRetryInterval{ 120 };

constexpr Millis kRecheckInterval{ 1000 };

// One report in the window in which a rate limit counts.
constexpr Millis kLimitedReportInterval = RateReservations::kWindow;

constexpr Millis kSendTick{ 1000 };

// The token of a lease that nobody has held before.
constexpr int64_t kFirstToken = 1;

// Orders of a placement that the plan looks ahead: unloads, then the load.
constexpr int kMaxOrdersPerPlacement = 4;

// For logs: each model with the number of its adapters.
std::string
TextOf(const HeldModels& aHeld)
{
  std::string text;
  for (const auto& [model, adapters] : aHeld) {
    text +=
      (text.empty() ? "" : " ") + model + "+" + std::to_string(adapters.size());
  }
  return text;
}

} // namespace

ServerInventories::ServerInventories(EntryState& aState,
                                     Peers& aPeers,
                                     LeaseLoop& aLease,
                                     std::string aZone,
                                     std::function<void()> aChanged)
  : mState(aState)
  , mPeers(aPeers)
  , mLease(aLease)
  , mZone(std::move(aZone))
  , mChanged(std::move(aChanged))
{
}

void
ServerInventories::Start()
{
  mLease.SetHandover(
    { [this] { return UnansweredOrders(); },
      [this](const Json::Value& aOrders) { OnUnansweredOrders(aOrders); } });
  mState.mReactor.Every(kReportCheckInterval,
                        [this] { RequestMissingReports(); });
  mState.mReactor.Every(kSendTick, [this] { ForgetUnlisted(); });
  mState.mReactor.Every(kSendTick, [this] { RepeatContents(); });
}

bool
ServerInventories::InZone(const Backend& aBackend) const
{
  return aBackend.mEntry.mZone == mZone;
}

// A new lease token invalidates all inventories: another holder may have sent
// orders in the meantime.
ServerInventories::Entry&
ServerInventories::EntryOf(const std::string& aServer)
{
  if (mToken != mLease.Token()) {
    mToken = mLease.Token();
    mLeaseSince = mState.Now();
    for (auto& [server, entry] : mEntries) {
      entry.mInventory.MarkUnknown();
    }
  }
  Entry& entry = mEntries[aServer];
  entry.mListedAt = mState.Now();
  const Backend* backend = mState.mServers.Find(aServer);
  if (backend && backend->mEntry.mStartTime != entry.mInventory.StartTime()) {
    entry.mInventory.Restart(backend->mEntry.mStartTime);
    entry.mNextReportAt = TimePoint();
  }
  KeepRoomForOthersOrders(aServer, entry);
  return entry;
}

// The former holders' orders were sent before this one had the lease, and those
// to a server's former life before that life had ended. Of each of them one may
// be unknown here, sent as its holder was lost. Those that its holder knew to
// be unanswered came with the server's content.
void
ServerInventories::KeepRoomForOthersOrders(const std::string& aServer,
                                           Entry& aEntry)
{
  auto former = mState.mServers.Lives().Former(
    aServer, mState.Now(), mState.mReactor.SourceClock().WallNow());
  if (former) {
    aEntry.mInventory.SetUnknownOrders(std::min(former->mEndedAt, mLeaseSince) +
                                         LateOrders::kMaxOrderDelay,
                                       former->mLowestCount,
                                       former->mHighestCount);
  } else {
    aEntry.mInventory.SetUnknownOrders(TimePoint(), 0, 0);
  }
}

ServerInventory&
ServerInventories::Of(const std::string& aServer)
{
  return EntryOf(aServer).mInventory;
}

bool
ServerInventories::Known(const std::string& aServer)
{
  return Of(aServer).Known();
}

bool
ServerInventories::CanTakeOrder(const std::string& aServer)
{
  Entry& entry = EntryOf(aServer);
  return entry.mInventory.Known() && !entry.mLoadPending;
}

// ---- Reports

void
ServerInventories::RequestMissingReports()
{
  // Servers of an evacuated zone get no calls.
  if (!mLease.Holds() || mState.mEvacuations.Evacuated(mZone)) {
    return;
  }
  std::vector<std::string> missing;
  for (const auto& [id, backend] : mState.mServers.All()) {
    bool engine =
      mState.mConfig && mState.mConfig->EngineOf(backend.mEntry.mService);
    if (!engine || !InZone(backend)) {
      continue;
    }
    Entry& entry = EntryOf(id);
    bool wanted = !entry.mInventory.Known() || entry.mLoadPending;
    if (wanted && MayAskForReport(backend, entry)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    RequestReport(id, [](bool) {});
  }
}

// A server that has named a rate limit gets no orders, so that nothing needs
// its reports at once; they count as requests there.
bool
ServerInventories::MayAskForReport(const Backend& aBackend,
                                   const Entry& aEntry) const
{
  TimePoint next = aEntry.mNextReportAt;
  if (aBackend.mRateLimit) {
    next = std::max(next, aEntry.mReportAskedAt + kLimitedReportInterval);
  }
  return !aEntry.mReportPending && mState.Now() >= next;
}

// A server may come back under its id, and orders that were sent before may
// reach it then. So its inventory outlives its entry in the list.
void
ServerInventories::ForgetUnlisted()
{
  TimePoint now = mState.Now();
  EraseIf(mEntries, [this, now](auto& aEntry) {
    Entry& entry = aEntry.second;
    if (mState.mServers.Find(aEntry.first)) {
      entry.mListedAt = now;
    } else {
      entry.mInventory.MarkUnknown();
    }
    entry.mInventory.ForgetOldOrders(now);
    return now - entry.mListedAt > LateOrders::kMaxOrderDelay;
  });
}

void
ServerInventories::RequestReport(const std::string& aServer,
                                 std::function<void(bool)> aThen)
{
  Backend* backend = mState.mServers.Find(aServer);
  if (!backend) {
    aThen(false);
    return;
  }
  Entry& entry = EntryOf(aServer);
  entry.mReportPending = true;
  entry.mReportAskedAt = mState.Now();
  entry.mNextReportAt = mState.Now() + kReportRetryInterval;
  OutboundRequest request;
  request.mAddress = backend->mEntry.mAddress;
  request.mPeer = aServer;
  request.mHead = wire::WriteReportRequest(request.mAddress);
  int64_t startTime = backend->mEntry.mStartTime;
  TimePoint sentAt = mState.Now();
  StartBufferedCall(
    mState.mReactor,
    mState.mServerPool,
    std::move(request),
    kOrderTimeout,
    [this, aServer, startTime, sentAt, then = std::move(aThen)](
      BufferedAnswer& aAnswer) {
      auto found = mEntries.find(aServer);
      if (found != mEntries.end()) {
        found->second.mReportPending = false;
      }
      Backend* known = mState.mServers.Find(aServer);
      if (!known || known->mEntry.mStartTime != startTime) {
        then(false);
        return;
      }
      if (aAnswer.mStatus > 0) {
        ApplyNamedLimits(
          mState, aServer, wire::ReadAnswerFacts(aAnswer.mHead), sentAt);
      }
      Entry& current = EntryOf(aServer);
      auto report = wire::ReadReport(aAnswer.mBody);
      HeldModels before = known->mModels;
      if (report) {
        CheckReport(aServer, *report);
      }
      bool confirmed = report && current.mInventory.OnReport(*report);
      bool loadPending =
        report && !confirmed && current.mInventory.OnLoadStillPending(*report);
      current.mLoadPending =
        !confirmed && (current.mLoadPending || loadPending);
      current.mConfirmedAt = confirmed ? mState.Now() : current.mConfirmedAt;
      if (confirmed || loadPending) {
        ApplyAndSend(aServer);
      }
      if (known->mModels != before) {
        mState.mLog.Line("content_corrected")
          .Text("server", aServer)
          .Count("orders", report->mOrderCount)
          .Flag("still_loading", loadPending);
        mChanged();
      }
      then(confirmed);
    });
}

// A content that was believed too small: what was ordered by it may have
// exceeded the server's room. The cause is in the orders before this line.
void
ServerInventories::CheckReport(const std::string& aServer,
                               const ServerReport& aReport)
{
  const ServerInventory& inventory = Of(aServer);
  if (!inventory.Underestimates(aReport)) {
    return;
  }
  mState.mMetrics.Count("caraway_content_underestimated_total", "");
  mState.mLog.Line("content_underestimated")
    .Text("server", aServer)
    .Count("orders", aReport.mOrderCount)
    .Text("believed", TextOf(inventory.UpperBound()))
    .Text("reported", TextOf(aReport.mModels))
    .Count("own_orders", inventory.OrdersSinceReport());
}

std::map<std::string, std::vector<RoomUse>>
ServerInventories::RoomForLateOrders(const std::string& aService)
{
  std::map<std::string, std::vector<RoomUse>> room;
  const EngineSpec* engine =
    mState.mConfig ? mState.mConfig->EngineOf(aService) : nullptr;
  for (auto& [id, entry] : mEntries) {
    const ServerInventory& inventory = entry.mInventory;
    if (!engine || !inventory.Known() ||
        !inventory.MayGetLateOrders(mState.Now())) {
      continue;
    }
    for (int orders = 1; orders <= kMaxOrdersPerPlacement; ++orders) {
      room[id].push_back(
        inventory.RoomForLateOrders(*engine, orders, mState.Now()));
    }
  }
  return room;
}

void
ServerInventories::LogContent(const std::string& aServer,
                              const EngineSpec& aEngine)
{
  const Entry& entry = EntryOf(aServer);
  const ServerInventory& inventory = entry.mInventory;
  RoomUse use = RoomUsedBy(aEngine, inventory.UpperBound());
  mState.mLog.Line("place_content")
    .Text("server", aServer)
    .Text("held", TextOf(inventory.UpperBound()))
    .Number("held_mb", use.mMb)
    .Number("room_mb", aEngine.mMemoryMb)
    .Count("adapters", use.mAdapters)
    .Count("slots", aEngine.mAdapterSlots)
    .Count("orders", inventory.OrderCount())
    .Count("own_orders", inventory.OrdersSinceReport())
    .Count(
      "late_orders",
      inventory.Late().CountOfOtherLives(inventory.StartTime(), mState.Now()))
    .Ms("report_age_ms", mState.AgeOf(entry.mConfirmedAt))
    .Count("born", inventory.StartTime())
    .Count("config", mState.mConfig ? mState.mConfig->mVersion : 0);
}

void
ServerInventories::Recheck(const std::string& aServer)
{
  Entry& entry = EntryOf(aServer);
  const Backend* backend = mState.mServers.Find(aServer);
  if (backend && mState.Now() - entry.mRecheckedAt >= kRecheckInterval &&
      MayAskForReport(*backend, entry)) {
    entry.mRecheckedAt = mState.Now();
    RequestReport(aServer, [](bool) {});
  }
}

void
ServerInventories::OnOrderAnswered(const std::string& aServer,
                                   const ModelOrder& aOrder,
                                   int64_t aStartTime,
                                   OrderAnswer aAnswer)
{
  auto found = mEntries.find(aServer);
  if (found != mEntries.end() && aAnswer != OrderAnswer::Unknown) {
    found->second.mInventory.OnAnswered(aOrder, aStartTime);
  }
}

bool
ServerInventories::OthersMayOrder(const std::string& aServer)
{
  const ServerInventory& inventory = EntryOf(aServer).mInventory;
  bool leaseIsNew = mState.Now() - mLeaseSince < LateOrders::kMaxOrderDelay;
  return (mToken > kFirstToken && leaseIsNew) ||
         inventory.Late().HasAt(inventory.StartTime(), inventory.OrderCount());
}

} // namespace caraway
