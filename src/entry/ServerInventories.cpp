#include "entry/ServerInventories.h"

#include <algorithm>

#include "entry/LoadMessages.h"
#include "entry/OrderLimits.h"
#include "platform/OrderMessage.h"

namespace caraway {

namespace {

constexpr Millis kLearn{ 50 };

// Reports are about 100 ms old.
constexpr Millis kLearnAgain{ 120 };

constexpr Millis kRecheck{ 1000 };

constexpr Millis kTellTick{ 1000 };

// In heartbeat rounds: a second in a small fleet. In a large fleet the messages
// are rare enough for a lease holder to stay within its share of a narrow link.
constexpr int kSendAllRounds = 4;

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
  mState.mReactor.Every(kLearn, [this] { RequestMissingReports(); });
  mState.mReactor.Every(kTellTick, [this] { SendAllContents(); });
}

bool
ServerInventories::Mine(const Backend& aBackend) const
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
    for (auto& [server, entry] : mEntries) {
      entry.mAccount.Forget();
    }
  }
  Entry& entry = mEntries[aServer];
  const Backend* backend = mState.mServers.Find(aServer);
  if (backend && backend->mEntry.mStartTime != entry.mAccount.Born()) {
    entry.mAccount.Restart(backend->mEntry.mStartTime);
    entry.mAskNext = TimePoint();
  }
  return entry;
}

ServerInventory&
ServerInventories::Of(const std::string& aServer)
{
  return EntryOf(aServer).mAccount;
}

bool
ServerInventories::Known(const std::string& aServer)
{
  return Of(aServer).Known();
}

bool
ServerInventories::AtRest(const std::string& aServer)
{
  Entry& entry = EntryOf(aServer);
  return entry.mAccount.Known() && !entry.mLate;
}

// ---- Reports

void
ServerInventories::RequestMissingReports()
{
  if (!mLease.Holds()) {
    return;
  }
  TimePoint now = mState.Now();
  std::vector<std::string> unknown;
  for (const auto& [id, backend] : mState.mServers.All()) {
    bool engine =
      mState.mConfig && mState.mConfig->EngineOf(backend.mEntry.mService);
    if (!engine || !Mine(backend)) {
      continue;
    }
    Entry& entry = EntryOf(id);
    bool wanted = !entry.mAccount.Known() || entry.mLate;
    if (wanted && !entry.mAsking && now >= entry.mAskNext) {
      unknown.push_back(id);
    }
  }
  for (const std::string& id : unknown) {
    Learn(id, [](bool) {});
  }
  for (auto at = mEntries.begin(); at != mEntries.end();) {
    at = mState.mServers.Find(at->first) ? std::next(at) : mEntries.erase(at);
  }
}

void
ServerInventories::Learn(const std::string& aServer,
                         std::function<void(bool)> aThen)
{
  Backend* backend = mState.mServers.Find(aServer);
  if (!backend) {
    aThen(false);
    return;
  }
  Entry& entry = EntryOf(aServer);
  entry.mAsking = true;
  entry.mAskNext = mState.Now() + kLearnAgain;
  OutboundRequest request;
  request.mAddress = backend->mEntry.mAddress;
  request.mPeer = aServer;
  request.mHead = wire::WriteReportRequest(request.mAddress);
  int64_t born = backend->mEntry.mStartTime;
  StartBufferedCall(
    mState.mReactor,
    mState.mServerPool,
    std::move(request),
    kOrderTime,
    [this, aServer, born, then = std::move(aThen)](BufferedAnswer& aAnswer) {
      auto found = mEntries.find(aServer);
      if (found != mEntries.end()) {
        found->second.mAsking = false;
      }
      Backend* known = mState.mServers.Find(aServer);
      if (!known || known->mEntry.mStartTime != born) {
        then(false);
        return;
      }
      Entry& asked = EntryOf(aServer);
      auto report = wire::ReadReport(aAnswer.mBody);
      HeldModels before = known->mModels;
      bool settled = report && asked.mAccount.OnReport(*report);
      bool late =
        report && !settled && asked.mAccount.OnLoadStillPending(*report);
      asked.mLate = !settled && (asked.mLate || late);
      if (settled || late) {
        Show(aServer);
      }
      if (known->mModels != before) {
        mState.mLog.Line("content_corrected")
          .Text("server", aServer)
          .Count("orders", report->mOrders)
          .Flag("still_loading", late);
        mChanged();
      }
      then(settled);
    });
}

void
ServerInventories::Recheck(const std::string& aServer)
{
  Entry& entry = EntryOf(aServer);
  if (mState.Now() - entry.mRechecked >= kRecheck && !entry.mAsking) {
    entry.mRechecked = mState.Now();
    Learn(aServer, [](bool) {});
  }
}

// ---- Sending

void
ServerInventories::Put(const std::string& aServer)
{
  const ServerInventory& account = Of(aServer);
  if (account.Known()) {
    mState.mServers.PutContent(aServer,
                               account.Born(),
                               account.Orders(),
                               account.Usable(),
                               mState.Now());
  }
}

void
ServerInventories::Show(const std::string& aServer)
{
  Put(aServer);
  Tell(aServer);
}

void
ServerInventories::Tell(const std::string& aServer)
{
  if (const Backend* backend = mState.mServers.Find(aServer)) {
    mPeers.SendMessage(
      "content", ContentJson(*backend, backend->LoadingFor(mState.Now())));
  }
}

// Makes up for lost messages, and refreshes mReportedAt so that outdated
// entries of the list have no effect.
void
ServerInventories::SendAllContents()
{
  if (!mLease.MayAct()) {
    return;
  }
  TimePoint now = mState.Now();
  Millis again =
    mPeers.HeartbeatInterval() * mPeers.HeartbeatRounds() * kSendAllRounds;
  bool due = now - mSentAllAt >= again;
  Json::Value all(Json::arrayValue);
  for (auto& [id, backend] : mState.mServers.All()) {
    if (!Mine(backend) || !Known(id)) {
      continue;
    }
    backend.mReportedAt = now;
    if (due) {
      all.append(ContentJson(backend, backend.LoadingFor(now)));
    }
  }
  if (due && !all.empty()) {
    mSentAllAt = now;
    mPeers.SendMessage("contents", all);
  }
}

void
ServerInventories::OnContent(const Json::Value& aNote)
{
  std::string server = aNote["id"].asString();
  Backend* backend = mState.mServers.Find(server);
  if (!backend || (mLease.Holds() && Mine(*backend))) {
    return; // the lease holder's own inventory takes precedence
  }
  backend->mLoadingUntil = mState.Now() + Millis(aNote["loading_ms"].asInt64());
  if (mState.mServers.PutContent(server,
                                 aNote["born"].asInt64(),
                                 aNote["orders"].asInt64(),
                                 ReadModels(aNote["models"]),
                                 mState.Now())) {
    mChanged();
  }
}

} // namespace caraway
