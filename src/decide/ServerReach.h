// ServerReach.h: whether this instance reaches any server at all.
#ifndef caraway_decide_ServerReach_h
#define caraway_decide_ServerReach_h

#include <map>
#include <string>

#include "caraway/Time.h"

namespace caraway {

// Behind a partition each server looks broken, one by one. Several different
// ones in a row, and none that could be reached between them, tell it from
// servers that fail.
class ServerReach
{
public:
  // A server answered, on whatever connection, or a probe was connected. Full
  // servers refuse connections and answer on those that they have.
  void OnReached();
  // A connection to aServer couldn't be established. A kept one that ends
  // without an answer doesn't count: servers reset those too. aNear: it is in
  // this instance's zone, or none is. Far servers alone are a partition of the
  // zone, which goes on with its own.
  void OnUnreached(const std::string& aServer, bool aNear, TimePoint aNow);
  // From the last of several such failures until a server is reached.
  bool CutOff() const { return mCutOff; }
  // Servers that weren't reached, since the last that was.
  size_t Unreached() const { return mUnreached.size(); }

private:
  struct Failure
  {
    TimePoint mAt{};
    bool mNear = false;
  };

  std::map<std::string, Failure> mUnreached; // last failure of each server
  bool mCutOff = false;
};

} // namespace caraway

#endif
