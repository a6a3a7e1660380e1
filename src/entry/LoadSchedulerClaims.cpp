#include "entry/LoadScheduler.h"

#include "entry/LoadMessages.h"

namespace caraway {

// Messages among the lease holders of the zones, so that only one zone loads a
// model.

void
LoadScheduler::SendClaim(const LoadRequest& aWant,
                         bool aBegun,
                         Millis aExpected)
{
  if (aWant.mMore) {
    return;
  }
  Json::Value note;
  note["zone"] = mZone;
  note["service"] = aWant.mService;
  note["model"] = aWant.mModel;
  note["begun"] = aBegun;
  note["expected_ms"] = Json::Int64(aExpected.count());
  mTell(kClaimMessage, note);
}

// aLeft 0: the load has ended.
void
LoadScheduler::SendStoreLoad(const std::string& aServer, Millis aLeft)
{
  Json::Value note;
  note["server"] = aServer;
  note["left_ms"] = Json::Int64(aLeft.count());
  mTell(kStoreLoadMessage, note);
}

void
LoadScheduler::OnStoreLoad(const Json::Value& aNote)
{
  mStoreLoads.OnOtherZoneLoad(aNote["server"].asString(),
                              Millis(aNote["left_ms"].asInt64()),
                              mState.Now());
}

void
LoadScheduler::OnClaim(const Json::Value& aNote)
{
  std::string service = aNote["service"].asString();
  std::string model = aNote["model"].asString();
  Key key{ service, model, "" };
  auto mine =
    mQueue.count(key) ? LoadClaims::Mine::Queued : LoadClaims::Mine::None;
  for (const auto& [server, job] : mJobs) {
    if (job.mWant.mService == service && job.mWant.mModel == model) {
      mine = LoadClaims::Mine::Begun;
    }
  }
  TimePoint expected = mState.Now() + Millis(aNote["expected_ms"].asInt64());
  if (mClaims.OnClaim(model,
                      aNote["zone"].asString(),
                      aNote["begun"].asBool(),
                      expected,
                      mine)) {
    mState.mLog.Line("place_left_to_zone")
      .Text("model", model)
      .Text("zone", aNote["zone"].asString());
    mQueue.erase(key);
  }
}

} // namespace caraway
