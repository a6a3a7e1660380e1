#include "base/RandomId.h"

#include <cstdio>
#include <random>

namespace caraway {

namespace {

std::string
RandomHex(int aArguments)
{
  std::random_device device;
  std::string text;
  for (int i = 0; i < aArguments; ++i) {
    char word[9];
    std::snprintf(word, sizeof word, "%08x", device());
    text += word;
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
