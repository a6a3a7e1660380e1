#include "entry/ServerProbe.h"

namespace caraway {

namespace {

constexpr Millis kTick{ 50 };

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
}

void
ServerProbe::LogChange()
{
  mCutOff = mState.mServerReach.CutOff();
  if (!mCutOff) {
    mState.mLog.Line("servers_reached").Ms("after_ms", mState.AgeOf(mCutOffAt));
    return;
  }
  mCutOffAt = mState.Now();
  mState.mLog.Line("servers_unreachable")
    .Count("unreached", static_cast<int64_t>(mState.mServerReach.Unreached()))
    .Count("servers", static_cast<int64_t>(mState.mServers.All().size()));
}

} // namespace caraway
