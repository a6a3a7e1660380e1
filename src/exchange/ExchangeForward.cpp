// ExchangeForward.cpp: a request that this instance can't bring to a server and
// forwards to another instance.
#include "exchange/Exchange.h"

#include <algorithm>

#include "exchange/ExchangeTimes.h"
#include "platform/RequestHead.h"

namespace caraway {

namespace {

// A request that couldn't be brought to this many near servers is forwarded,
// also when others reach some: a partition may leave kept connections alone.
constexpr int kMaxUnreached = 2;

// Limit of instances that one request is forwarded to.
constexpr int kMaxForwards = 3;

// Connections to instances are separate from those of calls between instances.
constexpr char kForwardPool[] = "forward";

// See kIdleShareNonRepeatable.
constexpr double kIdleShare = 0.4;

} // namespace

// Servers that the request may still be sent to, besides those that may have
// received it.
int
Exchange::ServersLeft() const
{
  return MaxServers() - static_cast<int>(mTriedServers.size());
}

// Forwards the request, or refuses it, if this instance doesn't reach servers.
// Returns false if it should go to a server from here.
bool
Exchange::HandOver()
{
  bool cutOff = mState.mServerReach.CutOff();
  if (!cutOff && mUnreached < kMaxUnreached) {
    return false;
  }
  if (mRequest.Forwarded()) {
    // Not forwarded again: two instances that both reach no server would send
    // it to and fro.
    return cutOff && RefuseUnreachable();
  }
  if (mForwards < kMaxForwards && ServersLeft() > 0) {
    if (auto peer = mForwardPeers.Choose(mBadServers, mRegions)) {
      Forward(*peer);
      return true;
    }
  }
  return cutOff && mUnreached > 0 && RefuseUnreachable();
}

bool
Exchange::RefuseUnreachable()
{
  Refuse(ErrorKind::NoEndpoint,
         kRetryAfterDefault,
         "no server can be reached from this instance");
  return true;
}

void
Exchange::Forward(const ForwardTarget& aPeer)
{
  wire::ForwardedFields extra;
  extra.mServersLeft = ServersLeft();
  extra.mLeft = TimeLeft();
  extra.mBodyBytes = mRequestBody->size();
  extra.mLastEvent = mLastEvent;
  extra.mVersion = mVersion;
  StopWaiting();
  mForwarding = true;
  ++mForwards;
  mServer = aPeer.mName;
  mRunVersion.reset(); // its answer tells
  mTriedServers.insert(mServer);
  mState.mLog.Line("request_forwarded")
    .Text("id", mFacts.mId)
    .Text("route", mRoute->mName)
    .Text("tenant", mTenant)
    .Number("tokens", mGrant ? mGrant->mTokens : 0)
    .Text("peer", mServer)
    .Flag("cut_off", mState.mServerReach.CutOff())
    .Count("forward", mForwards)
    .Count("sends", mSends)
    .Ms("waited_ms", mState.AgeOf(mArrived));
  mState.mMetrics.Count("caraway_requests_forwarded_total", "");
  OutboundRequest request;
  request.mAddress = aPeer.mAddress;
  request.mPeer = kForwardPool;
  request.mHead = wire::WriteForwardedRequest(mRequest.mHead, extra);
  request.mBody = mRequestBody;
  request.mIdleShare = kIdleShare;
  StartCall(mState.mPeerPool, std::move(request));
}

void
Exchange::OnPeerUnreached()
{
  std::string peer = mServer;
  mTriedServers.erase(peer); // it has not received the request
  mBadServers.insert(peer);
  ReleaseCall();
  mState.mLog.Line("request_again")
    .Text("id", mFacts.mId)
    .Text("why", "peer not connected")
    .Text("server", peer);
  Dispatch();
}

void
Exchange::OnPeerRejected()
{
  std::string peer = mServer;
  mTriedServers.erase(peer); // no server has received the request from it
  mBadServers.insert(peer);
  ReleaseCall();
  mState.mLog.Line("request_again")
    .Text("id", mFacts.mId)
    .Text("why", "peer rejected it")
    .Text("server", peer)
    .Count("status", mAnswer.mStatus);
  if (wire::ServableElsewhere(mAnswer)) {
    Dispatch();
    return;
  }
  if (mStreaming || mRuns.MayHaveRun()) {
    Refuse(ErrorKind::OutcomeUnknown, Millis(0), "the peer rejected the rest");
    return;
  }
  // It knows best when a retry can succeed.
  AnswerCaller(
    mAnswer.mStatus, wire::CallerFields(mAnswer), "", "peer rejected it");
}

} // namespace caraway
