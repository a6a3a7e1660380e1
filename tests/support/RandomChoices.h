// RandomChoices.h: random choices of a model test, drawn from a shrinkable
// sequence of bytes.
#ifndef caraway_tests_RandomChoices_h
#define caraway_tests_RandomChoices_h

#include <cstdint>
#include <rapidcheck.h>
#include <vector>

namespace caraway {

// rapidcheck shrinks the bytes, and with them the sequence of events.
class RandomChoices
{
public:
  static RandomChoices OfLength(size_t aBytes)
  {
    return RandomChoices(*rc::gen::container<std::vector<uint8_t>>(
      aBytes, rc::gen::arbitrary<uint8_t>()));
  }
  bool Ended() const { return mNext >= mBytes.size(); }
  int Below(int aLimit) { return Ended() ? 0 : mBytes[mNext++] % aLimit; }

private:
  explicit RandomChoices(std::vector<uint8_t> aBytes)
    : mBytes(std::move(aBytes))
  {
  }
  std::vector<uint8_t> mBytes;
  size_t mNext = 0;
};

} // namespace caraway

#endif
