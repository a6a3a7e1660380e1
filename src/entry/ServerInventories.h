// ServerInventories.h: what the servers of a zone hold, while this instance
// holds the zone's lease, and what is told of that to the other instances.
//
// A holder begins with no account: counts and contents that others told may be
// from the middle of an order. It asks each server for a report as soon as it
// has the lease, so that it can order by the time that it may.
#ifndef caraway_entry_ServerInventories_h
#define caraway_entry_ServerInventories_h

#include <functional>
#include <json/json.h>
#include <map>
#include <string>

#include "decide/ServerInventory.h"
#include "entry/LeaseLoop.h"
#include "entry/Peers.h"

namespace caraway {

class ServerInventories
{
public:
  // aChanged: what some server holds is believed anew.
  ServerInventories(EntryState& aState,
                    Peers& aPeers,
                    LeaseLoop& aLease,
                    std::string aZone,
                    std::function<void()> aChanged);

  void Start();

  // The account under the lease held now; not Known() until a report settled
  // it. aServer is listed.
  ServerInventory& Of(const std::string& aServer);
  bool Known(const std::string& aServer);
  // It can take an order, as far as is known.
  bool AtRest(const std::string& aServer);
  // Asks for a report. aThen: whether it settled the account.
  void Learn(const std::string& aServer,
             std::function<void(bool aSettled)> aThen);
  // Requests here go by the account from now on.
  void Put(const std::string& aServer);
  // The same, here and elsewhere.
  void Show(const std::string& aServer);
  // Tells the others only, e.g. that a load has begun.
  void Tell(const std::string& aServer);
  // Asks for a report of what is believed and perhaps isn't so, now and then.
  void Recheck(const std::string& aServer);

  // What another instance tells of a server.
  void OnContent(const Json::Value& aNote);

private:
  struct Entry
  {
    ServerInventory mAccount;
    bool mAsking = false;
    bool mLate = false; // a load taken as done is still under way
    TimePoint mAskNext{};
    TimePoint mRechecked{};
  };
  Entry& EntryOf(const std::string& aServer);
  void RequestMissingReports();
  void SendAllContents();
  bool Mine(const Backend& aBackend) const;

  EntryState& mState;
  Peers& mPeers;
  LeaseLoop& mLease;
  std::string mZone;
  std::function<void()> mChanged;
  std::map<std::string, Entry> mEntries; // by server
  int64_t mToken = 0;                    // lease under which they are known
  TimePoint mSentAllAt{};
};

} // namespace caraway

#endif
