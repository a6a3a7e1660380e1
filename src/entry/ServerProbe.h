// ServerProbe.h: follows whether this instance reaches any server.
#ifndef caraway_entry_ServerProbe_h
#define caraway_entry_ServerProbe_h

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

  EntryState& mState;
  bool mCutOff = false; // as last logged
  TimePoint mCutOffAt{};
};

} // namespace caraway

#endif
