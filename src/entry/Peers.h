// Peers.h: communication with the other instances.
//
// Heartbeats, short datagrams several times a second, carry what may be lost:
// versions seen, requests in flight by server and model, demand, leases held.
// What must arrive is sent as a JSON-RPC call over TCP.
//
// An instance announces its shutdown at once, and sends a goodbye when it no
// longer accepts callers. The others then forget it, except for its requests in
// flight.
#ifndef caraway_entry_Peers_h
#define caraway_entry_Peers_h

#include <Poco/Net/DatagramSocket.h>
#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decide/LeaseClaims.h"
#include "entry/EntryState.h"
#include "entry/PeerPortHandler.h"
#include "intake/ImmediateHandler.h"
#include "intake/ListenPort.h"
#include "net/OutboundCall.h"

namespace caraway {

struct Peer
{
  std::string mName;
  std::string mZone;
  std::string mAddress;
  TimePoint mLastHeardAt{}; // never = only in the list
  int mQueued = 0;          // load requests in its queues
  int64_t mIncarnation = 0; // differs after each restart
  int64_t mSenderTime = 0;  // its clock in its last heartbeat, ms
  std::string mRank;        // as a reader of the store, see WatchStep
  bool mLeaving = false;    // it is shutting down
  bool mCutOff = false;     // it reaches no server
};

class Peers : public SocketHandler
{
public:
  using Method = std::function<Json::Value(const Json::Value&)>;
  // aGood false: no answer or an error.
  using Reply = std::function<void(bool aGood, const Json::Value& aResult)>;

  explicit Peers(EntryState& aState);

  // Registers the handler of requests that other instances forward.
  void OnForwarded(InboundHandler& aHandler)
  {
    mPortHandler.SetForwarded(aHandler);
  }
  // Drops closed connections, and closes those that are too slow or idle.
  void Sweep() { mPort->Sweep(); }
  // Throws Poco::Exception if the address cannot be bound.
  void Start();
  // Register callbacks that add to each heartbeat sent, and that read each
  // heartbeat received.
  void OnHeartbeatFill(std::function<void(Json::Value&)> aFill);
  void OnHeartbeat(std::function<void(const Peer&, const Json::Value&)> aRead);
  // Registers the reader of the datagrams of aKind.
  void OnMessage(const std::string& aKind,
                 std::function<void(const Json::Value&)> aRead);
  // Called with the name of an instance that starts to shut down.
  void OnLeaving(std::function<void(const std::string&)> aLeaving)
  {
    mOnLeaving = std::move(aLeaving);
  }
  void SendMessage(const std::string& aKind, const Json::Value& aMessage);
  void SendMessageTo(const std::string& aPeer,
                     const std::string& aKind,
                     const Json::Value& aMessage);
  // Sends to the instances of this zone only, including those that have just
  // left.
  void SendMessageInZone(const std::string& aKind, const Json::Value& aMessage);

  // Registers the method aName, which other instances may call.
  void AddMethod(const std::string& aName, Method aMethod);
  void Call(const std::string& aPeer,
            const std::string& aMethod,
            const Json::Value& aParams,
            Millis aTimeout,
            Reply aReply);

  // Adds an instance of the list. It is not Alive() before its first heartbeat.
  void AddPeer(const std::string& aName,
               const std::string& aZone,
               const std::string& aAddress);
  void RemovePeer(const std::string& aName);
  // Sends a goodbye to all instances; none calls this one afterwards.
  void Leave();
  // The live instance that claims to hold aLease; "" = none.
  std::string HolderOf(const std::string& aLease) const;
  const std::map<std::string, Peer>& All() const { return mPeers; }
  // Grows whenever an instance is added to All(), moved to another zone or
  // removed.
  uint64_t ListVersion() const { return mListVersion; }
  bool Alive(const Peer& aPeer) const;
  bool Alive(const std::string& aName) const;
  // This instance's last heartbeat claimed aLease.
  bool Claims(const std::string& aLease) const
  {
    return mClaims.count(aLease) > 0;
  }
  // Tells all instances that this one holds aLease, ahead of its heartbeats,
  // which take a round over all instances to arrive.
  void AnnounceLease(const std::string& aLease);
  // The instance is known and is not shutting down.
  bool IsStaying(const std::string& aName) const;

