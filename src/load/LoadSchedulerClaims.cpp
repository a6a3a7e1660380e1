#include "load/LoadScheduler.h"

#include <algorithm>

#include "load/LoadMessages.h"

namespace caraway {

// Messages between the zones' lease holders: claims, so that only one zone
// loads a model, and loads from the weight store, whose rate all zones share.

// A load for one software version is no load for another.
std::string
LoadScheduler::ClaimOf(const LoadRequest& aRequest)
{
  return aRequest.mVersion.empty() ? aRequest.mModel
                                   : aRequest.mModel + " " + aRequest.mVersion;
}

void
LoadScheduler::SendClaim(const LoadRequest& aRequest,
                         bool aBegun,
                         Millis aExpected)
{
  if (aRequest.mExtraReplica) {
    return;
  }
  Json::Value message;
  message["zone"] = mZone;
  message["service"] = aRequest.mService;
  message["model"] = aRequest.mModel;
  message["version"] = aRequest.mVersion;
  message["begun"] = aBegun;
  message["expected_ms"] = Json::Int64(aExpected.count());
  mNotify(kClaimMessage, message);
}

// aLeft 0: the load has ended.
void
LoadScheduler::SendStoreLoad(const std::string& aServer, Millis aLeft)
{
  Json::Value message;
  message["server"] = aServer;
  message["left_ms"] = Json::Int64(aLeft.count());
  mNotify(kStoreLoadMessage, message);
}

// A lost message, and loads from before another zone's holder took its lease,
// are made up for.
void
LoadScheduler::RepeatStoreLoads()
{
  for (const auto& [server, job] : mJobs) {
    if (job.mSource == WeightSource::Store) {
      auto left =
        std::chrono::duration_cast<Millis>(job.mExpected - mState.Now());
      SendStoreLoad(server, std::max(left, StoreLoadTracker::kReportInterval));
    }
  }
}

void
LoadScheduler::OnStoreLoad(const Json::Value& aMessage)
{
  mState.mMetrics.Count("caraway_store_load_reports_total", "");
  mStoreLoads.OnOtherZoneLoad(aMessage["server"].asString(),
                              Millis(aMessage["left_ms"].asInt64()),
                              mState.Now());
}

void
LoadScheduler::OnClaim(const Json::Value& aMessage)
{
  if (mState.mEvacuations.Evacuated(aMessage["zone"].asString())) {
    return; // its sender doesn't know yet
  }
  std::string service = aMessage["service"].asString();
  std::string model = aMessage["model"].asString();
  LoadRequest request;
  request.mService = service;
  request.mModel = model;
  request.mVersion = aMessage["version"].asString();
  Key key = KeyOf(request);
  auto queued = mQueue.find(key);
  auto own = queued == mQueue.end() ? LoadClaims::OwnProgress::None
                                    : LoadClaims::OwnProgress::Queued;
  if (queued != mQueue.end() && queued->second.mRequest.mZoneBound) {
    own = LoadClaims::OwnProgress::Begun; // keeps its load whatever others do
  }
  for (const auto& [server, job] : mJobs) {
    if (Serves(job, request)) {
      own = LoadClaims::OwnProgress::Begun;
    }
  }
  TimePoint expected = mState.Now() + Millis(aMessage["expected_ms"].asInt64());
  if (mClaims.OnClaim(ClaimOf(request),
                      aMessage["zone"].asString(),
                      aMessage["begun"].asBool(),
                      expected,
                      own)) {
    mState.mLog.Line("place_left_to_zone")
      .Text("model", model)
      .Text("zone", aMessage["zone"].asString());
    mQueue.erase(key);
  }
}

} // namespace caraway
