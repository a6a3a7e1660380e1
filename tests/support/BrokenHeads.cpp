#include "support/BrokenHeads.h"

namespace caraway {

namespace {

using namespace std::string_literals; // for NUL

// Bytes that no field value or reason may hold.
const std::string kControls[] = { "\0"s, "\x01", "\x1b", "\x7f", "\r" };

std::string
HexOf(char aByte)
{
  constexpr char kDigits[] = "0123456789abcdef";
  auto value = static_cast<unsigned char>(aByte);
  return { kDigits[value / 16], kDigits[value % 16] };
}

void
AddStatusLines(std::vector<BrokenHead>& aHeads)
{
  auto add = [&aHeads](const std::string& aWhat, const std::string& aLine) {
    aHeads.push_back({ aWhat, aLine, "" });
  };
  for (const char* status : { "000",
                              "099",
                              "600",
                              "999",
                              "20",
                              "2000",
                              "2x0",
                              "+20",
                              "-20",
                              " 200",
                              "" }) {
    add("status '" + std::string(status) + "'",
        "HTTP/1.1 " + std::string(status) + " OK\r\n");
  }
  for (const char* version : { "HTTP/2.0",
                               "HTTP/0.9",
                               "http/1.1",
                               "HTTP/1.10",
                               "HTTP/11",
                               "HTTPS/1.1",
                               "HTTP /1.1",
                               "ICY" }) {
    add("version '" + std::string(version) + "'",
        std::string(version) + " 200 OK\r\n");
  }
  for (const std::string& control : kControls) {
    add("reason with byte " + HexOf(control[0]),
        "HTTP/1.1 200 O" + control + "K\r\n");
  }
  add("tab before the status", "HTTP/1.1\t200 OK\r\n");
  add("blank line first", "\r\nHTTP/1.1 200 OK\r\n");
  add("bare line feed ends the status", "HTTP/1.1 200 OK\n");
  add("switched protocol before it",
      "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n");
  add("interim answer with a broken field",
      "HTTP/1.1 100 Continue\r\nX Name: 1\r\n\r\nHTTP/1.1 200 OK\r\n");
}

void
AddFields(std::vector<BrokenHead>& aHeads)
{
  auto add = [&aHeads](const std::string& aWhat, const std::string& aLine) {
    aHeads.push_back({ aWhat, "HTTP/1.1 200 OK\r\n", aLine });
  };
  for (const std::string& byte :
       { " "s, "\t"s, "\0"s, "\x01"s, "\x7f"s, "\xe9"s, "("s, "\""s, "/"s }) {
    add("name with byte " + HexOf(byte[0]), "X" + byte + "Name: 1\r\n");
  }
  add("blank before the colon", "X-Name : 1\r\n");
  add("tab before the colon", "X-Name\t: 1\r\n");
  add("no name", ": 1\r\n");
  add("no colon", "X-Name 1\r\n");
  add("folded line", "X-Name: 1\r\n 2\r\n");
  add("line folded by a tab", "X-Name: 1\r\n\t2\r\n");
  add("bare line feed ends a field", "X-Name: 1\nX-More: 2\r\n");
  aHeads.push_back({ "bare line feeds alone",
                     "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
                     "",
                     false });
  add("bare line feed at the end", "X-Name: 1\n\r\n");
  for (const std::string& control : kControls) {
    add("value with byte " + HexOf(control[0]),
        "X-Name: a" + control + "b\r\n");
  }
}

void
AddFraming(std::vector<BrokenHead>& aHeads)
{
  auto add = [&aHeads](const std::string& aWhat, const std::string& aLine) {
    aHeads.push_back({ aWhat, "HTTP/1.1 200 OK\r\n", aLine });
  };
  auto addAlone = [&aHeads](const std::string& aWhat,
                            const std::string& aLine) {
    aHeads.push_back({ aWhat, "HTTP/1.1 200 OK\r\n", aLine, false });
  };
  add("two lengths that differ", "Content-Length: 3\r\n");
  add("a length and a coding", "Transfer-Encoding: chunked\r\n");
  for (const char* length : { "+4",
                              "-4",
                              "0x4",
                              "4, 4",
                              "4,5",
                              "4 4",
                              "four",
                              "",
                              "4.0",
                              "99999999999999999999999999" }) {
    addAlone("length '" + std::string(length) + "'",
             "Content-Length: " + std::string(length) + "\r\n");
  }
  addAlone("a coding that isn't chunked", "Transfer-Encoding: gzip\r\n");
  addAlone("chunked isn't the last coding",
           "Transfer-Encoding: chunked, gzip\r\n");
  aHeads.push_back({ "a coding in HTTP/1.0",
                     "HTTP/1.0 200 OK\r\n",
                     "Transfer-Encoding: chunked\r\n",
                     false });
}

} // namespace

std::vector<BrokenHead>
BrokenHeads()
{
  std::vector<BrokenHead> heads;
  AddStatusLines(heads);
  AddFields(heads);
  AddFraming(heads);
  return heads;
}

std::string
BrokenAnswer(const BrokenHead& aHead,
             const std::string& aFields,
             const std::string& aBody)
{
  std::string length =
    "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  return aHead.mStatusLine + aFields + (aHead.mFramed ? length : "") +
         aHead.mLine + "\r\n" + aBody;
}

} // namespace caraway
