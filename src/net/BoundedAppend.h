// BoundedAppend.h: appends to a buffer that must not grow to twice what is due.
#ifndef caraway_net_BoundedAppend_h
#define caraway_net_BoundedAppend_h

#include <string>
#include <string_view>

namespace caraway {

// Reserves no more than aMostBytes unless aBytes needs more.
void
BoundedAppend(std::string& aBuffer, std::string_view aBytes, size_t aMostBytes);

} // namespace caraway

#endif
