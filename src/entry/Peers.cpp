#include "entry/Peers.h"

#include <Poco/Exception.h>
#include <algorithm>

#include "base/JsonText.h"
#include "intake/ConnectionLimits.h"

namespace caraway {

namespace {

// Other instances see this one's requests in flight with this delay, which is
// less than the time in which a server's batch fills.
constexpr Millis kHeartbeatTick{ 250 };

// Heartbeats go to this many instances per tick, to all in turn, so that the
// number sent and received does not grow with the fleet. With 72 instances each
// receives 32 heartbeats a second, and one of each other instance every two
// seconds.
constexpr size_t kPeersPerTick = 8;

// An instance counts as alive for this time after its last heartbeat, as some
// may be lost; in a large fleet for six rounds, see HeartbeatInterval().
constexpr Millis kAliveTimeout{ 1500 };
constexpr int kAliveRounds = 6;

// A larger datagram is not sent; the network would fragment it.
constexpr size_t kMaxDatagramBytes = 60000;

std::string
MessageText(const std::string& aKind, const Json::Value& aMessage)
{
  Json::Value message;
  message["note"] = aKind;
  message["body"] = aMessage;
  return JsonWrite(message);
}

} // namespace

Peers::Peers(EntryState& aState)
  : mState(aState)
  , mCallHandler(
      [this](const InboundRequest& aRequest) { return Answer(aRequest); })
  , mPortHandler(mCallHandler)
{
}

void
Peers::Start()
{
  mSocket = Poco::Net::DatagramSocket(
    Poco::Net::SocketAddress(mState.mSettings.mPeers), true, false);
  mSocket.setBlocking(false);
  // Owned by the daemon, which outlives the reactor's last pass.
  mState.mReactor.Watch(
    mSocket, std::shared_ptr<SocketHandler>(std::shared_ptr<void>(), this));
  mPort =
    ListenPort::Open(mState.mReactor,
                     mState.mRequests,
                     mState.mSettings.mPeers,
                     mPortHandler,
                     ConnectionLimitsFor(mState.mSettings.mDescriptors).mPeers);
  mIncarnation = ClockMillis();
  mState.mReactor.Every(kHeartbeatTick, [this] { SendHeartbeats(); });
  WatchEchoRequests();
  WatchLeases();
  WatchLeaving();
}

void
Peers::OnHeartbeatFill(std::function<void(Json::Value&)> aFill)
{
  mHeartbeatFillers.push_back(std::move(aFill));
}

void
Peers::OnHeartbeat(std::function<void(const Peer&, const Json::Value&)> aRead)
{
  mHeartbeatReaders.push_back(std::move(aRead));
}

void
Peers::OnMessage(const std::string& aKind,
                 std::function<void(const Json::Value&)> aRead)
{
  mMessageHandlers[aKind] = std::move(aRead);
}

void
Peers::AddMethod(const std::string& aName, Method aMethod)
{
  mMethods[aName] = std::move(aMethod);
}

bool
Peers::Alive(const Peer& aPeer) const
{
  return aPeer.mLastHeardAt != TimePoint() &&
         mState.Now() - aPeer.mLastHeardAt <
           std::max(kAliveTimeout, HeartbeatInterval() * kAliveRounds);
}

int
Peers::TicksPerRound() const
{
  size_t ticks = (mPeers.size() + kPeersPerTick - 1) / kPeersPerTick;
  return static_cast<int>(std::max<size_t>(ticks, 1));
}

Millis
Peers::HeartbeatInterval() const
{
  return kHeartbeatTick * TicksPerRound();
}

bool
Peers::Alive(const std::string& aName) const
{
  auto found = mPeers.find(aName);
  return found != mPeers.end() && Alive(found->second);
}

void
Peers::AddPeer(const std::string& aName,
               const std::string& aZone,
               const std::string& aAddress)
{
  if (aName.empty() || aName == mState.mSettings.mName ||
      mDeparted.count(aName)) {
    return;
  }
  Peer& peer = mPeers[aName];
  bool listed = peer.mName == aName && peer.mZone == aZone;
  peer.mName = aName;
  peer.mZone = aZone;
  peer.mAddress = aAddress;
  if (!listed) {
    OnListChanged();
  }
}

void
Peers::RemovePeer(const std::string& aName)
{
  mState.mServers.ForgetPeer(aName);
  mPeers.erase(aName);
  OnListChanged();
}

void
Peers::OnListChanged()
{
  ++mListVersion;
  mState.mInstances = static_cast<int>(mPeers.size()) + 1;
}

// ---- Datagrams

void
Peers::SendHeartbeats()
{
  Json::Value heartbeat = StampedSelf();
  heartbeat["leaving"] = mState.mLeave.Leaving();
  heartbeat["left"] = mLeft;
  heartbeat["cut_off"] = mState.mServerReach.CutOff();
  for (const auto& fill : mHeartbeatFillers) {
    fill(heartbeat);
  }
  mClaims.clear();
  for (const Json::Value& lease : heartbeat["leases"]) {
    mClaims.insert(lease.asString());
  }
  std::string text = JsonWrite(heartbeat);
  auto next = mPeers.upper_bound(mLastHeartbeatTo);
  for (size_t i = 0; i < std::min(kPeersPerTick, mPeers.size()); ++i, ++next) {
    if (next == mPeers.end()) {
      next = mPeers.begin();
    }
    SendTo(next->second, text);
    mLastHeartbeatTo = next->first;
  }
  ForgetSilent();
}

void
Peers::ForgetSilent()
{
  for (const auto& [name, peer] : mPeers) {
    if (!Alive(peer)) {
      mState.mServers.ForgetPeer(name);
    }
  }
  ForgetDeparted();
}

void
Peers::SendMessage(const std::string& aKind, const Json::Value& aMessage)
{
  std::string text = MessageText(aKind, aMessage);
  for (const auto& [name, peer] : mPeers) {
    SendTo(peer, text);
  }
}

void
Peers::SendMessageTo(const std::string& aPeer,
                     const std::string& aKind,
                     const Json::Value& aMessage)
{
  auto found = mPeers.find(aPeer);
  if (found != mPeers.end()) {
    SendTo(found->second, MessageText(aKind, aMessage));
  }
}

void
Peers::SendMessageInZone(const std::string& aKind, const Json::Value& aMessage)
{
  std::string text = MessageText(aKind, aMessage);
  for (const auto& [name, peer] : mPeers) {
    if (peer.mZone == mState.mSettings.mZone) {
      SendTo(peer, text);
    }
  }
  for (const auto& [name, departed] : mDeparted) {
    if (DrainsInZone(departed)) {
      SendTo(departed.mPeer, text);
    }
  }
}

void
Peers::SendTo(const Peer& aPeer, const std::string& aText)
{
  if (aText.size() > kMaxDatagramBytes) {
    mState.mLog.Line("datagram_too_large")
      .Count("bytes", static_cast<int64_t>(aText.size()));
    return;
  }
  try {
    mSocket.sendTo(aText.data(),
                   static_cast<int>(aText.size()),
                   Poco::Net::SocketAddress(aPeer.mAddress));
    mState.mMetrics.Count(
      "caraway_peer_bytes_total", "", static_cast<int64_t>(aText.size()));
  } catch (const Poco::Exception&) {
    // The datagram is lost; the next heartbeat carries the same state.
    mState.mMetrics.Count("caraway_peer_unsent_total", "");
  }
}

void
Peers::OnReadable()
{
  constexpr int kMaxDatagramsPerPass = 64;
  try {
    for (int i = 0; i < kMaxDatagramsPerPass; ++i) {
      int count = mSocket.receiveBytes(mReceived.data(),
                                       static_cast<int>(mReceived.size()));
      if (count <= 0) {
        return;
      }
      ReadDatagram(std::string(mReceived.data(), static_cast<size_t>(count)));
    }
  } catch (const Poco::Exception&) {
    // The error of an earlier datagram that was refused; nothing to do.
  }
}

void
Peers::ReadDatagram(const std::string& aText)
{
  Json::Value value = JsonParseOrEmpty(aText);
  try {
    if (value.isMember("note")) {
      auto found = mMessageHandlers.find(value["note"].asString());
      if (found != mMessageHandlers.end()) {
        found->second(value["body"]);
      }
    } else if (value.isMember("name")) {
      ReadHeartbeat(value);
    }
  } catch (const Json::Exception& error) {
    mState.mLog.Line("datagram_unreadable").Text("why", error.what());
  }
}

void
Peers::ReadHeartbeat(const Json::Value& aHeartbeat)
{
  std::string name = aHeartbeat["name"].asString();
  if (name.empty() || name == mState.mSettings.mName) {
    return;
  }
  if (aHeartbeat["left"].asBool()) {
    OnGoodbye(aHeartbeat); // the goodbye message itself may be lost
  }
  Peer& peer = *ReadSender(aHeartbeat);
  std::set<std::string> leases;
  for (const Json::Value& lease : aHeartbeat["leases"]) {
    leases.insert(lease.asString());
  }
  if (mPeers.count(name)) { // not one that has departed
    mLeaseClaims.OnHeartbeat(name, leases, mState.Now());
  }
  peer.mQueued = aHeartbeat["queued"].asInt();
  peer.mRank = aHeartbeat["rank"].asString();
  peer.mCutOff = aHeartbeat["cut_off"].asBool();
  if (aHeartbeat["leaving"].asBool()) {
    OnLeavingMessage(aHeartbeat);
  }
  for (const auto& read : mHeartbeatReaders) {
    read(peer, aHeartbeat);
  }
}

// Records that the sender of a StampedSelf() was heard. Returns null if that is
// no other instance.
Peer*
Peers::ReadSender(const Json::Value& aMessage)
{
  std::string name = aMessage["name"].asString();
  if (name.empty() || name == mState.mSettings.mName) {
    return nullptr;
  }
  int64_t incarnation = aMessage["life"].asInt64();
  bool departed = IsDeparted(name, incarnation);
  if (!departed) {
    bool alive = Alive(name);
    mDeparted.erase(name); // it has restarted
    AddPeer(name, aMessage["zone"].asString(), aMessage["address"].asString());
    if (!alive) {
      mState.mLog.Line("instance_heard").Text("peer", name);
    }
  }
  Peer& peer = departed ? mDeparted[name].mPeer : mPeers[name];
  if (peer.mIncarnation != incarnation) {
    peer.mIncarnation = incarnation;
    peer.mLeaving = false;
    mLeaseClaims.Forget(name); // its earlier process claimed them
  }
  peer.mLastHeardAt = mState.Now();
  peer.mSenderTime = aMessage["stamp"].asInt64();
  return &peer;
}

} // namespace caraway
