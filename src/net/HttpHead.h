// HttpHead.h: one message head, read strictly from a buffer.
//
// POCO's reader takes a blocking stream and accepts what proxies must not:
// two lengths, a space before a colon, a bare line feed. A head that two
// readers understand differently lets a caller hide a second request in the
// first; what isn't plainly one message is refused here.
#ifndef caraway_net_HttpHead_h
#define caraway_net_HttpHead_h

#include <string>
#include <string_view>
#include <vector>

namespace caraway {

struct HttpField
{
  std::string mName;
  std::string mValue;
};

enum class BodyFraming
{
  None,
  Length,
  Chunked,
  UntilClose, // answers only
};

struct HttpHead
{
  std::string mMethod; // requests
  std::string mTarget; // requests
  int mStatus = 0;     // answers
  std::string mReason; // answers
  bool mKeepAlive = true;
  std::vector<HttpField> mFields;
  BodyFraming mFraming = BodyFraming::None;
  size_t mLength = 0; // with BodyFraming::Length

  const std::string* Find(std::string_view aName) const;
  void Add(std::string aName, std::string aValue);
};

enum class HeadState
{
  Partial,
  Whole,
  Bad,
};

// Names compare without case.
bool
EqualsIgnoreCase(std::string_view aOne, std::string_view aOther);

// Reads a head from the start of aBytes; aUsed = its bytes when Whole.
HeadState
ReadRequestHead(std::string_view aBytes, HttpHead& aHead, size_t& aUsed);
HeadState
ReadAnswerHead(std::string_view aBytes, HttpHead& aHead, size_t& aUsed);

// The fields and the blank line, after aFirstLine.
std::string
WriteHead(const std::string& aFirstLine, const std::vector<HttpField>& aFields);

// Fields that concern one connection only, and framing.
bool
IsHopByHopField(std::string_view aName);

} // namespace caraway

#endif
