// ServerProbe.h: follows whether this instance reaches any server, and tries
// connections while it doesn't.
#ifndef caraway_entry_ServerProbe_h
#define caraway_entry_ServerProbe_h

#include <memory>
#include <string>

#include "entry/EntryState.h"

namespace caraway {

class ServerProbe
{
public:
  explicit ServerProbe(EntryState& aState);

  void Start();

private:
  void Tick();
  void LogChange();
  void Probe();
  const Backend* NextServer() const;
  void KeepProbe();

  EntryState& mState;
  std::shared_ptr<Channel> mProbe; // a connection that is being established
  std::string mServer;             // of mProbe
  std::string mAddress;            // of mServer
  TimePoint mNextProbeAt{};
  bool mCutOff = false; // as last logged
  TimePoint mCutOffAt{};
};

} // namespace caraway

#endif
