#include "entry/OrderDesk.h"

#include "entry/OrderTimes.h"
#include "platform/OrderMessage.h"

namespace caraway {

namespace {

constexpr Millis kResyncRetry{ 120 }; // reports are some hundred ms old

constexpr Millis kPollAgain{ 120 };

// A load that takes so much longer than expected is given up.
constexpr int kLoadPatience = 6;

} // namespace

// What servers report, where the account of their orders is in doubt.

// The count of orders isn't what was believed: the server's report tells what
// it is and what the server holds.
void
OrderDesk::Resync(Job& aJob)
{
  std::string server = aJob.mServer;
  uint64_t id = aJob.mId;
  AskReport(server, id, [this, server, id](const ServerReport& aReport) {
    Job* job = Find(server, id);
    Backend* backend = mState.mServers.Find(server);
    if (!job || !backend) {
      return;
    }
    HeldModels planned = backend->mModels;
    bool newer = aReport.mOrders > backend->mOrders ||
                 (aReport.mOrders == backend->mOrders && !aReport.mBusy);
    if (newer) {
      mState.mServers.PutContent(
        server, job->mBorn, aReport.mOrders, aReport.mModels, mState.Now());
      TellContent(*backend);
    }
    if (backend->Holds(job->mWant.mModel, job->mWant.mAdapter)) {
      EndJob(server, "held already");
      mChanged();
      return;
    }
    if (planned != backend->mModels) {
      EndJob(server, "planned anew");
      return;
    }
    // While an order is under way its outcome isn't in the report.
    bool settled = !aReport.mBusy && aReport.mOrders >= backend->mOrders;
    job->mNeedsReport = !settled;
    Retry(*job, settled ? Millis(0) : kResyncRetry);
  });
}

void
OrderDesk::FetchReport(
  const std::string& aServer,
  std::function<void(const std::optional<ServerReport>&)> aThen)
{
  Backend* backend = mState.mServers.Find(aServer);
  if (!backend) {
    aThen(std::nullopt);
    return;
  }
  OutRequest request;
  request.mAddress = backend->mEntry.mAddress;
  request.mPeer = aServer;
  request.mHead = wire::WriteReportRequest(request.mAddress);
  CallForAnswer(mState.mReactor,
                mState.mServerPool,
                std::move(request),
                kOrderTime,
                [then = std::move(aThen)](ShortAnswer& aAnswer) {
                  then(wire::ReadReport(aAnswer.mBody));
                });
}

void
OrderDesk::AskReport(const std::string& aServer,
                     uint64_t aId,
                     std::function<void(const ServerReport&)> aThen)
{
  FetchReport(aServer,
              [this, aServer, aId, then = std::move(aThen)](
                const std::optional<ServerReport>& aReport) {
                Job* job = Find(aServer, aId);
                if (!job) {
                  return;
                }
                if (aReport) {
                  then(*aReport);
                } else if (++job->mTries > kMostTries) {
                  EndJob(aServer, "no report");
                } else if (job->mLoading) {
                  mState.mReactor.After(kPollAgain, [this, aServer, aId] {
                    PollLoaded(aServer, aId);
                  });
                } else {
                  Retry(*job, kResyncRetry);
                }
              });
}

void
OrderDesk::PollLoaded(const std::string& aServer, uint64_t aId)
{
  Job* job = Find(aServer, aId);
  if (!job) {
    return;
  }
  if (mState.Now() - job->mBegan > job->mLoad * kLoadPatience + Seconds(2)) {
    EndJob(aServer, "load takes too long");
    return;
  }
  AskReport(aServer, aId, [this, aServer, aId](const ServerReport& aReport) {
    Job* job = Find(aServer, aId);
    Backend* backend = mState.mServers.Find(aServer);
    if (!job || !backend) {
      return;
    }
    if (!aReport.mBusy && aReport.mOrders >= backend->mOrders) {
      mState.mServers.PutContent(
        aServer, job->mBorn, aReport.mOrders, aReport.mModels, mState.Now());
      OnChanged();
      mChanged();
      if (Find(aServer, aId)) {
        EndJob(aServer, "not loaded");
      }
      return;
    }
    mState.mReactor.After(kPollAgain,
                          [this, aServer, aId] { PollLoaded(aServer, aId); });
  });
}

} // namespace caraway
