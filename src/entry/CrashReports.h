// CrashReports.h: how instances tell each other, and the store, which parts of
// prompts crash servers.
//
// Reports of crashes and of good answers go to all instances at once. What
// several crashes have in common is also in heartbeats, for those that missed
// the reports or have just started, and in this instance's entry in the store,
// for the time after all instances were killed. The decision is
// CrashSuspects'.
#ifndef caraway_entry_CrashReports_h
#define caraway_entry_CrashReports_h

#include <map>
#include <set>
#include <string>

#include "crash/RequestEndReports.h"
#include "entry/CrashWatch.h"
#include "entry/EntryState.h"
#include "entry/Membership.h"
#include "entry/Peers.h"
#include "store/StoreClient.h"

namespace caraway {

class CrashReports : public CrashWatch
{
public:
  CrashReports(EntryState& aState,
               StoreClient& aStore,
               Peers& aPeers,
               Membership& aMembers);

  void Start();
  void FillHeartbeat(Json::Value& aHeartbeat) const;
  void ReadHeartbeat(const Json::Value& aHeartbeat);
  // Called when the list of servers has changed.
  void OnServersChanged();

  size_t Blocked() const { return mSuspects.Blocked(); }
  size_t Suspects() const { return mSuspects.Size(); }

  size_t RequestsRefused() const { return mRequestEnds.Ends().Refused(); }
  size_t RequestsSuspected() const { return mRequestEnds.Ends().Size(); }

  bool Idle() const override
  {
    return !PartsWatched() && mRequestEnds.Ends().Empty();
  }
  void OnBroken(const ServerLife& aLife, const PromptParts& aParts) override;
  void OnUnsureEnd(const ServerLife& aLife, const PromptParts& aParts) override;
  void OnGoodAnswer(const PromptParts& aParts) override;
  void OnBytes(const ServerLife& aLife, TimePoint aSentAt) override;
  std::optional<Block> BlockOf(const PromptParts& aParts) const override;
  bool Suspected(const PromptParts& aParts) const override;
  void RequestProbe(const PromptParts& aParts,
                    std::function<void(bool aGranted)> aDone) override;
  void OnRunEnded(const RequestNames& aNames,
                  const ServerRunFacts& aRun) override;
  void OnServed(const RequestNames& aNames) override;
  int EndsOf(const RequestNames& aNames) const override;
  std::optional<Millis> RefusedFor(const RequestNames& aNames) const override;
  void WhenEndsStored(std::function<void()> aDone) override;
  bool EndsKnown() const override { return mRequestEnds.Known(); }

private:
  bool PartsWatched() const { return !mSuspects.Empty() || !mBroken.Empty(); }
  // The server is in use, so that its end is no part of a shutdown.
  bool InUse(const ServerLife& aLife) const;
  void TickSoon();
  void Tick();
  void SendReports();
  void OnReport(const Json::Value& aMessage);
  // Good answers.
  void TellCleared(const std::string& aPart,
                   const std::vector<std::string>& aCrashes);
  void SendCleared();
  void OnClearedMessage(const Json::Value& aMessage);
  // Blocked parts.
  void OnBlocked(const std::string& aPart, const std::string& aFrom);
  void OnUnblocked(const std::string& aPart, const char* aWhy);
  void Announce(const std::string& aPart);
  void OnTold(const PartEvidence& aEvidence, const std::string& aFrom);
  Millis Jitter() const;
  // Operators' calls.
  Json::Value ListParts() const;
  Json::Value Lift(const Json::Value& aParams);
  // This instance's entry in the store.
  std::vector<PartEvidence> EntryEvidence() const;
  void CheckEntry();
  void FillEntry(Json::Value& aSpec);
  void ReadEntry(const std::string& aName, const Json::Value& aSpec);

  Json::Value ToJson(const std::vector<PartEvidence>& aEvidence) const;
  void ReadEvidence(const Json::Value& aJson,
                    Millis aAge,
                    const std::string& aFrom);
  int64_t UnixMs() const;

  EntryState& mState;
  StoreClient& mStore;
  Peers& mPeers;
  Membership& mMembers;
  CrashSuspects mSuspects;
  BrokenServers mBroken;
  RequestEndReports mRequestEnds;
  // Crashes that are known here not to count, to be told to the others.
  std::map<std::string, std::set<std::string>> mClearedToTell; // by part
  std::set<std::string> mBlockedToTell;                        // parts
  std::set<std::string> mReported; // crashes that this instance reported
  std::string mWrittenEntry;       // what the entry was last filled with
  TimePoint mEntryCheckAt{};
  bool mTicking = false;
  bool mClearsDue = false;
};

} // namespace caraway

#endif
