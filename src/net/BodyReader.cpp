#include "net/BodyReader.h"

#include <algorithm>
#include <charconv>

#include "net/BoundedAppend.h"

namespace caraway {

namespace {

// Longer size lines, trailer lines and chunks are rejected; real senders make
// none.
constexpr size_t kMaxLineBytes = 256;
constexpr size_t kMaxChunkBytes = 1u << 30;

// Limit of all trailer lines together.
constexpr size_t kMaxTrailerBytes = 8192;

} // namespace

BodyReader::BodyReader(const HttpHead& aHead)
  : mFraming(aHead.mFraming)
  , mLeft(aHead.mLength)
  , mDone(aHead.mFraming == BodyFraming::None ||
          (aHead.mFraming == BodyFraming::Length && aHead.mLength == 0))
{
}

bool
BodyReader::Take(std::string& aIn, std::string& aBody)
{
  if (mDone) {
    return true;
  }
  if (mFraming == BodyFraming::Chunked) {
    return TakeChunked(aIn, aBody);
  }
  bool length = mFraming == BodyFraming::Length;
  size_t count = length ? std::min(aIn.size(), mLeft) : aIn.size();
  if (!CheckLimit(length ? mLeft : count)) {
    return false;
  }
  if (length) {
    BoundedAppend(
      aBody, std::string_view(aIn).substr(0, count), mTaken + mLeft);
    mLeft -= count;
    mDone = mLeft == 0;
  } else {
    aBody.append(aIn, 0, count);
  }
  mTaken += count;
  aIn.erase(0, count);
  return true;
}

// Whether aMore bytes may follow those that were taken.
bool
BodyReader::CheckLimit(size_t aMore)
{
  mTooLarge = mTaken > mLimit || aMore > mLimit - mTaken;
  return !mTooLarge;
}

bool
BodyReader::Close()
{
  mDone = mDone || mFraming == BodyFraming::UntilClose;
  return mDone;
}

bool
BodyReader::TakeLine(std::string_view aIn, size_t& aAt, std::string_view& aLine)
{
  size_t end = aIn.find("\r\n", aAt);
  if (end == std::string_view::npos) {
    return false;
  }
  aLine = aIn.substr(aAt, end - aAt);
  aAt = end + 2;
  return true;
}

bool
BodyReader::TakeSize(std::string_view aIn, size_t& aAt, bool& aMore)
{
  std::string_view line;
  if (!TakeLine(aIn, aAt, line)) {
    aMore = false;
    return aIn.size() - aAt <= kMaxLineBytes;
  }
  std::string_view digits = line.substr(0, line.find(';'));
  const char* end = digits.data() + digits.size();
  auto [at, error] = std::from_chars(digits.data(), end, mLeft, 16);
  if (digits.empty() || error != std::errc() || at != end ||
      !IsPlainText(line)) {
    return false;
  }
  if (mLeft > kMaxChunkBytes) {
    mTooLarge = mLimit != SIZE_MAX;
    return false;
  }
  mPart = mLeft == 0 ? Part::Trailer : Part::Data;
  return CheckLimit(mLeft);
}

bool
BodyReader::TakeChunked(std::string& aIn, std::string& aBody)
{
  size_t at = 0;
  bool valid = true;
  bool more = true;
  while (valid && more && !mDone) {
    std::string_view line;
    if (mPart == Part::Size) {
      valid = TakeSize(aIn, at, more);
    } else if (mPart == Part::Data) {
      size_t count = std::min(mLeft, aIn.size() - at);
      BoundedAppend(aBody, std::string_view(aIn).substr(at, count), mLimit);
      at += count;
      mTaken += count;
      mLeft -= count;
      more = mLeft == 0;
      mPart = more ? Part::DataEnd : Part::Data;
    } else if (mPart == Part::DataEnd) {
      more = aIn.size() - at >= 2;
      valid = !more || aIn.compare(at, 2, "\r\n") == 0;
      if (more) {
        at += 2;
        mPart = Part::Size;
      }
    } else if (!TakeLine(aIn, at, line)) {
      more = false;
      valid = aIn.size() - at <= kMaxLineBytes;
    } else {
      mDone = line.empty();
      mTrailerBytes += line.size();
      valid = mTrailerBytes <= kMaxTrailerBytes && (mDone || IsFieldLine(line));
    }
  }
  aIn.erase(0, at);
  return valid;
}

} // namespace caraway
