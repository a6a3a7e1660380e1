// HttpHead.h: strict parser and writer for HTTP message heads.
//
// POCO's parser needs a blocking stream and accepts what a proxy must not: two
// lengths, a space before a colon, a bare line feed. A head that two parsers
// read differently allows request smuggling, so ambiguous heads are refused.
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

// "none", "length", "chunked" or "until_close", as in logs.
const char*
FramingName(BodyFraming aFraming);

// Why a head is bad: the first line or value that isn't one by RFC 9110 and
// RFC 9112.
enum class HeadFault
{
  None,
  FirstLine,
  Status,
  FieldName,
  FieldValue,
  FieldCount,
  Framing, // lengths or codings that differ, or are none
};

// "first line", "status", "field name" and so on, as in logs.
const char*
HeadFaultName(HeadFault aFault);

struct HttpHead
{
  std::string mMethod; // requests
  std::string mTarget; // requests
  int mStatus = 0;     // answers
  std::string mReason; // answers
  bool mKeepAlive = true;
  std::vector<HttpField> mFields;
  BodyFraming mFraming = BodyFraming::None;
  size_t mLength = 0;                 // with BodyFraming::Length
  HeadFault mFault = HeadFault::None; // of a bad head

  const std::string* Find(std::string_view aName) const;
  void Add(std::string aName, std::string aValue);
};

enum class HeadState
{
  Partial,
  Complete,
  Bad,
};

// A switch of protocols, which is never asked for: what follows is no answer.
inline constexpr int kSwitchingProtocols = 101;

// Whether another head follows this one of an answer.
bool
IsInterim(const HttpHead& aHead);

// Compares ASCII text without case, as for header names.
bool
EqualsIgnoreCase(std::string_view aOne, std::string_view aOther);

// Reads a head from the start of aBytes. If the result is Complete, aUsed is
// the number of bytes read.
HeadState
ReadRequestHead(std::string_view aBytes, HttpHead& aHead, size_t& aUsed);
HeadState
ReadAnswerHead(std::string_view aBytes, HttpHead& aHead, size_t& aUsed);

// Whether a line, without its end, is a field as heads and trailers have it.
bool
IsFieldLine(std::string_view aLine);

// Whether a text has no control bytes but tabs.
bool
IsPlainText(std::string_view aText);

// Returns aFirstLine, the fields and the blank line.
std::string
WriteHead(const std::string& aFirstLine, const std::vector<HttpField>& aFields);

// Whether a field concerns one connection only, including the framing.
bool
IsHopByHopField(std::string_view aName);

} // namespace caraway

#endif
