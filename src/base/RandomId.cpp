#include "base/RandomId.h"

#include <cstdio>
#include <random>

namespace caraway {

namespace {

std::string
RandomHex(int aWordCount)
{
  std::random_device device;
  std::string text;
  for (int i = 0; i < aWordCount; ++i) {
    char digits[9];
    std::snprintf(digits, sizeof digits, "%08x", device());
    text += digits;
  }
  return text;
}

} // namespace

std::string
RandomId()
{
  return RandomHex(4);
}

std::string
RandomKey()
{
  return "cw_" + RandomHex(8);
}

} // namespace caraway
