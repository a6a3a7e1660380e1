#include "entry/UsageRelay.h"

#include "entry/LeaseLoop.h"

namespace caraway {

namespace {

constexpr char kUse[] = "use";

// The heartbeat interval of a small fleet. A message takes 0.1 KB per zone:
// with 79 instances and four zones each lease holder receives 60 KB/s.
constexpr Millis kTell{ 250 };

InFlightCounts
ReadCounts(const Json::Value& aServers)
{
  InFlightCounts counts;
  for (const std::string& id : aServers.getMemberNames()) {
    for (const std::string& model : aServers[id].getMemberNames()) {
      counts[id][model] = aServers[id][model].asInt();
    }
  }
  return counts;
}

} // namespace

UsageRelay::UsageRelay(EntryState& aState, Peers& aPeers)
  : mState(aState)
  , mPeers(aPeers)
{
}

void
UsageRelay::Start()
{
  mPeers.OnMessage(kUse, [this](const Json::Value& aNote) { OnTold(aNote); });
  mState.mReactor.Every(kTell, [this] { Tell(); });
}

// aZone "" = all servers.
Json::Value
UsageRelay::UsageOf(const std::string& aZone) const
{
  Json::Value use(Json::objectValue);
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (!aZone.empty() && backend.mEntry.mZone != aZone) {
      continue;
    }
    for (const auto& [model, count] : backend.mMine) {
      use[id][model] = count;
    }
  }
  return use;
}

void
UsageRelay::FillHeartbeat(Json::Value& aHeartbeat)
{
  aHeartbeat["under_way"] = UsageOf("");
  Json::Value& asked = aHeartbeat["asked"];
  asked = Json::Value(Json::objectValue);
  for (const auto& [model, count] : mState.mRequestsSinceHeartbeat) {
    asked[model] = count;
  }
  mState.mRequestsSinceHeartbeat.clear();
}

void
UsageRelay::ReadHeartbeat(const Peer& aPeer, const Json::Value& aHeartbeat)
{
  mState.mServers.PutPeerRequests(aPeer.mName,
                                  ReadCounts(aHeartbeat["under_way"]));
  const Json::Value& asked = aHeartbeat["asked"];
  for (const std::string& model : asked.getMemberNames()) {
    // Each heartbeat reaches only a part of the instances, in turn.
    mState.mDemand.Add(
      model, asked[model].asInt() * mPeers.HeartbeatRounds(), mState.Now());
  }
}

void
UsageRelay::Tell()
{
  if (mPeers.HeartbeatRounds() == 1) {
    return; // heartbeats reach all instances at this interval
  }
  for (const std::string& zone : mState.mSettings.mZones) {
    std::string holder = mPeers.HolderOf(ZoneLeaseName(zone));
    if (!holder.empty()) {
      SendUsageTo(zone, holder);
    }
  }
}

void
UsageRelay::SendUsageTo(const std::string& aZone, const std::string& aHolder)
{
  Json::Value use = UsageOf(aZone);
  // Empty counts are sent once, after the last request has ended.
  if (use.empty() && !mTold.count(aZone)) {
    return;
  }
  if (use.empty()) {
    mTold.erase(aZone);
  } else {
    mTold.insert(aZone);
  }
  Json::Value note;
  note["from"] = mState.mSettings.mName;
  note["zone"] = aZone;
  note["servers"] = std::move(use);
  mPeers.SendMessageTo(aHolder, kUse, note);
}

void
UsageRelay::OnTold(const Json::Value& aNote)
{
  mState.mServers.PutPeerRequestsIn(aNote["zone"].asString(),
                                    aNote["from"].asString(),
                                    ReadCounts(aNote["servers"]));
}

} // namespace caraway
