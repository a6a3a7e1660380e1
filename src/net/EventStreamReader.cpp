#include "net/EventStreamReader.h"

namespace caraway {

void
EventStreamReader::EndLine()
{
  mBlankLine = mLineBytes == 0;
  mHasFields = !mBlankLine && (mHasFields || !mCommentLine);
  mLineBytes = 0;
}

size_t
EventStreamReader::Take(std::string_view aBytes)
{
  size_t complete = 0;
  for (size_t at = 0; at < aBytes.size(); ++at) {
    char byte = aBytes[at];
    bool sameLineEnd = mAfterCr && byte == '\n';
    mAfterCr = byte == '\r';
    if (byte != '\n' && byte != '\r') {
      mCommentLine = mLineBytes == 0 ? byte == ':' : mCommentLine;
      ++mLineBytes;
      continue;
    }
    if (!sameLineEnd) {
      EndLine();
    }
    complete = mBlankLine ? at + 1 : complete;
  }
  return complete;
}

bool
EventStreamReader::InsideEvent() const
{
  return mHasFields || (mLineBytes > 0 && !mCommentLine);
}

} // namespace caraway
