#include "entry/LoadScheduler.h"

#include "entry/OrderLimits.h"

namespace caraway {

namespace {

// A server's report shows its state of about 100 ms ago.
constexpr Millis kResyncRetry{ 120 };
constexpr Millis kPollAgain{ 120 };

// A load that takes this many times its expected time is given up.
constexpr int kLoadPatience = 6;

} // namespace

// Reports of servers whose content is not certain.

void
LoadScheduler::Resync(Job& aJob)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  Backend* backend = mState.mServers.Find(server);
  HeldModels planned = backend ? backend->mModels : HeldModels();
  mInventories.Learn(server, [this, server, id, planned](bool aSettled) {
    Job* job = Find(server, id);
    Backend* known = mState.mServers.Find(server);
    if (!job || !known) {
      return;
    }
    if (!aSettled && ++job->mTries > kMaxOrderAttempts) {
      EndJob(server, "server sent no usable report");
    } else if (!aSettled) {
      Retry(*job, kResyncRetry);
    } else if (known->Holds(job->mWant.mModel, job->mWant.mAdapter)) {
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
LoadScheduler::PollLoaded(const std::string& aServer, uint64_t aId)
{
  Job* job = Find(aServer, aId);
  if (!job) {
    return;
  }
  if (mState.Now() - job->mBegan > job->mLoad * kLoadPatience + Seconds(2)) {
    EndJob(aServer, "load did not finish before its deadline");
    return;
  }
  mInventories.Learn(aServer, [this, aServer, aId](bool aSettled) {
    OnPolled(aServer, aId, aSettled);
  });
}

void
LoadScheduler::OnPolled(const std::string& aServer, uint64_t aId, bool aSettled)
{
  if (!Find(aServer, aId)) {
    return;
  }
  if (!aSettled) {
    mState.mReactor.After(kPollAgain,
                          [this, aServer, aId] { PollLoaded(aServer, aId); });
    return;
  }
  OnChanged();
  mChanged();
  if (Find(aServer, aId)) {
    EndJob(aServer, "server reports the model as not loaded");
  }
}

} // namespace caraway
