// ServerProbe.h: follows whether this instance reaches any server, and tries
// connections while it doesn't.
#ifndef caraway_entry_ServerProbe_h
#define caraway_entry_ServerProbe_h

#include <functional>
#include <memory>
#include <string>

#include "entry/EntryState.h"

namespace caraway {

class ServerProbe
{
public:
  explicit ServerProbe(EntryState& aState);

  void Start();
  // Called with true when the instance has reached no server for a second, and
  // with false when it reaches one again.
  void OnLastingChange(std::function<void(bool)> aChange)
  {
    mOnLastingChange = std::move(aChange);
  }

private:
  void Tick();
  void LogChange();
  void TellIfLasting();
  void Probe();
  const Backend* NextServer() const;
  void KeepProbe();

  EntryState& mState;
  std::shared_ptr<Channel> mProbe; // a connection that is being established
  std::string mServer;             // of mProbe
  std::string mAddress;            // of mServer
  TimePoint mNextProbeAt{};
  bool mLasting = false; // as last told
  std::function<void(bool)> mOnLastingChange = [](bool) {};
  bool mCutOff = false; // as last logged
  TimePoint mCutOffAt{};
};

} // namespace caraway

#endif
