// CallerFront.h: callers' requests, those under way and those that wait.
#ifndef caraway_entry_CallerFront_h
#define caraway_entry_CallerFront_h

#include <map>
#include <memory>
#include <vector>

#include "entry/Exchange.h"

namespace caraway {

class CallerFront
  : public InboundHandler
  , public ExchangeOwner
{
public:
  CallerFront(EntryState& aState, TokenAsker& aTokens, PlaceAsker& aPlaces);

  // What servers hold or have room for has changed: those who wait look
  // again, the most urgent first, at the end of this turn.
  void ServersChanged();

  // The process ends: whoever has no final answer gets one now.
  void AnswerAll();

  size_t UnderWay() const { return mExchanges.size(); }
  size_t Waiting() const { return mWaiting.size(); }

  void OnRequest(const std::shared_ptr<InboundConn>& aConn,
                 InboundRequest& aRequest) override;
  void OnLeft(InboundConn& aConn) override;
  void OnConnEnd(const InboundConn& aConn, const ConnEnd& aEnd) override;
  void OnDropped(size_t aBytes) override;
  void OnTurnedAway(size_t aOpen) override;
  void OnBad(int aStatus, const char* aWhy) override;
  CallerLimits Limits() const override;
  bool Leaving() const override { return mState.mLeave.Leaving(); }

  void Wait(const std::shared_ptr<Exchange>& aExchange) override;
  void Over(Exchange& aExchange) override;

private:
  void LookAgain();
  void ArmTimer();

  EntryState& mState;
  TokenAsker& mTokens;
  PlaceAsker& mPlaces;
  std::map<const InboundConn*, std::shared_ptr<Exchange>> mExchanges;
  std::vector<std::shared_ptr<Exchange>> mWaiting;
  bool mLookDue = false;
  bool mTimerArmed = false;
};

} // namespace caraway

#endif
