#include "entry/ServerProbe.h"

namespace caraway {

namespace {

constexpr Millis kTick{ 50 };

// Between two probes. Each goes to another server, since some may be broken
// when a partition ends.
constexpr Millis kProbeInterval{ 200 };

constexpr Millis kConnectTimeout{ 700 };

// Shorter interruptions aren't worth handing a lease over.
constexpr Millis kLastingTime{ 1000 };

// A server keeps a connection for longer that hasn't carried a request yet.
constexpr Millis kIdleTimeout{ 1000 };

} // namespace

ServerProbe::ServerProbe(EntryState& aState)
  : mState(aState)
{
}

void
ServerProbe::Start()
{
  mState.mReactor.Every(kTick, [this] { Tick(); });
}

void
ServerProbe::Tick()
{
  if (mState.mServerReach.CutOff() != mCutOff) {
    LogChange();
  }
  TellIfLasting();
  if (mCutOff && !mProbe && mState.Now() >= mNextProbeAt) {
    Probe();
  }
}

void
ServerProbe::TellIfLasting()
{
  bool lasting = mCutOff && mState.AgeOf(mCutOffAt) >= kLastingTime;
  if (lasting != mLasting) {
    mLasting = lasting;
    mOnLastingChange(lasting);
  }
}

// The one after the last, in the order of ids.
const Backend*
ServerProbe::NextServer() const
{
  const auto& servers = mState.mServers.All();
  if (servers.empty()) {
    return nullptr;
  }
  auto next = servers.upper_bound(mServer);
  return next == servers.end() ? &servers.begin()->second : &next->second;
}

void
ServerProbe::Probe()
{
  mNextProbeAt = mState.Now() + kProbeInterval;
  const Backend* server = NextServer();
  if (!server) {
    return;
  }
  mServer = server->mEntry.mId;
  mAddress = server->mEntry.mAddress;
  mProbe = Channel::Connect(mState.mReactor, mAddress, kConnectTimeout);
  Channel::Events events;
  events.mConnected = [this] {
    mState.mServerReach.OnReached();
    mState.mReactor.After(Millis(0), [this] { KeepProbe(); });
  };
  events.mEnd = [this](ChannelCloseReason) { mProbe.reset(); };
  mProbe->SetEvents(std::move(events));
}

// The next request to the server uses the connection.
void
ServerProbe::KeepProbe()
{
  if (mProbe && mProbe->Open()) {
    mState.mServerPool.Keep(mAddress, mServer, mProbe, kIdleTimeout);
  }
  mProbe.reset();
}

void
ServerProbe::LogChange()
{
  mCutOff = mState.mServerReach.CutOff();
  if (!mCutOff) {
    mState.mLog.Line("servers_reached").Ms("after_ms", mState.AgeOf(mCutOffAt));
    return;
  }
  mState.mMetrics.Count("caraway_cut_off_total", "");
  mCutOffAt = mState.Now();
  mNextProbeAt = mCutOffAt;
  mState.mLog.Line("servers_unreachable")
    .Count("unreached", static_cast<int64_t>(mState.mServerReach.Unreached()))
    .Count("servers", static_cast<int64_t>(mState.mServers.All().size()));
}

} // namespace caraway
