#include "entry/Peers.h"

namespace caraway {

// Measures the round-trip times of datagrams by echoes of time stamps.

namespace {

constexpr char kStampMessage[] = "stamp";

} // namespace

Json::Value
Peers::Echoes() const
{
  Json::Value echoes(Json::objectValue);
  auto echo = [this, &echoes](const Peer& aPeer) {
    if (aPeer.mZone == mState.mSettings.mZone && aPeer.mSenderTime > 0) {
      echoes[aPeer.mName].append(Json::Int64(aPeer.mSenderTime));
      echoes[aPeer.mName].append(
        Json::Int64(mState.AgeOf(aPeer.mLastHeardAt).count()));
    }
  };
  for (const auto& [name, peer] : mPeers) {
    echo(peer);
  }
  for (const auto& [name, departed] : mDeparted) {
    if (DrainsInZone(departed)) {
      echo(departed.mPeer);
    }
  }
  return echoes;
}

std::optional<Millis>
Peers::RoundTripTime(const Json::Value& aEchoes) const
{
  const Json::Value& own = aEchoes[mState.mSettings.mName];
  if (!own.isArray() || own.size() != 2) {
    return std::nullopt;
  }
  Millis roundTrip(ClockMillis() - own[0].asInt64() - own[1].asInt64());
  if (roundTrip < Millis(0)) {
    return std::nullopt; // the time stamp is from before a reboot
  }
  return roundTrip;
}

void
Peers::WatchEchoRequests()
{
  OnMessage(kStampMessage,
            [this](const Json::Value& aMessage) { ReadSender(aMessage); });
}

void
Peers::RequestEcho(const std::string& aPeer)
{
  SendMessageTo(aPeer, kStampMessage, StampedSelf());
}

} // namespace caraway
