// Events of a stream, whatever ends its lines and wherever its chunks end.

#include <gtest/gtest.h>

#include "net/EventStreamReader.h"

namespace caraway {

namespace {

bool
EndsInside(const std::string& aBytes)
{
  EventStreamReader reader;
  reader.Take(aBytes);
  return reader.InsideEvent();
}

} // namespace

TEST(EventStreamReader, BlankLineEndsAnEvent)
{
  EXPECT_FALSE(EndsInside(""));
  EXPECT_FALSE(EndsInside("id: 1\ndata: a\n\n"));
  EXPECT_FALSE(EndsInside("id: 1\r\ndata: a\r\n\r\n"));
  EXPECT_FALSE(EndsInside("id: 1\rdata: a\r\r"));
  EXPECT_TRUE(EndsInside("id: 1"));
  EXPECT_TRUE(EndsInside("data: a\n"));
  EXPECT_TRUE(EndsInside("data: a\r\n"));
  EXPECT_TRUE(EndsInside("data: a\n\nid: 2\nda"));
}

// Guards against a whole stream that counts as broken because a comment, which
// servers send to keep a connection open, is its last line.
TEST(EventStreamReader, CommentBelongsToNoEvent)
{
  EXPECT_FALSE(EndsInside("data: a\n\n: alive\n"));
  EXPECT_FALSE(EndsInside("data: a\n\n: ali"));
  EXPECT_TRUE(EndsInside("data: a\n: alive\n"));
}

TEST(EventStreamReader, CountsBytesUpToTheLastEnd)
{
  EventStreamReader reader;
  EXPECT_EQ(0u, reader.Take("data: a\n"));
  EXPECT_EQ(1u, reader.Take("\ndata: b"));
  EXPECT_EQ(13u, reader.Take("\n\ndata: c\r\n\r\nid"));
  EXPECT_TRUE(reader.InsideEvent());
}

// A chunk may end between the CR and the LF of one line end.
TEST(EventStreamReader, LineEndInTwoChunksIsOne)
{
  EventStreamReader reader;
  EXPECT_EQ(0u, reader.Take("data: a\r"));
  EXPECT_EQ(0u, reader.Take("\nid: 2\r"));
  EXPECT_TRUE(reader.InsideEvent());
  EXPECT_EQ(2u, reader.Take("\n\r"));
  EXPECT_EQ(1u, reader.Take("\n"));
  EXPECT_FALSE(reader.InsideEvent());
}

} // namespace caraway
