// Peers.h: what the instances tell each other.
//
// A short datagram to each, several times a second, carries what is cheap to
// lose: versions seen, requests under way by server and model, demand, who
// holds which lease. What must arrive is a JSON-RPC call over TCP.
//
// An instance that is told to stop says so at once, and goodbye when nobody new
// comes to it: it is forgotten then, but for what it still has under way.
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

#include "entry/EntryState.h"
#include "entry/ImmediateHandler.h"
#include "entry/ListenPort.h"
#include "net/OutboundCall.h"

namespace caraway {

struct Peer
{
  std::string mName;
  std::string mZone;
  std::string mAddress;
  TimePoint mLastHeardAt{};         // never = only listed
  std::vector<std::string> mLeases; // that it says it holds
  int mQueued = 0;                  // models that wait for its orders
  int64_t mLife = 0;                // differs between lives of one name
  int64_t mSenderTime = 0;          // its clock, as its last pulse said
  std::string mRank;                // as a reader, see WatchStep
  bool mLeaving = false;            // it was told to stop
};

class Peers : public SocketHandler
{
public:
  using Method = std::function<Json::Value(const Json::Value&)>;
  // aGood false: no answer, or an error.
  using Reply = std::function<void(bool aGood, const Json::Value& aResult)>;

  explicit Peers(EntryState& aState);

  // Throws Poco::Exception when the address can't be bound.
  void Start();
  // Adds to every pulse that goes out, and reads from every one that comes.
  void OnHeartbeatFill(std::function<void(Json::Value&)> aFill);
  void OnHeartbeat(std::function<void(const Peer&, const Json::Value&)> aRead);
  // Datagrams beside the pulse, by their kind.
  void OnMessage(const std::string& aKind,
                 std::function<void(const Json::Value&)> aRead);
  // Called with the name of one that says that it was told to stop.
  void OnLeaving(std::function<void(const std::string&)> aLeaving)
  {
    mOnLeaving = std::move(aLeaving);
  }
  void SendMessage(const std::string& aKind, const Json::Value& aNote);
  void SendMessageTo(const std::string& aPeer,
                     const std::string& aKind,
                     const Json::Value& aNote);
  // To the instances of this zone only, those included that have just left.
  void SendMessageInZone(const std::string& aKind, const Json::Value& aNote);

  void Add(const std::string& aName, Method aMethod);
  void Call(const std::string& aPeer,
            const std::string& aMethod,
            const Json::Value& aParams,
            Millis aMost,
            Reply aReply);

  // An instance that is listed; doubtful until it is heard.
  void Learn(const std::string& aName,
             const std::string& aZone,
             const std::string& aAddress);
  void Drop(const std::string& aName);
  // Says goodbye to all, for good: nobody calls this instance any more.
  void Leave();
  // The one that says it holds aLease, heard lately; "" = nobody.
  std::string HolderOf(const std::string& aLease) const;
  const std::map<std::string, Peer>& All() const { return mPeers; }
  bool Alive(const Peer& aPeer) const;
  bool Alive(const std::string& aName) const;
  // This instance's last pulse said that it holds aLease.
  bool Claims(const std::string& aLease) const
  {
    return mClaims.count(aLease) > 0;
  }
  // It is known, and wasn't told to stop.
  bool IsStaying(const std::string& aName) const;

  // How long a datagram is on its way, the time that it lies unread included:
  // Echoes() tells those of this zone when their last pulse came, and by that
  // each knows how long its pulse and the answer took together.
  Json::Value Echoes() const;
  // aEchoes: those in the datagram. None: the other has heard nothing yet.
  std::optional<Millis> RoundTripTime(const Json::Value& aEchoes) const;
  // Between two pulses to the same instance.
  Millis HeartbeatInterval() const;
  // Pulses after which each instance has had one.
  int HeartbeatRounds() const;

  void OnReadable() override;

private:
  // One that said goodbye; its last requests may still be under way.
  struct Departed
  {
    Peer mPeer;
    TimePoint mAt{};
  };

  void Pulse();
  void ForgetSilent();
  void ForgetDeparted();
  // In this zone, and it may still have requests under way.
  bool DrainsInZone(const Departed& aDeparted) const;
  void WatchLeaving();
  void AnnounceOwnLeaving();
  int64_t Stamp() const; // this machine's clock
  Json::Value Self() const;
  void OnLeavingMessage(const Json::Value& aNote);
  void OnGoodbye(const Json::Value& aNote);
  void ClearLeases(const Peer& aPeer);
  bool IsDeparted(const std::string& aName, int64_t aLife) const;
  void SendTo(const Peer& aPeer, const std::string& aText);
  void ReadDatagram(const std::string& aText);
  void ReadHeartbeat(const Json::Value& aHeartbeat);
  ImmediateReply Answer(const InboundRequest& aRequest);

  EntryState& mState;
  Poco::Net::DatagramSocket mSocket;
  ImmediateHandler mReplies;
  std::shared_ptr<ListenPort> mPort;
  std::map<std::string, Peer> mPeers; // by name, without this instance
  std::map<std::string, Method> mMethods;
  std::vector<std::function<void(Json::Value&)>> mHeartbeatFillers;
  std::vector<std::function<void(const Peer&, const Json::Value&)>> mReads;
  std::map<std::string, std::function<void(const Json::Value&)>>
    mMessageHandlers;
  std::string mLastHeartbeatTo;
  std::map<std::string, Departed> mDeparted;
  std::set<std::string> mClaims; // leases
  std::function<void(const std::string&)> mOnLeaving = [](const auto&) {};
  int64_t mLife = 0;
  bool mAnnouncedLeaving = false;
  bool mLeft = false;
};

} // namespace caraway

#endif
