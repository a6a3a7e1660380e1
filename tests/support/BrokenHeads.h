// BrokenHeads.h: heads of answers that RFC 9110 and 9112 don't allow, each
// before a body that is whole by the head's other lines.
#ifndef caraway_tests_BrokenHeads_h
#define caraway_tests_BrokenHeads_h

#include <string>
#include <vector>

namespace caraway {

struct BrokenHead
{
  std::string mWhat; // is wrong
  std::string mStatusLine = "HTTP/1.1 200 OK\r\n";
  std::string mLine;   // one more line or several, with their ends
  bool mFramed = true; // a Content-Length of the body precedes mLine
};

std::vector<BrokenHead>
BrokenHeads();

// aFields: the fields of a sound answer, as whole lines.
std::string
BrokenAnswer(const BrokenHead& aHead,
             const std::string& aFields,
             const std::string& aBody);

} // namespace caraway

#endif
