// The event log never blocks and its memory is bounded.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

#include "base/EventLog.h"
#include "base/JsonText.h"
#include "caraway/PausedClock.h"

namespace caraway {

TEST(EventLog, LinesAreJsonAndQuoted)
{
  PausedClock clock;
  EventLog log(clock, "i1", -1);
  log.Line("request_sent")
    .Text("id", "a\"b\n\xff")
    .Count("n", 7)
    .Flag("f", true);
  Json::Value line = JsonParseOrEmpty(log.BufferedText());
  EXPECT_EQ("request_sent", line["event"].asString());
  EXPECT_EQ("i1", line["instance"].asString());
  EXPECT_EQ(7, line["n"].asInt());
  EXPECT_TRUE(line["f"].asBool());
}

// Guards against one frequent event that displaces the lines of others; the
// number of its dropped lines must be logged in a line of its own.
TEST(EventLog, FloodOfOneEventDoesNotDropOthers)
{
  PausedClock clock;
  EventLog log(clock, "i1", -1);
  for (int i = 0; i < 1000; ++i) {
    log.Line("flood");
  }
  EXPECT_EQ(800, log.DroppedLines());
  log.Line("other");
  EXPECT_NE(std::string::npos, log.BufferedText().find("\"other\""));
  clock.Advance(Seconds(1));
  log.Line("flood");
  EXPECT_NE(std::string::npos, log.BufferedText().find("\"lines\":800"));
}

// Guards against a pipe that nobody reads: writes must return at once, memory
// must stay bounded, and lines must flow again after a read.
TEST(EventLog, FullPipeDoesNotBlock)
{
  int pipeEnds[2];
  ASSERT_EQ(0, pipe(pipeEnds));
  PausedClock clock;
  EventLog log(clock, "i1", pipeEnds[1]);
  auto begin = std::chrono::steady_clock::now();
  for (int second = 0; second < 60; ++second) {
    for (int i = 0; i < 190; ++i) {
      log.Line("busy").Text("text", std::string(100, 'x'));
    }
    log.Flush();
    clock.Advance(Seconds(1));
  }
  EXPECT_LT(std::chrono::steady_clock::now() - begin, Seconds(2));
  EXPECT_LE(log.BufferedBytes(), 300u * 1024);
  EXPECT_GT(log.DroppedLines(), 0);
  size_t bufferedBefore = log.BufferedBytes();
  char bytes[65536];
  ASSERT_GT(read(pipeEnds[0], bytes, sizeof bytes), 0);
  log.Flush();
  EXPECT_LT(log.BufferedBytes(), bufferedBefore);
  close(pipeEnds[0]);
  close(pipeEnds[1]);
}

// Guards against a partial line from a process that exited while nobody read,
// followed by the first line of its successor.
TEST(EventLog, ExitingProcessLeavesNoPartialLine)
{
  int pipeEnds[2];
  ASSERT_EQ(0, pipe(pipeEnds));
  PausedClock clock;
  for (const char* name : { "first", "second" }) {
    EventLog log(clock, name, pipeEnds[1]);
    for (int i = 0; i < 190; ++i) {
      log.Line("busy").Text("text", std::string(600 + i, 'x'));
    }
    log.Flush();
    EXPECT_GT(log.BufferedBytes(), 0u);
    char bytes[2000];
    ASSERT_GT(read(pipeEnds[0], bytes, sizeof bytes), 0);
  }
  close(pipeEnds[1]);
  std::string text;
  char bytes[4096];
  ssize_t count = 0;
  while ((count = read(pipeEnds[0], bytes, sizeof bytes)) > 0) {
    text.append(bytes, static_cast<size_t>(count));
  }
  close(pipeEnds[0]);
  std::istringstream lines(text.substr(text.find('\n') + 1));
  std::string line;
  while (std::getline(lines, line)) {
    EXPECT_EQ("busy", JsonParseOrEmpty(line)["event"].asString()) << line;
  }
}

} // namespace caraway
