// Random heads of answers, sound ones and some with a byte changed, against a
// grammar that is written down on its own: RFC 9112, sections 3 to 6.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <random>
#include <regex>

#include "net/HttpHead.h"

namespace caraway {

namespace {

constexpr unsigned kHeads = 20000;

using Reader = std::function<HeadState(const std::string&, HttpHead&, size_t&)>;

class HeadMaker
{
public:
  explicit HeadMaker(unsigned aSeed)
    : mRandom(aSeed)
  {
  }
  size_t Draw(size_t aMost)
  {
    return std::uniform_int_distribution<size_t>(0, aMost)(mRandom);
  }
  std::string Sound()
  {
    std::string head = Draw(9) == 0 ? "HTTP/1.0 " : "HTTP/1.1 ";
    head += std::to_string(100 + Draw(499));
    head += Draw(1) == 0 ? " OK\r\n" : " " + Value() + "\r\n";
    for (size_t i = Draw(4); i > 0; --i) {
      head += Name() + ":" + (Draw(1) == 0 ? " " : "") + Value() + "\r\n";
    }
    size_t framing = Draw(3);
    if (framing == 0) {
      head += "Content-Length: " + std::to_string(Draw(100000)) + "\r\n";
    } else if (framing == 1) {
      head += "Transfer-Encoding: chunked\r\n";
    }
    return head + "\r\n";
  }
  // One byte is changed, added or taken out, or a line is doubled.
  std::string Changed()
  {
    std::string head = Sound();
    size_t at = Draw(head.size() - 1);
    switch (Draw(3)) {
      case 0:
        head[at] = Byte();
        break;
      case 1:
        head.insert(at, 1, Byte());
        break;
      case 2:
        head.erase(at, 1);
        break;
      default: {
        size_t begin = head.find("\r\n") + 2;
        size_t end = head.find("\r\n", begin) + 2;
        head.insert(begin, head.substr(begin, end - begin));
      }
    }
    return head;
  }

private:
  char Byte()
  {
    constexpr char kLikely[] = " \t\r\n:0129+-\0\x01\x7f\xe9";
    return Draw(1) == 0 ? kLikely[Draw(sizeof kLikely - 2)]
                        : static_cast<char>(Draw(255));
  }
  std::string Name()
  {
    constexpr char kChars[] = "abcXYZ019!#$%&'*+-.^_`|~";
    std::string name;
    for (size_t i = Draw(8) + 1; i > 0; --i) {
      name += kChars[Draw(sizeof kChars - 2)];
    }
    return name;
  }
  std::string Value()
  {
    constexpr char kChars[] = "abc XYZ\t09:;,\"(/\xe9\xff";
    std::string value;
    for (size_t i = Draw(12); i > 0; --i) {
      value += kChars[Draw(sizeof kChars - 2)];
    }
    return value;
  }

  std::mt19937 mRandom;
};

// Whether aHead, up to its blank line, is the head of an answer.
bool
IsAnswerHead(const std::string& aHead)
{
  static const std::string sText = "[\\t\\x20-\\x7e\\x80-\\xff]*";
  static const std::regex sStatusLine("HTTP/1\\.[01] [1-5][0-9][0-9]( " +
                                      sText + ")?");
  static const std::regex sField("([!#$%&'*+\\-.^_`|~0-9A-Za-z]+):(" + sText +
                                 ")");
  static const std::regex sLength("content-length", std::regex::icase);
  static const std::regex sCoding("transfer-encoding", std::regex::icase);
  static const std::regex sNumber("[ \\t]*[0-9]{1,19}[ \\t]*");
  static const std::regex sChunked("[ \\t]*chunked[ \\t]*", std::regex::icase);
  int framings = 0;
  for (size_t at = 0; at < aHead.size();) {
    size_t end = aHead.find("\r\n", at);
    std::string line = aHead.substr(at, end - at);
    std::smatch parts;
    if (at == 0) {
      if (!std::regex_match(line, sStatusLine)) {
        return false;
      }
    } else if (!std::regex_match(line, parts, sField)) {
      return false;
    } else if (std::regex_match(parts[1].str(), sLength)) {
      ++framings;
      if (!std::regex_match(parts[2].str(), sNumber)) {
        return false;
      }
    } else if (std::regex_match(parts[1].str(), sCoding)) {
      ++framings;
      if (!std::regex_match(parts[2].str(), sChunked) ||
          aHead.rfind("HTTP/1.0", 0) == 0) {
        return false;
      }
    }
    at = end + 2;
  }
  return framings <= 1;
}

// How many heads aReader takes or rejects against the grammar, or takes before
// they are whole.
int
Violations(const Reader& aReader)
{
  int violations = 0;
  HeadMaker maker(78);
  for (unsigned i = 0; i < kHeads; ++i) {
    std::string text = i % 2 == 0 ? maker.Sound() : maker.Changed();
    size_t end = text.find("\r\n\r\n");
    HttpHead head;
    size_t used = 0;
    HeadState state = aReader(text + "body", head, used);
    if (end == std::string::npos) {
      violations += state == HeadState::Complete ? 1 : 0;
      continue;
    }
    bool sound = IsAnswerHead(text.substr(0, end + 2));
    bool taken = state == HeadState::Complete && used == end + 4;
    violations += taken != sound ? 1 : 0;
    std::string part = text.substr(0, maker.Draw(end + 3));
    violations += aReader(part, head, used) == HeadState::Complete ? 1 : 0;
  }
  return violations;
}

HeadState
Strict(const std::string& aText, HttpHead& aHead, size_t& aUsed)
{
  return ReadAnswerHead(aText, aHead, aUsed);
}

} // namespace

// Guards against a head that is taken though it isn't that of an answer, or
// rejected though it is, wherever its bytes are cut.
TEST(AnswerHead, IsTakenByTheGrammarOnly)
{
  EXPECT_EQ(0, Violations(Strict));
}

// Guards against a model that can't fail: each of these readers forgives one
// fault, as lenient parsers do.
TEST(AnswerHead, LenientReadersAreCaught)
{
  Reader anyStatus = [](std::string aText, HttpHead& aHead, size_t& aUsed) {
    if (aText.size() > 9 && std::strchr("06789", aText[9])) {
      aText[9] = '2';
    }
    return ReadAnswerHead(aText, aHead, aUsed);
  };
  Reader lineFeeds =
    [](const std::string& aText, HttpHead& aHead, size_t& aUsed) {
      std::string text =
        std::regex_replace(aText, std::regex("([^\\r])\\n"), "$1\r\n");
      HeadState state = ReadAnswerHead(text, aHead, aUsed);
      aUsed -= state == HeadState::Complete ? text.size() - aText.size() : 0;
      return state;
    };
  Reader controls = [](std::string aText, HttpHead& aHead, size_t& aUsed) {
    std::replace(aText.begin(), aText.end(), '\x01', 'x');
    std::replace(aText.begin(), aText.end(), '\0', 'x');
    return ReadAnswerHead(aText, aHead, aUsed);
  };
  EXPECT_GT(Violations(anyStatus), 0);
  EXPECT_GT(Violations(lineFeeds), 0);
  EXPECT_GT(Violations(controls), 0);
}

} // namespace caraway
