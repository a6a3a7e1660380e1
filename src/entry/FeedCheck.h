// FeedCheck.h: asks the store, and other instances where it doesn't answer at
// once, whether what the feeds have delivered is still the newest.
//
// Needed where a feed's own confirmations don't count: after a start or a
// standstill, and before a denial by a configuration that nothing has confirmed
// within its limit. On a calm day nothing is asked.
#ifndef caraway_entry_FeedCheck_h
#define caraway_entry_FeedCheck_h

#include <string>
#include <vector>

#include "entry/FeedRelay.h"
#include "entry/FreshnessCheck.h"

namespace caraway {

class FeedCheck : public FreshnessCheck
{
public:
  FeedCheck(EntryState& aState,
            Peers& aPeers,
            ConfigFeed& aFeed,
            EvacuationFeed& aEvacuations,
            FeedRelay& aRelay);

  // Also begins the check of what the feeds deliver first.
  void Start();
  void Check(std::function<void()> aDone) override;
  void ReadServer(const std::string& aServer,
                  std::function<void()> aDone) override;

private:
  Json::Value OwnConfig() const;
  void AskStore();
  void AskPeers();
  void AskPeer(const std::string& aPeer);
  void Poll();
  bool Settled() const;
  void NoteFailures();
  void End();

  EntryState& mState;
  Peers& mPeers;
  ConfigFeed& mFeed;
  EvacuationFeed& mEvacuations;
  FeedRelay& mRelay;
  bool mRunning = false;
  TimePoint mBeganAt{};
  bool mPeersAsked = false;
  std::vector<std::function<void()>> mWaiting;
};

} // namespace caraway

#endif
