// EntryState.h: what the parts of an entry instance share.
#ifndef caraway_entry_EntryState_h
#define caraway_entry_EntryState_h

#include <random>

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "decide/DemandTracker.h"
#include "decide/LeavePlan.h"
#include "decide/RunTimeEstimates.h"
#include "decide/ServerRetryBudget.h"
#include "decide/ServerView.h"
#include "decide/ServingConfig.h"
#include "entry/EntrySettings.h"
#include "net/ChannelPool.h"
#include "net/Reactor.h"

namespace caraway {

// One shard's state: touched by its reactor's thread only.
struct EntryState
{
  EntryState(const Clock& aClock, EntrySettings aSettings, int aLogFile);

  TimePoint Now() const { return mReactor.Now(); }
  // A request here asks for aName, MODEL or MODEL/ADAPTER.
  void CountDemand(const std::string& aName, TimePoint aNow);
  // Age of aThen in whole milliseconds; -1 when it never happened.
  Millis AgeOf(TimePoint aThen) const;

  EntrySettings mSettings;
  Reactor mReactor;
  EventLog mLog;
  Metrics mMetrics;
  ChannelPool mServerPool;  // to servers
  ChannelPool mPeerPool;    // to other instances
  ServingConfigPtr mConfig; // null until one is known
  ServerView mServers;
  bool mServersKnown = false; // the list was read at least once
  DemandTracker mDemand;      // of all instances
  std::map<std::string, int> mRequestsSinceHeartbeat; // here, by model
  ServerRetryBudget mRepeats;
  int mInstances = 1; // that may be running, this one included
  RunTimeEstimates mRunTimes;
  LeavePlan mLeave;
  std::mt19937 mRandom;
};

} // namespace caraway

#endif
