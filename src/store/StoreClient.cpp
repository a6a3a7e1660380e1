#include "store/StoreClient.h"

namespace caraway {

namespace {

// The store answers within milliseconds, or some hundred milliseconds when it
// is slow. A call that takes longer than this is better retried on a new
// connection.
constexpr Millis kCallTimeout{ 1000 };

// The store's delay in answering a long poll that ends without a change.
constexpr Millis kLongPollMargin{ 500 };

constexpr Millis kConnectTimeout{ 500 };

// Failures over a shorter time than this are lost calls, not an outage.
constexpr Millis kMinOutage{ 400 };

} // namespace

const char*
StoreOutcomeName(StoreOutcome aOutcome)
{
  switch (aOutcome) {
    case StoreOutcome::Done:
      return "done";
    case StoreOutcome::Conflict:
      return "conflict";
    case StoreOutcome::Missing:
      return "missing";
    case StoreOutcome::Gone:
      return "gone";
    case StoreOutcome::NotDone:
      return "not_done";
    case StoreOutcome::Unknown:
      break;
  }
  return "unknown";
}

StoreClient::StoreClient(Reactor& aReactor,
                         EventLog& aLog,
                         Metrics& aMetrics,
                         std::string aAddress)
  : mReactor(aReactor)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mAddress(std::move(aAddress))
  , mPool(aReactor)
{
  mPool.SetLog(aLog);
}

void
StoreClient::Call(const char* aWhat, const wire::StoreCall& aCall, Done aDone)
{
  LongPoll(aWhat, aCall, kCallTimeout - kLongPollMargin, std::move(aDone));
}

void
StoreClient::LongPoll(const char* aWhat,
                      const wire::StoreCall& aCall,
                      Millis aWait,
                      Done aDone)
{
  mPool.Sweep();
  std::vector<HttpField> fields = { { "Host", mAddress } };
  if (!aCall.mBody.empty()) {
    fields.push_back({ "Content-Type", "application/json" });
    fields.push_back({ "Content-Length", std::to_string(aCall.mBody.size()) });
  }
  OutboundRequest request;
  request.mAddress = mAddress;
  request.mHead =
    WriteHead(aCall.mMethod + " " + aCall.mTarget + " HTTP/1.1", fields);
  request.mBody = std::make_shared<const std::string>(aCall.mBody);
  request.mConnectLimit = kConnectTimeout;
  request.mIdentity.mBy = AnswerIdentity::Trusted;
  request.mControl = true;
  StartBufferedCall(
    mReactor,
    mPool,
    std::move(request),
    aWait + kLongPollMargin,
    [this, aWhat, startedAt = mReactor.Now(), done = std::move(aDone)](
      BufferedAnswer& aAnswer) {
      StoreOutcome outcome = aAnswer.mOutcome == CallOutcome::NotSent
                               ? StoreOutcome::NotDone
                               : wire::ReadOutcome(aAnswer.mStatus);
      mMetrics.Time(
        "caraway_store_call_seconds",
        std::string("call=\"") + aWhat + "\"",
        std::chrono::duration_cast<Micros>(mReactor.Now() - startedAt));
      Record(aWhat, outcome);
      done(outcome, aAnswer.mBody);
    });
}

void
StoreClient::Record(const char* aWhat, StoreOutcome aOutcome)
{
  mMetrics.Count("caraway_store_calls_total",
                 std::string("call=\"") + aWhat + "\",outcome=\"" +
                   StoreOutcomeName(aOutcome) + "\"");
  TimePoint now = mReactor.Now();
  bool good =
    aOutcome != StoreOutcome::Unknown && aOutcome != StoreOutcome::NotDone;
  if (!good) {
    if (mFailingSince == TimePoint()) {
      mFailingSince = now;
    }
    if (mReachable) {
      mLog.Line("store_lost")
        .Text("call", aWhat)
        .Text("outcome", StoreOutcomeName(aOutcome));
    }
    mReachable = false;
    return;
  }
  if (!mReachable) {
    bool outage =
      mFailingSince != TimePoint() && now - mFailingSince >= kMinOutage;
    if (outage) {
      mRecoveredAt = now;
    }
    mLog.Line("store_reached")
      .Text("call", aWhat)
      .Flag("outage", outage)
      .Ms("away_ms",
          mFailingSince == TimePoint()
            ? Millis(0)
            : std::chrono::duration_cast<Millis>(now - mFailingSince));
  }
  mReachable = true;
  mFailingSince = TimePoint();
  mLastSuccessAt = now;
}

} // namespace caraway
