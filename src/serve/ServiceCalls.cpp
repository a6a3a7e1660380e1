#include "serve/ServiceCalls.h"

#include <algorithm>

#include "base/Log.h"
#include "decide/RunProof.h"

namespace caraway {

namespace {

constexpr double kTokensPerServiceCall = 1;
constexpr Millis kSuspectPeriod{ 2000 };
constexpr Millis kConnectTimeout{ 500 };
constexpr Millis kMinTimeout{ 1 };

OrderAnswer
AnswerOf(const HttpReply& aReply)
{
  OrderAnswer answer;
  answer.mAnswer.mStatus = aReply.mStatus;
  answer.mAnswer.mContentType = aReply.Header("content-type");
  answer.mAnswer.mBody = aReply.mBody;
  return answer;
}

} // namespace

ServiceCalls::ServiceCalls(ClaimDriver& aClaims,
                           ShareClient& aShares,
                           LeaveGate& aLeave,
                           std::string aZone,
                           const Clock& aClock)
  : mClaims(aClaims)
  , mShares(aShares)
  , mLeave(aLeave)
  , mZone(std::move(aZone))
  , mClock(aClock)
{
}

std::vector<EndpointSpec>
ServiceCalls::Endpoints(const RequestContext& aContext)
{
  std::vector<EndpointSpec> endpoints;
  for (const auto& entry : aContext.mConfig->mEndpoints) {
    if (entry.second.mKind == EndpointKind::Service &&
        entry.second.mGroup == aContext.mProfile.mService) {
      endpoints.push_back(entry.second);
    }
  }
  std::lock_guard<std::mutex> lock(mLock);
  if (!endpoints.empty()) {
    size_t offset = mNextEndpoint++ % endpoints.size();
    std::rotate(endpoints.begin(), endpoints.begin() + offset, endpoints.end());
  }
  TimePoint now = mClock.Now();
  // Suspected endpoints are tried last instead of being left out, so that one
  // is still tried if all are suspected.
  std::stable_sort(endpoints.begin(),
                   endpoints.end(),
                   [&](const EndpointSpec& aLeft, const EndpointSpec& aRight) {
                     auto rank = [&](const EndpointSpec& aEndpoint) {
                       auto suspect = mSuspectUntil.find(aEndpoint.mName);
                       int rank =
                         suspect != mSuspectUntil.end() && now < suspect->second
                           ? 2
                           : 0;
                       return rank + (aEndpoint.mZone == mZone ? 0 : 1);
                     };
                     return rank(aLeft) < rank(aRight);
                   });
  return endpoints;
}

HttpReply
ServiceCalls::Send(const ServiceCall& aCall,
                   const EndpointSpec& aEndpoint,
                   TimePoint aDeadline)
{
  HttpCall call;
  call.mAddress = aEndpoint.mAddress;
  call.mMethod = aCall.mMethod;
  call.mPath = aCall.mPath;
  call.mBody = aCall.mBody;
  call.mConnectTimeout = kConnectTimeout;
  call.mTimeout = std::max(
    kMinTimeout, std::chrono::duration_cast<Millis>(aDeadline - mClock.Now()));
  call.mHeaders = { { "X-Request-Id", aCall.mContext.mId } };
  if (!aCall.mContentType.empty()) {
    call.mHeaders.emplace_back("Content-Type", aCall.mContentType);
  }
  HttpReply reply = HttpCallOnce(call);
  if (reply.mStage != HttpStage::Answered) {
    std::lock_guard<std::mutex> lock(mLock);
    mSuspectUntil[aEndpoint.mName] = mClock.Now() + kSuspectPeriod;
  }
  // An echoed id of another request shows that the answer belongs to that
  // request.
  std::string echoed = reply.Header("x-request-id");
  if (!echoed.empty() && echoed != aCall.mContext.mId) {
    reply.mStage = HttpStage::Lost;
    reply.mError =
      "endpoint's answer carries another request's id; answer discarded";
  }
  return reply;
}

Order
ServiceCalls::OrderOf(const ServiceCall& aCall, TimePoint aDeadline)
{
  Order order;
  order.mTenant = aCall.mContext.mCaller.mTenant;
  order.mKey = aCall.mIdempotencyKey;
  order.mContent = aCall.mContext.mProfile.mName + "\n" + aCall.mMethod + "\n" +
                   aCall.mPath + "\n" + aCall.mBody;
  order.mDeadline = aDeadline;
  return order;
}

// Refuses an order before it is sent, for example for the tenant's rate. "Not
// run" must hold for the order and not only for this attempt: if an earlier
// attempt ran, the caller gets its answer, which costs no tokens.
Result<OrderAnswer>
ServiceCalls::RefuseOrder(const ServiceCall& aCall,
                          TimePoint aDeadline,
                          const Failure& aFailure)
{
  Order order = OrderOf(aCall, aDeadline);
  switch (mClaims.LookUp(order)) {
    case ClaimLookup::Free:
      return Fail(aFailure);
    case ClaimLookup::Unknown:
      return Fail(ErrorKind::ClaimUnknown, aFailure.mDetail);
    case ClaimLookup::Held:
      break;
  }
  return mClaims.Run(order, [] {
    ClaimEvent event;
    event.mKind = ClaimEventKind::NotForwarded;
    return event;
  });
}

Result<OrderAnswer>
ServiceCalls::RunOnce(const ServiceCall& aCall, TimePoint aDeadline)
{
  std::vector<EndpointSpec> endpoints = Endpoints(aCall.mContext);
  size_t next = 0;
  Order order = OrderOf(aCall, aDeadline);
  return mClaims.Run(order, [&] {
    ClaimEvent event;
    event.mKind = ClaimEventKind::NotForwarded;
    auto late = FailureIn([&] { return mLeave.MayStart(aDeadline); });
    if (next >= endpoints.size() || late) {
      return event;
    }
    HttpReply reply = Send(aCall, endpoints[next++], aDeadline);
    event.mEndpointsLeft = next < endpoints.size();
    if (reply.mStage == HttpStage::Answered && PromisesNotRun(reply.mStatus)) {
      // Endpoints have no mark that would prove it.
      reply.mStage = HttpStage::Lost;
      reply.mError = "refusal of the endpoint, status " +
                     std::to_string(reply.mStatus) + ", proves nothing";
    }
    if (reply.mStage == HttpStage::Lost) {
      event.mKind = ClaimEventKind::AnswerLost;
      LogWarn(
        "order_outcome_unknown",
        { { "request", aCall.mContext.mId }, { "reason", reply.mError } });
    } else if (reply.mStage == HttpStage::Answered) {
      event.mKind = ClaimEventKind::Answered;
      event.mRecord.mAnswer = AnswerOf(reply).mAnswer;
    }
    return event;
  });
}

Result<OrderAnswer>
ServiceCalls::RunIdempotent(const ServiceCall& aCall, TimePoint aDeadline)
{
  Failure last =
    FailureOf(ErrorKind::NoEndpoint, "the service's group has no endpoint");
  bool first = true;
  for (const EndpointSpec& endpoint : Endpoints(aCall.mContext)) {
    if (mClock.Now() >= aDeadline || (!first && !mRetries.TryTake())) {
      break;
    }
    BOOST_LEAF_CHECK(mLeave.MayStart(aDeadline, last.mRun));
    first = false;
    HttpReply reply = Send(aCall, endpoint, aDeadline);
    if (reply.mStage == HttpStage::Answered) {
      mRetries.RecordSuccess();
      return AnswerOf(reply);
    }
    bool lost = reply.mStage == HttpStage::Lost;
    // Once an endpoint was offered the call, it stays "may have run" whatever
    // the next attempt does.
    if (lost || last.mRun == RunState::NotRun) {
      last = FailureOf(lost ? ErrorKind::EndpointFailed : ErrorKind::NoEndpoint,
                       reply.mError);
    }
  }
  return Fail(last);
}

Result<OrderAnswer>
ServiceCalls::Run(const ServiceCall& aCall)
{
  const RequestContext& context = aCall.mContext;
  const Profile& profile = context.mProfile;
  if (!profile.mRepeatable && aCall.mIdempotencyKey.empty()) {
    return Fail(ErrorKind::IdempotencyKeyMissing, profile.mName);
  }
  const Tenant& tenant = context.mConfig->mTenants.at(context.mCaller.mTenant);
  TimePoint deadline = context.mArrived + profile.mAnswer;
  auto taken = Outcome([&]() -> Result<ShareTicket> {
    BOOST_LEAF_CHECK(mLeave.MayStart(deadline));
    return mShares.Take(
      tenant, kTokensPerServiceCall, AdmissionDeadline(context));
  });
  if (auto* refused = std::get_if<Failure>(&taken)) {
    return profile.mRepeatable ? Result<OrderAnswer>(Fail(*refused))
                               : RefuseOrder(aCall, deadline, *refused);
  }
  const ShareTicket& ticket = std::get<ShareTicket>(taken);
  auto answer = Outcome([&] {
    return profile.mRepeatable ? RunIdempotent(aCall, deadline)
                               : RunOnce(aCall, deadline);
  });
  if (auto* failure = std::get_if<Failure>(&answer)) {
    if (failure->mRun == RunState::NotRun) {
      mShares.Settle(ticket, 0);
    }
    return Fail(*failure);
  }
  return std::get<OrderAnswer>(std::move(answer));
}

} // namespace caraway