  // Round-trip time of datagrams, including the time that they wait unread:
  // Echoes() returns to each instance of this zone the time stamp of its last
  // heartbeat and the age of that heartbeat, from which the instance computes
  // how long heartbeat and reply took together.
  Json::Value Echoes() const;
  // aEchoes: from the received datagram. Returns nothing if its sender has
  // received no heartbeat of this instance yet.
  std::optional<Millis> RoundTripTime(const Json::Value& aEchoes) const;
  // Sends aPeer a time stamp to echo, ahead of the next heartbeat.
  void RequestEcho(const std::string& aPeer);
  // Interval of the heartbeats to one instance.
  Millis HeartbeatInterval() const;
  // Number of ticks in which each instance is sent one heartbeat.
  int TicksPerRound() const;

  void OnReadable() override;
  bool IsControl() const override { return true; }

private:
  // An instance that sent its goodbye; it may still have requests in flight.
  struct Departed
  {
    Peer mPeer;
    TimePoint mAt{};
  };

  void OnListChanged();
  void SendHeartbeats();
  void ForgetSilent();
  void ForgetDeparted();
  // The instance is of this zone and may still have requests in flight.
  bool DrainsInZone(const Departed& aDeparted) const;
  void WatchLeaving();
  void WatchLeases();
  void WatchEchoRequests();
  void AnnounceOwnLeaving();
  int64_t ClockMillis() const; // ms since this machine started
  Json::Value Self() const;
  Json::Value StampedSelf() const;
  Peer* ReadSender(const Json::Value& aMessage);
  Json::Value LeaseMessage(const std::string& aLease) const;
  void AnnounceLeaseInZone(const std::string& aLease);
  void RepeatClaims();
  void OnLeaseMessage(const Json::Value& aMessage);
  void OnLeavingMessage(const Json::Value& aMessage);
  void OnGoodbye(const Json::Value& aMessage);
  void ClearLeases(const Peer& aPeer);
  bool IsDeparted(const std::string& aName, int64_t aIncarnation) const;
  void SendTo(const Peer& aPeer, const std::string& aText);
  void ReadDatagram(const std::string& aText);
  void ReadHeartbeat(const Json::Value& aHeartbeat);
  ImmediateReply Answer(const InboundRequest& aRequest);

  static constexpr size_t kMaxReceivedBytes = 65536; // of a datagram

  EntryState& mState;
  Poco::Net::DatagramSocket mSocket;
  std::vector<char> mReceived = std::vector<char>(kMaxReceivedBytes);
  ImmediateHandler mCallHandler;
  PeerPortHandler mPortHandler;
  std::shared_ptr<ListenPort> mPort;
  std::map<std::string, Peer> mPeers; // by name, not this instance
  uint64_t mListVersion = 0;
  LeaseClaims mLeaseClaims;
  int mClaimRepeats = 0; // made so far
  std::map<std::string, Method> mMethods;
  std::vector<std::function<void(Json::Value&)>> mHeartbeatFillers;
  std::vector<std::function<void(const Peer&, const Json::Value&)>>
    mHeartbeatReaders;
  std::map<std::string, std::function<void(const Json::Value&)>>
    mMessageHandlers;
  std::string mLastHeartbeatTo;
  std::map<std::string, Departed> mDeparted;
  std::set<std::string> mClaims; // leases claimed in the last heartbeat
  std::function<void(const std::string&)> mOnLeaving = [](const auto&) {};
  int64_t mIncarnation = 0;
  bool mAnnouncedLeaving = false;
  bool mLeft = false;
};

} // namespace caraway

#endif
