// RequestDispatcher.h: callers' requests, in flight and waiting for a server.
#ifndef caraway_entry_RequestDispatcher_h
#define caraway_entry_RequestDispatcher_h

#include <map>
#include <memory>
#include <vector>

#include "exchange/Exchange.h"

namespace caraway {

class RequestDispatcher
  : public InboundHandler
  , public ExchangeOwner
{
public:
  RequestDispatcher(EntryState& aState,
                    RateLimiter& aRateLimiter,
                    LoadRequester& aLoadRequester,
                    ForwardPeers& aForwardPeers,
                    StreamOrigins& aOrigins,
                    CrashWatch& aCrashWatch,
                    FreshnessCheck& aFreshnessCheck,
                    ServerPermits& aServerPermits);

  // Called when servers hold other models or have free slots. Retries the
  // waiting requests, the most urgent first, after the current event.
  void OnServersChanged();

  // Called shortly before the process exits. Sends a final answer to every
  // request that has none; streams go on.
  void AnswerAll();
  // Called as the process exits. Cuts the streams that haven't ended.
  void AbortStreams();

  size_t RequestsInFlight() const { return mExchanges.size(); }
  size_t Waiting() const { return mWaiting.size(); }
  // Of the requests that are tried in order; see Exchange::InOrder().
  std::map<int, int> WaitingByClass() const;

  void OnRequest(const std::shared_ptr<InboundConnection>& aConn,
                 InboundRequest& aRequest) override;
  void OnDisconnected(InboundConnection& aConn) override;
  void OnConnectionClosing(const InboundConnection& aConn,
                           const ConnectionClose& aClose) override;
  void OnInputDiscarded(size_t aBytes) override;
  void OnConnectionRejected(size_t aOpen) override;
  void OnRequestRejected(int aStatus, const char* aWhy) override;
  CallerLimits Limits() const override;
  bool Leaving() const override { return mState.mLeave.Leaving(); }

  void WaitForServer(const std::shared_ptr<Exchange>& aExchange) override;
  void TryInOrder(const std::shared_ptr<Exchange>& aExchange) override;
  bool WaitInOrder(const std::string& aService) const override;
  void OnExchangeDone(Exchange& aExchange) override;

private:
  using Exchanges = std::vector<std::shared_ptr<Exchange>>;
  void RetryWaiting();
  void SortWaiting(Exchanges& aWaiting) const;
  void ArmTimer();

  EntryState& mState;
  RateLimiter& mRateLimiter;
  LoadRequester& mLoadRequester;
  ForwardPeers& mForwardPeers;
  StreamOrigins& mOrigins;
  CrashWatch& mCrashWatch;
  FreshnessCheck& mFreshnessCheck;
  ServerPermits& mServerPermits;
  std::map<const InboundConnection*, std::shared_ptr<Exchange>> mExchanges;
  Exchanges mWaiting;
  bool mRetryScheduled = false;
  bool mTimerArmed = false;
};

} // namespace caraway

#endif
