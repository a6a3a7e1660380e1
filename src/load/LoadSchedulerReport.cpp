#include "load/LoadScheduler.h"

#include "decide/RateReservations.h"
#include "load/OrderLimits.h"

namespace caraway {

namespace {

// A server's report shows its state of about 100 ms ago.
constexpr Millis kResyncInterval{ 120 };
constexpr Millis kLoadPollInterval{ 120 };

// A job is ended when it has taken this many times its load time and two
// seconds more.
constexpr int kLoadTimeoutFactor = 6;

} // namespace

// Requests reports of servers whose content is uncertain, and handles them.

void
LoadScheduler::Resync(Job& aJob)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  Backend* backend = mState.mServers.Find(server);
  HeldModels planned = backend ? backend->mModels : HeldModels();
  mInventories.RequestReport(
    server, [this, server, id, planned](bool aConfirmed) {
      Job* job = Find(server, id);
      Backend* known = mState.mServers.Find(server);
      if (!job || !known) {
        return;
      }
      if (!aConfirmed && ++job->mAttempts > kMaxOrderAttempts) {
        EndJob(server, "server sent no usable report");
      } else if (!aConfirmed) {
        Retry(*job, kResyncInterval);
      } else if (known->Holds(job->mRequest.mModel, job->mRequest.mAdapter)) {
        EndJob(server, "already loaded");
        mChanged();
      } else if (planned != known->mModels) {
        EndJob(server, "server content changed; placement planned again");
      } else {
        Retry(*job, Millis(0));
      }
    });
}

void
LoadScheduler::PollLoad(const std::string& aServer, uint64_t aId)
{
  Job* job = Find(aServer, aId);
  if (!job) {
    return;
  }
  if (mState.Now() - job->mBegan >
      job->mLoad * kLoadTimeoutFactor + Seconds(2)) {
    EndJob(aServer, "load did not finish before its deadline");
    return;
  }
  mInventories.RequestReport(aServer, [this, aServer, aId](bool aConfirmed) {
    OnLoadPolled(aServer, aId, aConfirmed);
  });
}

void
LoadScheduler::OnLoadPolled(const std::string& aServer,
                            uint64_t aId,
                            bool aConfirmed)
{
  if (!Find(aServer, aId)) {
    return;
  }
  if (!aConfirmed) {
    const Backend* backend = mState.mServers.Find(aServer);
    bool limited = backend && backend->mRateLimit; // reports count there
    mState.mReactor.After(limited ? RateReservations::kWindow
                                  : kLoadPollInterval,
                          [this, aServer, aId] { PollLoad(aServer, aId); });
    return;
  }
  OnChanged();
  mChanged();
  if (Find(aServer, aId)) {
    EndJob(aServer, "server reports the model as not loaded");
  }
}

} // namespace caraway
