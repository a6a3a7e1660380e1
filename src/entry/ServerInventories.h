// ServerInventories.h: the content of a zone's servers while this instance
// holds the zone's lease, and its publication to the other instances.
//
// A new lease holder starts without any inventory: order counts and contents
// received from other instances may date from the middle of an order. It
// requests a report of each server as soon as it has the lease, so that the
// inventories are known by the time it may send orders.
#ifndef caraway_entry_ServerInventories_h
#define caraway_entry_ServerInventories_h

#include <functional>
#include <json/json.h>
#include <map>
#include <string>

#include "decide/RepeatRotation.h"
#include "decide/ServerInventory.h"
#include "entry/LeaseLoop.h"
#include "entry/Peers.h"

namespace caraway {

class ServerInventories
{
public:
  // aChanged: called when the known content of a server has changed.
  ServerInventories(EntryState& aState,
                    Peers& aPeers,
                    LeaseLoop& aLease,
                    std::string aZone,
                    std::function<void()> aChanged);

  void Start();

  // The inventory under the current lease; not Known() until a report has
  // confirmed it. aServer must be listed.
  ServerInventory& Of(const std::string& aServer);
  bool Known(const std::string& aServer);
  // The inventory is known, and no report has shown that a load assumed to be
  // done is still in progress.
  bool CanTakeOrder(const std::string& aServer);
  // Requests a report of the server. aThen is called with whether the report
  // confirmed the inventory.
  void RequestReport(const std::string& aServer,
                     std::function<void(bool aConfirmed)> aThen);
  // See PlacementFacts::mLateOrders.
  std::map<std::string, std::vector<RoomUse>> RoomForLateOrders(
    const std::string& aService);
  // Logs what this instance believes the server to hold, in memory and slots,
  // by what and since when.
  void LogContent(const std::string& aServer, const EngineSpec& aEngine);
  // Copies the inventory to the server view, by which this instance routes
  // requests.
  void Apply(const std::string& aServer);
  // Apply(), and sends the content to the other instances.
  void ApplyAndSend(const std::string& aServer);
  // Sends the content to the other instances, e.g. when a load has started.
  void SendContent(const std::string& aServer);
  // Requests a report, at a limited rate, of a server whose known content may
  // be wrong.
  void Recheck(const std::string& aServer);

  // An order to the server was answered, or its answer is no longer awaited;
  // aStartTime: of the server that it was sent to. The sender may have lost
  // interest, and the server may not be listed any more.
  void OnOrderAnswered(const std::string& aServer,
                       const ModelOrder& aOrder,
                       int64_t aStartTime,
                       OrderAnswer aAnswer);

  // Whether an order that this instance doesn't wait for may be carried out
  // under the present count: one of an earlier lease, or one of its own without
  // an answer.
  bool OthersMayOrder(const std::string& aServer);

  // The content of a server as sent by another instance.
  void OnContent(const Json::Value& aMessage);

private:
  struct Entry
  {
    ServerInventory mInventory;
    bool mReportPending = false;
    bool mLoadPending = false; // a load assumed to be done is still in progress
    TimePoint mNextReportAt{};
    TimePoint mReportAskedAt{};
    TimePoint mRecheckedAt{};
    TimePoint mConfirmedAt{}; // by the last report that established the content
    TimePoint mListedAt{};    // when the server was last seen in the list
  };
  Entry& EntryOf(const std::string& aServer);
  bool MayAskForReport(const Backend& aBackend, const Entry& aEntry) const;
  void RequestMissingReports();
  void ForgetUnlisted();
  void CheckReport(const std::string& aServer, const ServerReport& aReport);
  void RepeatContents();
  bool InZone(const Backend& aBackend) const;
  void KeepRoomForOthersOrders(const std::string& aServer, Entry& aEntry);
  Json::Value ContentOf(const Backend& aBackend);
  // The orders without an answer, by server: for the lease object, as nobody
  // may be left who was told of them.
  Json::Value UnansweredOrders() const;
  void OnUnansweredOrders(const Json::Value& aOrders);
  void OnOthersOrders(const Json::Value& aMessage, const Backend& aBackend);

  EntryState& mState;
  Peers& mPeers;
  LeaseLoop& mLease;
  std::string mZone;
  std::function<void()> mChanged;
  std::map<std::string, Entry> mEntries; // by server
  int64_t mToken = 0;                    // token of the lease they belong to
  TimePoint mLeaseSince{};               // when that token was first seen
  RepeatRotation mRepeats;
};

} // namespace caraway

#endif
