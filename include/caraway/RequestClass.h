// RequestClass.h: how urgent a kind of work is.
#ifndef caraway_RequestClass_h
#define caraway_RequestClass_h

#include <string>

namespace caraway {

// Lower is served first.
enum class RequestClass
{
  Urgent,      // bulletins, orders: late is worthless
  Interactive, // chat with a person waiting
  Batch,       // briefings: may wait, must not be lost
};

constexpr int kRequestClassCount = 3;

const char*
RequestClassName(RequestClass aClass);
// False when aName is no class; aOut is then left alone.
bool
RequestClassParse(const std::string& aName, RequestClass& aOut);

} // namespace caraway

#endif
