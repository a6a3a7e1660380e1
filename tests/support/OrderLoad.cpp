#include "support/OrderLoad.h"

#include <csignal>
#include <fstream>
#include <unordered_map>

#include "net/StopNewHandshakes.h"
#include "platform/WireNames.h"

namespace caraway {

namespace {

constexpr Millis kProbeInterval{ 300 };
constexpr Millis kAwaitReady{ 15000 };
constexpr Millis kAfterLoad{ 3000 }; // until the last request has ended
constexpr Millis kStopInterval{ 1500 };
constexpr Millis kTerminateInterval{ 3000 };
constexpr int kRetries = 1; // of a caller, after a refusal

EntryFleetOptions
FleetOptions(const OrderLoadPlan& aPlan)
{
  EntryFleetOptions options;
  options.mZones.clear();
  for (int i = 0; i < aPlan.mZones; ++i) {
    options.mZones.push_back(std::string(1, static_cast<char>('a' + i)));
  }
  options.mInstances = aPlan.mInstances;
  options.mPlain = 3;
  options.mOwn = false;
  return options;
}

} // namespace

bool
ToldNotRun(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

std::string
OrderLoadResult::Text() const
{
  int sent = 0;
  std::string statuses;
  for (const auto& [status, count] : mStatuses) {
    sent += count;
    statuses += " " + std::to_string(status) + "x" + std::to_string(count);
  }
  return std::to_string(sent) + " orders," + statuses + "; faulty answers " +
         std::to_string(mFaulty) + "; refused and run " +
         std::to_string(mRefusedAndRun.size()) + ", run twice " +
         std::to_string(mRunTwice.size()) + ", wrong answers " +
         std::to_string(mWrongAnswers) + ", unexpected exits " +
         std::to_string(mUnexpectedExits);
}

OrderLoad::OrderLoad(OrderLoadPlan aPlan)
  : mPlan(std::move(aPlan))
  , mFleet(FleetOptions(mPlan))
  , mRandom(mPlan.mSeed)
  , mPool(mFleet.mReactor)
{
  Configure();
  ListServers();
}

int
OrderLoad::Draw(int aFrom, int aTo)
{
  return std::uniform_int_distribution<int>(aFrom, aTo)(mRandom);
}

Millis
OrderLoad::SinceStart() const
{
  return std::chrono::duration_cast<Millis>(mFleet.mClock.Now() - mBegan);
}

void
OrderLoad::Configure()
{
  Json::Value& order = mFleet.mConfig["routes"][1];
  order["maxAttempts"] = 1;
  order["timeoutMs"] = 2000;
  order["targetLatencyMs"] = 300;
  mFleet.Configure();
}

// Instances reach the servers by the proxies.
void
OrderLoad::ListServers()
{
  for (size_t i = 0; i < mFleet.mPlain.size(); ++i) {
    StandInServer& server = *mFleet.mPlain[i];
    server.mSlots = mPlan.mSlots;
    server.mQueueLimit = mPlan.mQueue;
    server.mWork = mPlan.mWork;
    auto seed = mPlan.mSeed + static_cast<unsigned>(i) + 1;
    mProxies.push_back(
      std::make_unique<AnswerProxy>(mFleet.mReactor, server.Address(), seed));
    Json::Value entry = server.Entry("plain", mFleet.mOptions.mZones[i % 3]);
    entry["address"] = mProxies.back()->Address();
    mFleet.mStore->Put(wire::kServersKind, server.Id(), entry);
  }
  if (mPlan.mCutOff) {
    mUnreachable.bind(Poco::Net::SocketAddress("127.0.0.1:0"), false);
    mUnreachable.listen(1);
    StopNewHandshakes(mUnreachable);
    mFleet.mStore->ShowServersAt(0, mUnreachable.address().toString());
  }
}

bool
OrderLoad::RunsOtherProgram(size_t aIndex) const
{
  return !mPlan.mOtherProgram.empty() && aIndex % 2 == 1;
}

void
OrderLoad::StartInstances()
{
  std::filesystem::create_directories(mPlan.mFolder);
  for (size_t i = 0; i < mFleet.Instances(); ++i) {
    std::string name = (mPlan.mFolder / ("i" + std::to_string(i))).string();
    std::ofstream(name + ".toml") << mFleet.SettingsText(i);
    Instance instance;
    instance.mProcess = std::make_unique<EntryProcess>(
      RunsOtherProgram(i) ? mPlan.mOtherProgram : mPlan.mProgram,
      name + ".toml",
      name + ".log");
    instance.mProcess->Start();
    mInstances.push_back(std::move(instance));
    mFleet.mReactor.Every(kProbeInterval, [this, i] {
      Supervise(i);
      Probe(i);
    });
  }
}

void
OrderLoad::Probe(size_t aIndex)
{
  OutboundRequest request;
  request.mAddress = mFleet.ReadinessAddress(aIndex);
  request.mHead =
    WriteHead(std::string("GET ") + wire::kReadyPath + " HTTP/1.1",
              { { "Host", "host" } });
  mInstances[aIndex].mProbe =
    StartBufferedCall(mFleet.mReactor,
                      mPool,
                      std::move(request),
                      kProbeInterval,
                      [this, aIndex](BufferedAnswer& aAnswer) {
                        mInstances[aIndex].mReady = aAnswer.mStatus == 200;
                      });
}

void
OrderLoad::Supervise(size_t aIndex)
{
  Instance& instance = mInstances[aIndex];
  if (instance.mProcess->Running() || mEnding) {
    return;
  }
  mUnexpectedExits += instance.mTerminated ? 0 : 1;
  instance.mTerminated = false;
  instance.mProcess->Start();
}

std::optional<size_t>
OrderLoad::Pick()
{
  std::vector<size_t> ready;
  for (size_t i = 0; i < mInstances.size(); ++i) {
    if (mInstances[i].mReady) {
      ready.push_back(i);
    }
  }
  if (ready.empty()) {
    return std::nullopt;
  }
  return ready[static_cast<size_t>(
    Draw(0, static_cast<int>(ready.size()) - 1))];
}

void
OrderLoad::SendClump()
{
  if (SinceStart() >= mPlan.mDuration) {
    return;
  }
  for (int i = 0; i < mPlan.mClump; ++i) {
    Send(kRetries);
  }
  std::exponential_distribution<double> pause(mPlan.mPerSecond / mPlan.mClump);
  Millis next(static_cast<int64_t>(pause(mRandom) * 1000));
  mFleet.mReactor.After(next, [this] { SendClump(); });
}

void
OrderLoad::Send(int aRetries)
{
  std::optional<size_t> instance = Pick();
  if (!instance) {
    return;
  }
  mAttempts.emplace_back();
  OrderAttempt& attempt = mAttempts.back();
  attempt.mId = "o" + std::to_string(mAttempts.size());
  attempt.mInstance = *instance;
  attempt.mSentAt = SinceStart();
  OutboundRequest request;
  request.mAddress = mFleet.CallerAddress(*instance);
  request.mHead = mFleet.RequestText(
    "/order/x",
    attempt.mId,
    { { wire::kDeadline, std::to_string(mPlan.mDeadline.count()) } },
    std::string(mPlan.mBodyBytes, 'b'));
  if (aRetries == kRetries) { // retries meet other nodes, on new connections
    request.mIdentity = { AnswerIdentity::RequestId,
                          attempt.mId,
                          mFleet.mClock.Now() + mPlan.mDeadline };
  }
  mCalls.push_back(
    StartBufferedCall(mFleet.mReactor,
                      mPool,
                      std::move(request),
                      mPlan.mDeadline,
                      [this, &attempt, aRetries](BufferedAnswer& aAnswer) {
                        OnAnswer(attempt, aAnswer, aRetries);
                      }));
}

// Callers come back after a promise only.
void
OrderLoad::OnAnswer(OrderAttempt& aAttempt,
                    const BufferedAnswer& aAnswer,
                    int aRetries)
{
  aAttempt.mStatus = aAnswer.mStatus;
  bool own = aAnswer.mBody == "answer to " + aAttempt.mId + " of " +
                                std::string(mPlan.mBodyBytes, 'b');
  mWrongAnswers += aAnswer.mStatus == 200 && !own ? 1 : 0;
  aAttempt.mEndedAt = SinceStart();
  if (!ToldNotRun(aAnswer.mStatus) || aRetries == 0) {
    return;
  }
  const std::string* text = aAnswer.mHead.Find(wire::kRetryAfter);
  double seconds = text ? std::stod(*text) : 0;
  mFleet.mReactor.After(Millis(static_cast<int64_t>(seconds * 1000)),
                        [this, aRetries] { Send(aRetries - 1); });
}

void
OrderLoad::StopOne()
{
  auto index =
    static_cast<size_t>(Draw(0, static_cast<int>(mInstances.size()) - 1));
  mInstances[index].mProcess->Signal(SIGSTOP);
  mFleet.mReactor.After(Millis(Draw(100, 1400)), [this, index] {
    mInstances[index].mProcess->Signal(SIGCONT);
  });
}

void
OrderLoad::TerminateOne()
{
  auto index =
    static_cast<size_t>(Draw(0, static_cast<int>(mInstances.size()) - 1));
  mInstances[index].mTerminated = true;
  mInstances[index].mProcess->Signal(SIGTERM);
}

OrderLoadResult
OrderLoad::Run()
{
  StartInstances();
  mFleet.RunUntil(
    [this] {
      return std::all_of(mInstances.begin(),
                         mInstances.end(),
                         [](const Instance& aOne) { return aOne.mReady; });
    },
    kAwaitReady);
  mFleet.RunFor(Seconds(1));
  mBegan = mFleet.mClock.Now();
  for (auto& proxy : mProxies) {
    proxy->mFaults = mPlan.mFaults;
  }
  if (mPlan.mStops) {
    mFleet.mReactor.Every(kStopInterval, [this] { StopOne(); });
  }
  if (mPlan.mTerminates) {
    mFleet.mReactor.Every(kTerminateInterval, [this] { TerminateOne(); });
  }
  SendClump();
  mFleet.RunFor(mPlan.mDuration + mPlan.mDeadline + kAfterLoad);
  mEnding = true;
  OrderLoadResult result;
  result.mUnexpectedExits = mUnexpectedExits;
  result.mWrongAnswers = mWrongAnswers;
  for (const auto& proxy : mProxies) {
    result.mFaulty += proxy->mFaulty;
  }
  std::unordered_map<std::string, int> runs;
  for (const auto& server : mFleet.mPlain) {
    for (const ServerRun& run : server->mRuns) {
      ++runs[run.mId];
    }
  }
  for (OrderAttempt& attempt : mAttempts) {
    if (RunsOtherProgram(attempt.mInstance)) {
      continue;
    }
    attempt.mRuns = runs[attempt.mId];
    ++result.mStatuses[attempt.mStatus];
    if (ToldNotRun(attempt.mStatus) && attempt.mRuns > 0) {
      result.mRefusedAndRun.push_back(attempt);
    }
    if (attempt.mRuns > 1) {
      result.mRunTwice.push_back(attempt);
    }
  }
  return result;
}

} // namespace caraway
