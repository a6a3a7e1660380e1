// Heads and bodies are parsed strictly: input that two parsers could read
// differently is rejected.

#include <gtest/gtest.h>

#include "net/BodyReader.h"
#include "net/HttpHead.h"

namespace caraway {

namespace {

HeadState
StateOf(const std::string& aText)
{
  HttpHead head;
  size_t used = 0;
  return ReadRequestHead(aText, head, used);
}

// Feeds the bytes one by one, as a slow network may.
bool
TakeByteByByte(BodyReader& aReader,
               const std::string& aBytes,
               std::string& aBody)
{
  std::string input;
  for (char byte : aBytes) {
    input += byte;
    if (!aReader.Take(input, aBody)) {
      return false;
    }
  }
  return true;
}

HttpHead
Framed(BodyFraming aFraming, size_t aLength = 0)
{
  HttpHead head;
  head.mFraming = aFraming;
  head.mLength = aLength;
  return head;
}

} // namespace

TEST(HttpHead, CompleteAndPartialHeads)
{
  EXPECT_EQ(HeadState::Complete, StateOf("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
  EXPECT_EQ(HeadState::Partial, StateOf("GET / HTTP/1.1\r\nHost: h\r\n"));
  HttpHead head;
  size_t used = 0;
  ReadRequestHead(
    "GET /a HTTP/1.1\r\nConnection: x, Close\r\n\r\nrest", head, used);
  EXPECT_FALSE(head.mKeepAlive);
  EXPECT_EQ(41u, used); // up to "rest"
}

TEST(HttpHead, AmbiguousHeadsAreRejected)
{
  for (const char* fields : { "A : b\r\n",
                              " A: b\r\n",
                              "A\r\n",
                              "A: b\nB: c\r\n",
                              "A: \x01\r\n",
                              "Content-Length: 1\r\nContent-Length: 1\r\n",
                              "Content-Length: 1, 1\r\n",
                              "Content-Length: -1\r\n",
                              "Content-Length: 0x1\r\n",
                              "Transfer-Encoding: gzip\r\n",
                              "Transfer-Encoding: chunked\r\n"
                              "Content-Length: 1\r\n" }) {
    EXPECT_EQ(HeadState::Bad,
              StateOf(std::string("GET / HTTP/1.1\r\n") + fields + "\r\n"))
      << fields;
  }
  for (const char* line : { "GET /",
                            "GET  / HTTP/1.1",
                            "GET x HTTP/1.1",
                            "GET / HTTP/2.0",
                            "G\tT / HTTP/1.1" }) {
    EXPECT_EQ(HeadState::Bad, StateOf(std::string(line) + "\r\n\r\n")) << line;
  }
}

TEST(HttpHead, AnswerWithoutLengthEndsAtTheClose)
{
  HttpHead head;
  size_t used = 0;
  EXPECT_EQ(HeadState::Complete,
            ReadAnswerHead("HTTP/1.1 200 OK\r\n\r\n", head, used));
  EXPECT_EQ(BodyFraming::UntilClose, head.mFraming);
  BodyReader reader(head);
  EXPECT_FALSE(reader.Done());
  EXPECT_TRUE(reader.Close());
  EXPECT_EQ(HeadState::Bad, ReadAnswerHead("\x01\r\n\r\n", head, used));
  EXPECT_EQ(HeadState::Bad, ReadAnswerHead("HTTP/1.1 2x0\r\n\r\n", head, used));
}

TEST(BodyReader, ChunkedBodyIsReadAndLaterInputIsKept)
{
  BodyReader reader(Framed(BodyFraming::Chunked));
  std::string body;
  EXPECT_TRUE(
    TakeByteByByte(reader, "3\r\nabc\r\nA;x=1\r\n0123456789\r\n0\r\n", body));
  EXPECT_FALSE(reader.Done());
  EXPECT_FALSE(reader.Close());
  std::string rest = "T: v\r\n\r\nnext";
  EXPECT_TRUE(reader.Take(rest, body));
  EXPECT_TRUE(reader.Done());
  EXPECT_EQ("abc0123456789", body);
  EXPECT_EQ("next", rest);
}

TEST(BodyReader, MalformedChunksAreRejected)
{
  for (const char* bytes : { "x\r\n",
                             "-1\r\n",
                             "3\r\nabcd\r\n",
                             "\r\n",
                             "3;a\nb\r\n",
                             "3;a\x01\r\n",
                             "0\r\nX Name: 1\r\n",
                             "0\r\nX-Name : 1\r\n",
                             "0\r\n folded\r\n",
                             "0\r\nno colon\r\n",
                             "0\r\nX-Name: a\nb\r\n" }) {
    BodyReader reader(Framed(BodyFraming::Chunked));
    std::string body;
    EXPECT_FALSE(TakeByteByByte(reader, bytes, body)) << bytes;
  }
}

TEST(BodyReader, BodyEndsAtItsLength)
{
  BodyReader reader(Framed(BodyFraming::Length, 3));
  std::string body;
  std::string input = "abcdef";
  EXPECT_TRUE(reader.Take(input, body));
  EXPECT_TRUE(reader.Done());
  EXPECT_EQ("abc", body);
  EXPECT_EQ("def", input);
}

// Guards against a body that is refused only once its bytes were taken.
TEST(BodyReader, LongerBodyIsRefusedAsItIsAnnounced)
{
  std::string body;
  BodyReader chunked(Framed(BodyFraming::Chunked));
  chunked.SetLimit(10);
  std::string chunks = "6\r\n012345\r\n4\r\n6789\r\n";
  EXPECT_TRUE(chunked.Take(chunks, body));
  std::string more = "1\r\n";
  EXPECT_FALSE(chunked.Take(more, body));
  EXPECT_TRUE(chunked.TooLarge());
  EXPECT_EQ("0123456789", body);
  BodyReader length(Framed(BodyFraming::Length, 11));
  length.SetLimit(10);
  std::string input = "0";
  EXPECT_FALSE(length.Take(input, body));
  EXPECT_TRUE(length.TooLarge());
}

} // namespace caraway
