// BodyReader.h: extracts a message body from a byte stream, by its framing.
#ifndef caraway_net_BodyReader_h
#define caraway_net_BodyReader_h

#include <string>
#include <string_view>

#include "net/HttpHead.h"

namespace caraway {

class BodyReader
{
public:
  explicit BodyReader(const HttpHead& aHead);

  // Moves body bytes from the front of aIn to the end of aBody; bytes after the
  // body stay in aIn. Returns false if the bytes violate the framing.
  bool Take(std::string& aIn, std::string& aBody);
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

  BodyFraming mFraming;
  size_t mLeft = 0;         // bytes left of the body or of the chunk
  size_t mTrailerBytes = 0; // read
  Part mPart = Part::Size;
  bool mDone = false;
};

} // namespace caraway

#endif
