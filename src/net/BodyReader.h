// BodyReader.h: extracts a message body from a byte stream, by its framing.
#ifndef caraway_net_BodyReader_h
#define caraway_net_BodyReader_h

#include <cstdint>
#include <string>
#include <string_view>

#include "net/HttpHead.h"

namespace caraway {

class BodyReader
{
public:
  explicit BodyReader(const HttpHead& aHead);

  // A longer body is refused as soon as its length, or a chunk's, announces it.
  void SetLimit(size_t aBytes) { mLimit = aBytes; }
  // Moves body bytes from the front of aIn to the end of aBody; bytes after the
  // body stay in aIn. Returns false if the bytes violate the framing or the
  // limit.
  bool Take(std::string& aIn, std::string& aBody);
  bool TooLarge() const { return mTooLarge; }
  // Called when the sender has closed. Returns true if the body is complete.
  bool Close();
  bool Done() const { return mDone; }

private:
  enum class Part
  {
    Size,
    Data,
    DataEnd,
    Trailer,
  };
  bool TakeChunked(std::string& aIn, std::string& aBody);
  bool TakeSize(std::string_view aIn, size_t& aAt, bool& aMore);
  bool TakeLine(std::string_view aIn, size_t& aAt, std::string_view& aLine);
  bool CheckLimit(size_t aMore);

  BodyFraming mFraming;
  size_t mLeft = 0;         // bytes left of the body or of the chunk
  size_t mTrailerBytes = 0; // read
  size_t mLimit = SIZE_MAX; // of the body
  size_t mTaken = 0;        // bytes of the body
  bool mTooLarge = false;
  Part mPart = Part::Size;
  bool mDone = false;
};

} // namespace caraway

#endif
