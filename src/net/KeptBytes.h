// KeptBytes.h: a bound on what a process keeps of answers that aren't complete.
//
// A bound for each call is none for the process: some dozens of calls to a
// server that sends bytes without end would fill an instance's memory.
#ifndef caraway_net_KeptBytes_h
#define caraway_net_KeptBytes_h

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace caraway {

class KeptBytes
{
public:
  using Id = uint64_t;

  explicit KeptBytes(size_t aLimit);

  // aGiveUp is called once at most, from Set() of any keeper; nothing is
  // counted for this keeper from then on.
  Id Add(std::function<void()> aGiveUp);
  // The keeper has so many bytes now. While all together have more than the
  // limit, the one with the most is given up.
  void Set(Id aId, size_t aBytes);
  void Remove(Id aId);
  size_t Total() const { return mTotal; }
  int GivenUp() const { return mGivenUp; }

private:
  struct Keeper
  {
    size_t mBytes = 0;
    std::function<void()> mGiveUp;
  };
  void GiveUpLargest();

  size_t mLimit;
  size_t mTotal = 0;
  int mGivenUp = 0;
  Id mNext = 1;
  std::map<Id, Keeper> mKeepers;
};

} // namespace caraway

#endif
