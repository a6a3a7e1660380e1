// RequestClass.h: urgency classes of requests.
#ifndef caraway_RequestClass_h
#define caraway_RequestClass_h

#include <string>

namespace caraway {

// Lower values are served first.
enum class RequestClass
{
  Urgent,      // bulletins, orders: useless when late
  Interactive, // chat with a user waiting
  Batch,       // briefings: may wait, must not be lost
};

constexpr int kRequestClassCount = 3;

const char*
RequestClassName(RequestClass aClass);
// Returns false, without changing aOut, if aName is no class.
bool
RequestClassParse(const std::string& aName, RequestClass& aOut);

} // namespace caraway

#endif
