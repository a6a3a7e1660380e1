#include "entry/ServerInventories.h"

#include "load/LoadMessages.h"

namespace caraway {

// Sends the contents of servers to the other instances, with what a successor
// must know of late orders, and reads theirs.

namespace {

// All contents are sent once in this many heartbeat rounds: a second in a small
// fleet, and in a large one long enough for a lease holder to stay within its
// share of a narrow link.
constexpr int kRepeatRounds = 4;

} // namespace

void
ServerInventories::Apply(const std::string& aServer)
{
  const ServerInventory& inventory = Of(aServer);
  if (inventory.Known()) {
    mState.mServers.PutContent(aServer,
                               inventory.StartTime(),
                               inventory.OrderCount(),
                               inventory.Usable(),
                               mState.Now());
  }
}

void
ServerInventories::ApplyAndSend(const std::string& aServer)
{
  Apply(aServer);
  SendContent(aServer);
}

void
ServerInventories::SendContent(const std::string& aServer)
{
  if (const Backend* backend = mState.mServers.Find(aServer)) {
    mPeers.SendMessage("content", ContentOf(*backend));
  }
}

// Makes up for lost content messages, and refreshes mReportedAt so that
// outdated entries of the list of servers have no effect.
void
ServerInventories::RepeatContents()
{
  if (!mLease.MayAct()) {
    return;
  }
  TimePoint now = mState.Now();
  std::vector<std::string> known;
  for (auto& [id, backend] : mState.mServers.All()) {
    if (InZone(backend) && Known(id)) {
      backend.mReportedAt = now;
      known.push_back(id);
    }
  }
  Json::Value contents(Json::arrayValue);
  Millis round = mPeers.HeartbeatInterval() * kRepeatRounds;
  for (const std::string& id : mRepeats.Due(known, round, now)) {
    const Backend& backend = *mState.mServers.Find(id);
    contents.append(ContentOf(backend));
  }
  if (!contents.empty()) {
    mPeers.SendMessage("contents", contents);
  }
}

// With what the next holder must know of orders that may come late.
Json::Value
ServerInventories::ContentOf(const Backend& aBackend)
{
  TimePoint now = mState.Now();
  const std::string& server = aBackend.mEntry.mId;
  Json::Value content = ContentJson(aBackend, aBackend.LoadingFor(now));
  auto entry = mEntries.find(server);
  if (entry != mEntries.end()) {
    for (const SentOrder& sent : entry->second.mInventory.Late().Sent()) {
      content["late"].append(SentOrderJson(sent, now));
    }
  }
  ServerLives& lives = mState.mServers.Lives();
  if (!lives.Known(server)) {
    return content;
  }
  auto former =
    lives.Former(server, now, mState.mReactor.SourceClock().WallNow());
  Json::Value& life = content["former"];
  life = Json::Value(Json::objectValue);
  if (former) {
    auto ended = std::chrono::duration_cast<Millis>(now - former->mEndedAt);
    life["ended_ms"] = Json::Int64(ended.count());
    life["orders_from"] = Json::Int64(former->mLowestCount);
    life["orders_to"] = Json::Int64(former->mHighestCount);
  }
  return content;
}

Json::Value
ServerInventories::UnansweredOrders() const
{
  TimePoint now = mState.Now();
  Json::Value orders(Json::objectValue);
  for (const auto& [server, entry] : mEntries) {
    for (const SentOrder& sent : entry.mInventory.Late().Sent()) {
      if (now < sent.mUntil) {
        orders[server].append(SentOrderJson(sent, now));
      }
    }
  }
  return orders;
}

void
ServerInventories::OnUnansweredOrders(const Json::Value& aOrders)
{
  TimePoint now = mState.Now();
  for (const std::string& server : aOrders.getMemberNames()) {
    for (const Json::Value& sent : aOrders[server]) {
      Entry& entry = mEntries[server];
      entry.mListedAt = now;
      entry.mInventory.OnToldOfOrder(ReadSentOrder(sent, now));
    }
  }
}

void
ServerInventories::OnOthersOrders(const Json::Value& aMessage,
                                  const Backend& aBackend)
{
  TimePoint now = mState.Now();
  const std::string& server = aBackend.mEntry.mId;
  for (const Json::Value& sent : aMessage["late"]) {
    Entry& entry = mEntries[server];
    entry.mListedAt = now;
    entry.mInventory.OnToldOfOrder(ReadSentOrder(sent, now));
  }
  const Json::Value& life = aMessage["former"];
  if (!life.isObject()) {
    return;
  }
  std::optional<FormerLife> former;
  if (life.isMember("ended_ms")) {
    former = FormerLife{ now - Millis(life["ended_ms"].asInt64()),
                         life["orders_from"].asInt64(),
                         life["orders_to"].asInt64() };
  }
  mState.mServers.Lives().OnTold(server, aMessage["born"].asInt64(), former);
}

void
ServerInventories::OnContent(const Json::Value& aMessage)
{
  std::string server = aMessage["id"].asString();
  Backend* backend = mState.mServers.Find(server);
  if (backend) {
    OnOthersOrders(aMessage, *backend);
  }
  if (!backend || (mLease.Holds() && InZone(*backend))) {
    return; // the lease holder's own inventory takes precedence
  }
  backend->mLoadingUntil =
    mState.Now() + Millis(aMessage["loading_ms"].asInt64());
  if (mState.mServers.PutContent(server,
                                 aMessage["born"].asInt64(),
                                 aMessage["orders"].asInt64(),
                                 ReadModels(aMessage["models"]),
                                 mState.Now())) {
    mChanged();
  }
}

} // namespace caraway
