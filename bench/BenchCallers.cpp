#include "BenchCallers.h"

#include <algorithm>
#include <random>

#include "base/JsonText.h"

namespace caraway {

namespace {

constexpr Millis kPause{ 50 };
constexpr int kModels = 4; // default of FleetPlan
constexpr size_t kMaxInstancesTried = 4;

std::string
BodyFor(unsigned aRandom)
{
  Json::Value body;
  // One in five is a bulletin.
  body["model"] = aRandom % 5 == 0
                    ? std::string("notice")
                    : "chat-m" + std::to_string(aRandom % kModels);
  body["max_tokens"] = 4;
  body["messages"][0]["role"] = "user";
  body["messages"][0]["content"] =
    "is the pass open? " + std::to_string(aRandom);
  return JsonWrite(body);
}

} // namespace

BenchCallers::BenchCallers(Fleet& aFleet, size_t aCallers)
  : mKey(aFleet.mKeys["acme"])
{
  for (auto& instance : aFleet.mInstances) {
    mAddresses.push_back(instance->Address("caller"));
  }
  for (size_t i = 0; i < aCallers; ++i) {
    mThreads.emplace_back([this, i] { Run(static_cast<unsigned>(i)); });
  }
}

BenchCallers::~BenchCallers()
{
  mEnding = true;
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
BenchCallers::SetAddress(size_t aInstance, const std::string& aAddress)
{
  std::lock_guard<std::mutex> lock(mLock);
  mAddresses[aInstance] = aAddress;
}

BenchCounts
BenchCallers::Take()
{
  std::lock_guard<std::mutex> lock(mLock);
  BenchCounts counts = mCounts;
  mCounts = BenchCounts();
  return counts;
}

HttpReply
BenchCallers::Send(unsigned aInstance, const std::string& aBody)
{
  HttpCall call;
  {
    std::lock_guard<std::mutex> lock(mLock);
    call.mAddress = mAddresses[aInstance % mAddresses.size()];
  }
  call.mMethod = "POST";
  call.mPath = "/v1/chat/completions";
  call.mBody = aBody;
  call.mTimeout = Seconds(40);
  call.mHeaders = { { "Authorization", "Bearer " + mKey } };
  return HttpCallOnce(call);
}

void
BenchCallers::Record(const HttpReply& aReply, double aSeconds)
{
  std::lock_guard<std::mutex> lock(mLock);
  if (aReply.Ok()) {
    ++mCounts.mAnswered;
    mCounts.mSlowest = std::max(mCounts.mSlowest, aSeconds);
    return;
  }
  Json::Value problem = JsonParseOrEmpty(aReply.mBody);
  bool refused = problem.isMember("type");
  ++(refused ? mCounts.mRefused : mCounts.mCut);
  ++mCounts.mFailureKinds[refused ? problem["type"].asString() : aReply.mError];
}

void
BenchCallers::Run(unsigned aSeed)
{
  std::mt19937 random(aSeed);
  while (!mEnding) {
    std::string body = BodyFor(random());
    auto begun = std::chrono::steady_clock::now();
    HttpReply reply;
    for (size_t i = 0; i < kMaxInstancesTried; ++i) {
      reply = Send(random(), body);
      if (reply.mStage != HttpStage::NotSent) {
        break;
      }
    }
    std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - begun;
    Record(reply, took.count());
    std::this_thread::sleep_for(kPause);
  }
}

} // namespace caraway
