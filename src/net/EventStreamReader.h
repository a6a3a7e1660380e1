// EventStreamReader.h: follows the events of a text/event-stream body.
#ifndef caraway_net_EventStreamReader_h
#define caraway_net_EventStreamReader_h

#include <cstddef>
#include <string_view>

namespace caraway {

// An event ends with a blank line. Lines end with LF, CR LF or CR. Lines that
// begin with a colon are comments and belong to no event.
class EventStreamReader
{
public:
  // Reads the next bytes of the stream. Returns how many of them precede the
  // end of the last event that ends in them; 0 if none does.
  size_t Take(std::string_view aBytes);
  // Whether an event has begun whose blank line hasn't been read.
  bool InsideEvent() const;

private:
  void EndLine();

  size_t mLineBytes = 0;     // of the line that is being read
  bool mCommentLine = false; // that line is a comment
  bool mHasFields = false;   // of an event that isn't complete
  bool mBlankLine = false;   // the line before was blank
  bool mAfterCr = false;     // an LF would belong to the same line end
};

} // namespace caraway

#endif
