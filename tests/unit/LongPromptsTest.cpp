// Long prompts beside short ones on the same servers.

#include <gtest/gtest.h>

#include <functional>

#include "decide/ServerView.h"

namespace caraway {

namespace {

constexpr double kShort = 100; // tokens; 4 ms to read
constexpr double kLong = 6800; // 255 ms
constexpr int kInstances = 30;
const TimePoint kStart = TimePoint(Seconds(1000));

ServerRequirements
Requirements(double aTokens)
{
  ServerRequirements requirements;
  requirements.mService = "llm";
  requirements.mPromptTokens = aTokens;
  requirements.mTarget = Millis(aTokens == kLong ? 2000 : 500);
  requirements.mGapAim = Millis(300);
  requirements.mInstances = kInstances;
  return requirements;
}

// 30 instances send 40 short and 4 long prompts a second to three servers, each
// of which reads one prompt after another; the rest of a request takes 500 ms.
// Returns how many short and how many long ones begin after their target.
std::pair<int, int>
CountLate(bool aReports)
{
  ServerView servers;
  for (const char* id : { "0", "1", "2" }) {
    BackendEntry entry;
    entry.mId = id;
    entry.mService = "llm";
    entry.mSlots = 12;
    servers.Put(entry, kStart);
  }
  std::vector<ServerView> views(kInstances, servers);
  std::vector<TimePoint> idleAt(3, kStart);
  std::multimap<TimePoint, std::function<void()>> later;
  std::mt19937 random(20261203);
  std::pair<int, int> late;
  for (TimePoint now = kStart; now < kStart + Seconds(300); now += Millis(1)) {
    for (; !later.empty() && later.begin()->first <= now;
         later.erase(later.begin())) {
      later.begin()->second();
    }
    unsigned draw = random() % 1000;
    if (draw >= 44) {
      continue;
    }
    double tokens = draw < 4 ? kLong : kShort;
    int& lateOnes = tokens == kLong ? late.second : late.first;
    ServerRequirements needs = Requirements(tokens);
    ServerView& view = views[random() % kInstances];
    Backend* chosen = view.Choose(needs, now, random).mBackend;
    if (!chosen) {
      ++lateOnes;
      continue;
    }
    std::string id = chosen->mEntry.mId;
    TimePoint& idle = idleAt[std::stoul(id)];
    idle = std::max(idle, now) + Micros(int64_t(tokens * 37.5));
    auto wait = std::chrono::duration_cast<Millis>(idle - now);
    lateOnes += wait > needs.mTarget ? 1 : 0;
    FirstTokenFacts facts{
      tokens + chosen->mUnreadTokens, 1, 1, tokens, tokens == kLong
    };
    view.OnRequestBegan(id, "", now);
    view.OnPromptSent(id, tokens);
    if (aReports) {
      view.OnLoadReport(id, { 0, 0, 12, 1.0 }, now);
    }
    later.emplace(idle, [&view, id, tokens, facts, wait] {
      view.OnPromptRead(id, tokens);
      view.FirstToken("llm").Record(facts, wait);
    });
    later.emplace(idle + Millis(500),
                  [&view, id] { view.OnRequestEnded(id, ""); });
  }
  return late;
}

} // namespace

// Guards against short prompts that wait behind long ones for longer than their
// callers, and against long ones that aren't served for their sake.
TEST(LongPrompts, ShortOnesMeetTheirTargetBesideThem)
{
  constexpr int kShortSent = 12000;
  auto [shortBefore, longBefore] = CountLate(false);
  auto [shortNow, longNow] = CountLate(true);
  EXPECT_LT(shortNow * 100, kShortSent);
  EXPECT_LT(shortNow * 3, shortBefore * 2);
  EXPECT_EQ(0, longNow);
}

// Guards against times that aren't learnt from first events.
TEST(LongPrompts, ReadingTimeIsLearnt)
{
  FirstTokenEstimate estimate;
  Millis guess = estimate.ReadingTime(kLong);
  for (int i = 0; i < 200; ++i) {
    double tokens = 500 + 1000 * (i % 5);
    FirstTokenFacts facts{ tokens, 3, 2, tokens, false };
    estimate.Record(facts, Millis(int64_t(2 * (20 + 0.12 * tokens))));
  }
  EXPECT_NEAR(272, double(guess.count()), 1);
  EXPECT_NEAR(816, double(estimate.ReadingTime(kLong).count()), 82);
}

} // namespace caraway
