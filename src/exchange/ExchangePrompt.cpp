// ExchangePrompt.cpp: a request's prompt at a server that reports its pace,
// from the send to the first event.
#include "exchange/Exchange.h"

#include "decide/PacedChoice.h"

namespace caraway {

namespace {

// Upper bounds of the pace in the metric's labels.
const char*
PaceLabel(double aPace)
{
  if (aPace <= 1.25) {
    return "pace=\"usual\"";
  }
  return aPace <= 2 ? "pace=\"to_200\"" : "pace=\"over_200\"";
}

} // namespace

void
Exchange::ExpectFirstToken(const Backend& aBackend)
{
  mFirstTokenFacts.reset();
  mExpectedFirst = Millis(-1);
  if (!mState.mServers.ReportsPace(mService)) {
    return;
  }
  ServerRequirements requirements = RequirementsOf();
  const FirstTokenEstimate& estimate = mState.mServers.FirstToken(mService);
  PacedChoice choice(requirements, estimate, mState.Now());
  mFirstTokenFacts = choice.FactsAt(aBackend);
  mExpectedFirst = estimate.Expected(*mFirstTokenFacts);
  mState.mMetrics.Count("caraway_sent_by_pace_total",
                        PaceLabel(mFirstTokenFacts->mPace));
  mState.mMetrics.Observe("expected_first", mTenant, Class(), mExpectedFirst);
}

// An answer that is not streamed begins when all of it is there, long after its
// prompt was read; that is counted as read after the expected time.
void
Exchange::BeginPrompt()
{
  if (!mFirstTokenFacts) {
    return;
  }
  mUnreadTokens = mFirstTokenFacts->mOwnTokens;
  mState.mServers.OnPromptSent(mServer, mUnreadTokens);
  if (mRoute->mKind == RouteKind::Stream) {
    return;
  }
  std::weak_ptr<Exchange> weak = weak_from_this();
  mState.mReactor.After(mExpectedFirst, [weak, send = mSends] {
    auto exchange = weak.lock();
    if (exchange && exchange->mSends == send) {
      exchange->EndPrompt();
    }
  });
}

void
Exchange::OnFirstBytes()
{
  bool learns = mFirstTokenFacts && mUnreadTokens > 0 && !mForwarding &&
                mProof == RunProof::None && mAnswer.mStatus < 300 &&
                mRoute->mKind == RouteKind::Stream;
  if (learns) {
    mState.mServers.FirstToken(mService).Record(*mFirstTokenFacts,
                                                mState.AgeOf(mSentAt));
  }
  EndPrompt();
}

void
Exchange::EndPrompt()
{
  if (mUnreadTokens > 0) {
    mState.mServers.OnPromptRead(mServer, mUnreadTokens);
    mUnreadTokens = 0;
  }
}

} // namespace caraway
