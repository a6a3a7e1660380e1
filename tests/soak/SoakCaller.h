// SoakCaller.h: a caller that keeps its connection as long as it is let.
#ifndef caraway_soak_SoakCaller_h
#define caraway_soak_SoakCaller_h

#include <deque>
#include <memory>
#include <optional>
#include <random>

#include "net/BodyReader.h"
#include "net/Channel.h"
#include "soak/SoakCall.h"
#include "support/EntryTestFleet.h"

namespace caraway {

// Where callers are sent, and where their calls are kept.
class SoakSite
{
public:
  virtual ~SoakSite() = default;
  // An instance that the balancer takes for ready; none = no such instance.
  virtual std::optional<size_t> Pick() = 0;
  virtual EntryTestFleet& TestFleet() = 0;
  virtual std::mt19937& Random() = 0;
  virtual SoakCall& NewCall() = 0; // stays where it is
  virtual bool Ending() const = 0;
};

class SoakCaller : public std::enable_shared_from_this<SoakCaller>
{
public:
  SoakCaller(SoakSite& aSite, std::string aTenant);
  // Sends the next request within aDelay.
  void Next(Millis aDelay);

private:
  void Send();
  void Connect(size_t aInstance);
  std::string TextOf(const SoakCall& aCall);
  void OnData();
  void OnEnd();
  void OnTimeUp(const SoakCall* aCall);
  void Finish(SoakCall& aCall, bool aKeep);

  SoakSite& mSite;
  std::string mTenant;
  std::shared_ptr<Channel> mChannel;
  size_t mInstance = 0;
  int mRequestsOnConnection = 0;
  SoakCall* mCall = nullptr; // under way
  std::optional<HttpHead> mHead;
  std::optional<BodyReader> mReader;
};

} // namespace caraway

#endif
