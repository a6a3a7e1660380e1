#include "soak/SoakRun.h"

#include <csignal>
#include <fstream>

#include "net/OutboundCall.h"
#include "platform/WireNames.h"

namespace caraway {

namespace {

// The balancer's.
constexpr Millis kReadinessProbeInterval{ 1000 };

constexpr int kMaxMissedProbes = 2;

constexpr Millis kLook{ 20 };

// Within it a process has ended by itself, and with no SIGKILL.
constexpr Millis kGraceSlack{ 300 };

// After the last trouble, before all must be served again; and how long then.
constexpr Millis kRecovery{ 12000 };

constexpr Millis kFaultFreePeriod{ 4000 };

EntryFleetOptions
WorldPlan(const SoakPlan& aPlan)
{
  EntryFleetOptions plan;
  plan.mZones = { "a", "b" };
  plan.mInstances = aPlan.mInstances;
  plan.mOwn = false;
  return plan;
}

} // namespace

SoakRun::SoakRun(SoakPlan aPlan)
  : mPlan(std::move(aPlan))
  , mWorld(std::make_unique<EntryTestFleet>(WorldPlan(mPlan)))
  , mRandom(mPlan.mSeed)
  , mPool(mWorld->mReactor)
{
  Prepare();
}

int
SoakRun::Draw(int aFrom, int aTo)
{
  return std::uniform_int_distribution<int>(aFrom, aTo)(mRandom);
}

void
SoakRun::Prepare()
{
  Json::Value& config = mWorld->mConfig;
  for (Json::Value& route : config["routes"]) {
    route["timeoutMs"] = 12000;
    route["targetLatencyMs"] = 3000;
  }
  for (Json::Value& tenant : config["tenants"]) {
    if (tenant["name"] == kLimitedTenant) {
      tenant["ratePerS"] = kLimitedRate;
      tenant["burst"] = kLimitedBurst;
    }
  }
  config["limits"]["idleTimeoutMs"] = 10000;
  mWorld->Configure();
  // Some answers take most of what a leaving instance is granted.
  for (auto& engine : mWorld->mEngines) {
    engine->mEventGap = Millis(Draw(50, 1200));
  }
  mWorld->mPlain[0]->mWork = Millis(60);
  mWorld->mPlain[1]->mWork = Millis(Draw(60, 4000));
}

void
SoakRun::StartInstances()
{
  std::filesystem::create_directories(mPlan.mFolder);
  for (size_t i = 0; i < mWorld->Instances(); ++i) {
    std::string name = (mPlan.mFolder / ("i" + std::to_string(i))).string();
    std::ofstream(name + ".toml") << mWorld->SettingsText(i);
    Instance instance;
    instance.mProcess = std::make_unique<EntryProcess>(
      mPlan.mProgram, name + ".toml", name + ".log");
    instance.mProcess->Start();
    mInstances.push_back(std::move(instance));
    mWorld->mReactor.Every(kReadinessProbeInterval,
                           [this, i] { ProbeReadiness(i); });
    mWorld->mReactor.Every(kLook, [this, i] { SuperviseInstance(i); });
  }
}

void
SoakRun::ProbeReadiness(size_t aIndex)
{
  OutboundRequest request;
  request.mAddress = mWorld->ReadinessAddress(aIndex);
  request.mHead =
    WriteHead(std::string("GET ") + wire::kReadyPath + " HTTP/1.1",
              { { "Host", "host" } });
  request.mFresh = true;
  StartBufferedCall(mWorld->mReactor,
                    mPool,
                    std::move(request),
                    kReadinessProbeInterval / 2,
                    [this, aIndex](BufferedAnswer& aAnswer) {
                      int& misses = mInstances[aIndex].mMissedProbes;
                      misses = aAnswer.mStatus == 200 ? 0 : misses + 1;
                    });
}

std::optional<size_t>
SoakRun::Pick()
{
  std::vector<size_t> ready;
  for (size_t i = 0; i < mInstances.size(); ++i) {
    if (mInstances[i].mMissedProbes < kMaxMissedProbes) {
      ready.push_back(i);
    }
  }
  if (ready.empty()) {
    return std::nullopt;
  }
  return ready[static_cast<size_t>(
    Draw(0, static_cast<int>(ready.size()) - 1))];
}

SoakCall&
SoakRun::NewCall()
{
  mRecord.mCalls.emplace_back();
  SoakCall& call = mRecord.mCalls.back();
  call.mId = "s" + std::to_string(mPlan.mSeed) + "-" +
             std::to_string(mRecord.mCalls.size());
  return call;
}

// ---- Processes

void
SoakRun::SuperviseInstance(size_t aIndex)
{
  Instance& instance = mInstances[aIndex];
  TimePoint now = Now();
  if (instance.mFrozenUntil != TimePoint() && now >= instance.mFrozenUntil) {
    instance.mFrozenUntil = TimePoint();
    instance.mProcess->Signal(SIGCONT);
  }
  if (instance.mProcess->Running()) {
    bool late = instance.mTerminatedAt != TimePoint() &&
                now > instance.mTerminatedAt + kSoakGrace;
    if (late && now > instance.mTerminatedAt + kSoakGrace + kGraceSlack) {
      Kill(aIndex);
    }
    return;
  }
  if (instance.mStartAt == TimePoint()) {
    OnExit(instance, aIndex);
  } else if (now >= instance.mStartAt && !mEnding) {
    instance.mStartAt = TimePoint();
    instance.mTerminatedAt = TimePoint();
    instance.mEndingFault = SIZE_MAX;
    instance.mProcess->Start();
  }
}

void
SoakRun::OnExit(Instance& aInstance, size_t aIndex)
{
  int code = aInstance.mProcess->Code();
  bool told = aInstance.mTerminatedAt != TimePoint();
  bool killed = code == -SIGKILL;
  if ((told && !killed && code != 0) || (!told && !killed)) {
    mBroken.push_back("instance " + std::to_string(aIndex) +
                      " ended by itself with " + std::to_string(code));
  }
  if (aInstance.mEndingFault != SIZE_MAX) {
    mRecord.mTroubles[aInstance.mEndingFault].mUntil = Now();
  }
  aInstance.mStartAt = Now() + Millis(Draw(200, 1500));
}

void
SoakRun::Terminate(size_t aIndex)
{
  Instance& instance = mInstances[aIndex];
  if (!instance.mProcess->Running() || instance.mTerminatedAt != TimePoint()) {
    return;
  }
  instance.mTerminatedAt = Now();
  instance.mEndingFault = Note(SoakFaultKind::Terminate, aIndex, kSoakGrace);
  instance.mProcess->Signal(SIGTERM);
}

void
SoakRun::Kill(size_t aIndex)
{
  Instance& instance = mInstances[aIndex];
  bool frozen = instance.mFrozenUntil != TimePoint();
  bool late = instance.mTerminatedAt != TimePoint() &&
              Now() > instance.mTerminatedAt + kSoakGrace;
  if (late && !frozen) {
    mBroken.push_back("instance " + std::to_string(aIndex) +
                      " still runs when its granted time is over");
  }
  instance.mEndingFault = Note(SoakFaultKind::Kill, aIndex, Millis(0));
  instance.mProcess->Signal(SIGKILL);
}

void
SoakRun::Freeze(size_t aIndex, Millis aFor)
{
  Instance& instance = mInstances[aIndex];
  if (instance.mProcess->Running() && instance.mFrozenUntil == TimePoint()) {
    Note(SoakFaultKind::Freeze, aIndex, aFor);
    instance.mFrozenUntil = Now() + aFor;
    instance.mProcess->Signal(SIGSTOP);
  }
}

// ---- Troubles

size_t
SoakRun::Note(SoakFaultKind aKind, size_t aInstance, Millis aFor)
{
  mRecord.mTroubles.push_back({ aKind, aInstance, Now(), Now() + aFor });
  return mRecord.mTroubles.size() - 1;
}

void
SoakRun::InjectNextFault()
{
  if (mFaultsStopped) {
    return;
  }
  // Most often what changes processes and configurations: in series, over one
  // another.
  constexpr SoakFaultKind kKinds[] = {
    SoakFaultKind::Terminate, SoakFaultKind::Terminate,
    SoakFaultKind::Terminate, SoakFaultKind::Configure,
    SoakFaultKind::Configure, SoakFaultKind::Configure,
    SoakFaultKind::Reload,    SoakFaultKind::Kill,
    SoakFaultKind::Freeze,    SoakFaultKind::Store,
    SoakFaultKind::Servers,   SoakFaultKind::Drain,
  };
  Do(kKinds[static_cast<size_t>(Draw(0, std::size(kKinds) - 1))]);
  mWorld->mReactor.After(Millis(Draw(50, 2200)), [this] { InjectNextFault(); });
}

void
SoakRun::Do(SoakFaultKind aKind)
{
  size_t index =
    static_cast<size_t>(Draw(0, static_cast<int>(mInstances.size()) - 1));
  Millis lasts(Draw(200, 4000));
  switch (aKind) {
    case SoakFaultKind::Terminate:
      Terminate(index);
      break;
    case SoakFaultKind::Kill:
      Kill(index);
      break;
    case SoakFaultKind::Freeze:
      Freeze(index, lasts);
      break;
    case SoakFaultKind::Reload:
      Note(aKind, index, Millis(0));
      mInstances[index].mProcess->Signal(SIGHUP);
      break;
    case SoakFaultKind::Configure:
      ChangeConfiguration();
      break;
    case SoakFaultKind::Store:
      InjectStoreFault(lasts);
      break;
    case SoakFaultKind::Servers:
      InjectServerFault(lasts / 2);
      break;
    case SoakFaultKind::Drain:
      DrainServer(lasts);
      break;
  }
}

void
SoakRun::ChangeConfiguration()
{
  Note(SoakFaultKind::Configure, 0, Millis(0));
  Json::Value& config = mWorld->mConfig;
  switch (Draw(0, 3)) {
    case 0:
      config["limits"]["idleTimeoutMs"] = Draw(0, 1) ? 1000 : 10000;
      break;
    case 1:
      config["limits"]["maxBodyBytes"] = Draw(0, 1) ? 400 : 100000;
      config["limits"]["maxHeaderBytes"] = Draw(0, 1) ? 600 : 16000;
      break;
    case 2:
      config["routes"][1]["timeoutMs"] = Draw(4000, 12000);
      break;
    default:
      config["routes"][2]["targetLatencyMs"] = Draw(300, 3000);
      break;
  }
  mWorld->Configure();
}

void
SoakRun::InjectStoreFault(Millis aFor)
{
  constexpr StandInStore::FaultMode kMoods[] = {
    StandInStore::FaultMode::Silent,
    StandInStore::FaultMode::Busy,
    StandInStore::FaultMode::Loses
  };
  Note(SoakFaultKind::Store, 0, aFor);
  mWorld->mStore->SetFaultModeOfAll(kMoods[static_cast<size_t>(Draw(0, 2))]);
  mWorld->mReactor.After(aFor, [this] {
    mWorld->mStore->SetFaultModeOfAll(StandInStore::FaultMode::Serves);
  });
}

void
SoakRun::InjectServerFault(Millis aFor)
{
  constexpr ServerBehaviour kManners[] = { ServerBehaviour::RunsThenCloses,
                                           ServerBehaviour::StopsMidway,
                                           ServerBehaviour::Fails,
                                           ServerBehaviour::Refuses };
  Note(SoakFaultKind::Servers, 0, aFor);
  auto& servers = Draw(0, 1) ? mWorld->mEngines : mWorld->mPlain;
  StandInServer* server = servers[static_cast<size_t>(Draw(0, 1))].get();
  server->mBehaviour = kManners[static_cast<size_t>(Draw(0, 3))];
  mWorld->mReactor.After(
    aFor, [server] { server->mBehaviour = ServerBehaviour::Proper; });
}

void
SoakRun::DrainServer(Millis aFor)
{
  Note(SoakFaultKind::Drain, 0, aFor);
  StandInServer* server = mWorld->mPlain[static_cast<size_t>(Draw(0, 1))].get();
  mWorld->List(*server, "plain", "a", "draining");
  mWorld->mReactor.After(
    aFor, [this, server] { mWorld->List(*server, "plain", "a"); });
}

// ---- The run

std::vector<std::string>
SoakRun::Run()
{
  StartInstances();
  mWorld->Until([this] { return Pick().has_value(); }, Seconds(10));
  mRecord.mBegan = Now();
  for (int i = 0; i < mPlan.mCallers; ++i) {
    const char* tenant = i % 4 == 0 ? kLimitedTenant : "acme";
    mCallers.push_back(std::make_shared<SoakCaller>(*this, tenant));
    mCallers.back()->Next(Millis(Draw(0, 1000)));
  }
  mWorld->mReactor.After(Seconds(2), [this] { InjectNextFault(); });
  mWorld->For(mPlan.mLength);
  mFaultsStopped = true;
  mWorld->For(kRecovery);
  mRecord.mFaultFreeFrom = Now();
  mWorld->For(kFaultFreePeriod);
  mEnding = true;
  mWorld->For(Seconds(14)); // every call has its end
  mRecord.mEnded = Now();
  for (const auto* servers : { &mWorld->mEngines, &mWorld->mPlain }) {
    for (const auto& server : *servers) {
      for (const ServerRun& run : server->mRuns) {
        mRecord.mRuns[run.mId].push_back(run);
      }
    }
  }
  std::vector<std::string> broken = SoakViolations(mRecord);
  broken.insert(broken.end(), mBroken.begin(), mBroken.end());
  return broken;
}

std::string
SoakRun::Summary() const
{
  std::map<std::string, int> ends;
  for (const SoakCall& call : mRecord.mCalls) {
    std::string name = call.mWhole       ? std::to_string(call.mStatus)
                       : call.mConnected ? "no answer"
                                         : "not connected";
    ++ends[name];
  }
  std::string text = "seed " + std::to_string(mPlan.mSeed) + ": " +
                     std::to_string(mRecord.mCalls.size()) + " requests, " +
                     std::to_string(mRecord.mTroubles.size()) + " troubles;";
  for (const auto& [name, count] : ends) {
    text += " " + name + " " + std::to_string(count);
  }
  return text;
}

} // namespace caraway
