#include "entry/UsageRelay.h"

#include "entry/LeaseLoop.h"
#include "entry/LoadReports.h"

namespace caraway {

namespace {

constexpr char kUsageMessage[] = "use";

// As often as heartbeats in a small fleet. A message takes 0.1 KB per zone:
// with 79 instances and four zones each lease holder receives 60 KB/s.
constexpr Millis kSendInterval{ 250 };

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

Json::Value
DemandJson(const DemandCounts& aDemand)
{
  Json::Value json(Json::objectValue);
  for (const auto& [name, count] : aDemand) {
    json[name] = count;
  }
  return json;
}

DemandCounts
ReadDemand(const Json::Value& aJson)
{
  DemandCounts demand;
  for (const std::string& name : aJson.getMemberNames()) {
    demand[name] = aJson[name].asInt();
  }
  return demand;
}

constexpr char kAsked[] = "asked";
constexpr char kAskedUrgent[] = "asked_urgent";

void
FillDemand(Json::Value& aMessage, const DemandReport& aReport)
{
  aMessage[kAsked] = DemandJson(aReport.mAll);
  if (!aReport.mUrgent.empty()) {
    aMessage[kAskedUrgent] = DemandJson(aReport.mUrgent);
  }
}

DemandReport
ReadDemandReport(const Json::Value& aMessage)
{
  return { ReadDemand(aMessage[kAsked]), ReadDemand(aMessage[kAskedUrgent]) };
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
  mPeers.OnMessage(kUsageMessage,
                   [this](const Json::Value& aMessage) { OnUsage(aMessage); });
  mState.mReactor.Every(kSendInterval, [this] { SendUsage(); });
}

// aZone "" = all servers.
Json::Value
UsageRelay::UsageOf(const std::string& aZone) const
{
  Json::Value usage(Json::objectValue);
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (!aZone.empty() && backend.mEntry.mZone != aZone) {
      continue;
    }
    for (const auto& [model, count] : backend.mOwnRequests) {
      usage[id][model] = count;
    }
  }
  return usage;
}

void
UsageRelay::FillHeartbeat(Json::Value& aHeartbeat)
{
  aHeartbeat["under_way"] = UsageOf("");
  FillDemand(aHeartbeat, mState.mDemand.TakeForHeartbeat());
  Json::Value reports = LoadReportsJson(mState.mServers, mState.Now());
  if (!reports.empty()) {
    aHeartbeat["reports"] = std::move(reports);
  }
}

void
UsageRelay::ReadHeartbeat(const Peer& aPeer, const Json::Value& aHeartbeat)
{
  mState.mServers.PutPeerRequests(aPeer.mName,
                                  ReadCounts(aHeartbeat["under_way"]));
  mState.mDemand.OnHeartbeat(ReadDemandReport(aHeartbeat),
                             aPeer.mZone,
                             mPeers.TicksPerRound(),
                             mState.Now());
  int leftOut = ReadLoadReports(aHeartbeat["reports"],
                                mState.mReactor.Lag(),
                                mState.mServers,
                                mState.Now());
  if (leftOut > 0) {
    mState.mLog.Line("load_reports_unreadable")
      .Text("peer", aPeer.mName)
      .Count("reports", leftOut);
  }
}

void
UsageRelay::SendUsage()
{
  DemandReport demand = mState.mDemand.TakeForHolders();
  if (mPeers.TicksPerRound() == 1) {
    return; // heartbeats reach all instances at this interval
  }
  std::set<std::string> reportedTo;
  for (const std::string& zone : mState.mSettings.mZones) {
    std::string holder = mPeers.HolderOf(ZoneLeaseName(zone));
    if (!holder.empty()) {
      // A holder of several zones counts the demand once.
      bool first = reportedTo.insert(holder).second;
      SendUsageTo(zone, holder, first ? demand : DemandReport());
    }
  }
}

void
UsageRelay::SendUsageTo(const std::string& aZone,
                        const std::string& aHolder,
                        const DemandReport& aDemand)
{
  Json::Value usage = UsageOf(aZone);
  // Empty counts are sent only once, when the last request has ended.
  if (usage.empty() && aDemand.Empty() && !mReportedZones.count(aZone)) {
    return;
  }
  if (usage.empty()) {
    mReportedZones.erase(aZone);
  } else {
    mReportedZones.insert(aZone);
  }
  Json::Value message;
  message["from"] = mState.mSettings.mName;
  message["zone"] = aZone;
  message["servers"] = std::move(usage);
  FillDemand(message, aDemand);
  mPeers.SendMessageTo(aHolder, kUsageMessage, message);
}

// "" if the instance isn't known yet.
std::string
UsageRelay::ZoneOf(const std::string& aInstance) const
{
  auto peer = mPeers.All().find(aInstance);
  return peer == mPeers.All().end() ? "" : peer->second.mZone;
}

void
UsageRelay::OnUsage(const Json::Value& aMessage)
{
  mState.mServers.PutPeerRequestsIn(aMessage["zone"].asString(),
                                    aMessage["from"].asString(),
                                    ReadCounts(aMessage["servers"]));
  mState.mDemand.OnReport(ReadDemandReport(aMessage),
                          ZoneOf(aMessage["from"].asString()),
                          mState.Now());
}

} // namespace caraway
