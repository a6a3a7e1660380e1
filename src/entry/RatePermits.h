// RatePermits.h: asks for permits to send to servers that have named a rate
// limit, keeps those of some servers for all instances, and tells the others
// which servers have named one.
//
// An instance of the server's zone keeps a server's permits; which one follows
// from the list of instances alone. If it doesn't answer, the next one is
// asked. As long as no server names a limit, no message is sent.
#ifndef caraway_entry_RatePermits_h
#define caraway_entry_RatePermits_h

#include "decide/RateReservations.h"
#include "entry/Peers.h"
#include "entry/ServerPermits.h"

namespace caraway {

class RatePermits : public ServerPermits
{
public:
  RatePermits(EntryState& aState, Peers& aPeers);

  void Start();
  void FillHeartbeat(Json::Value& aHeartbeat) const;
  void ReadHeartbeat(const Json::Value& aHeartbeat);

  void Request(const std::string& aServer,
               Millis aWithin,
               std::function<void(const Answer&)> aDone) override;

private:
  struct Ask;
  std::vector<std::string> KeepersOf(const Backend& aBackend) const;
  Json::Value OnAsked(const Json::Value& aParams);
  void AskNext(const std::shared_ptr<Ask>& aAsk);
  void OnAnswer(Ask& aAsk, const Json::Value& aResult);
  void Finish(Ask& aAsk, const Answer& aAnswer);

  EntryState& mState;
  Peers& mPeers;
  RateReservations mReservations;
};

} // namespace caraway

#endif
