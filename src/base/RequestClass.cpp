#include "caraway/RequestClass.h"

namespace caraway {

namespace {

constexpr const char* kNames[kRequestClassCount] = { "urgent",
                                                     "interactive",
                                                     "batch" };

} // namespace

const char*
RequestClassName(RequestClass aClass)
{
  return kNames[static_cast<int>(aClass)];
}

bool
RequestClassParse(const std::string& aName, RequestClass& aOut)
{
  for (int i = 0; i < kRequestClassCount; ++i) {
    if (aName == kNames[i]) {
      aOut = static_cast<RequestClass>(i);
      return true;
    }
  }
  return false;
}

} // namespace caraway
