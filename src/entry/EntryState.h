// EntryState.h: state shared by the components of an entry instance.
#ifndef caraway_entry_EntryState_h
#define caraway_entry_EntryState_h

#include <random>
#include <set>
#include <string>
#include <utility>

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "decide/DemandExchange.h"
#include "decide/DispatchOrder.h"
#include "decide/Evacuations.h"
#include "decide/FeedFreshness.h"
#include "decide/LeavePlan.h"
#include "decide/RunTimeEstimates.h"
#include "decide/ServerReach.h"
#include "decide/ServerRetryBudget.h"
#include "decide/ServerView.h"
#include "decide/ServingConfig.h"
#include "decide/SlotForecast.h"
#include "entry/EntrySettings.h"
#include "intake/RequestAccount.h"
#include "net/ChannelPool.h"
#include "net/Reactor.h"

namespace caraway {

// Accessed only on the thread of mReactor.
struct EntryState
{
  EntryState(const Clock& aClock, EntrySettings aSettings, int aLogFile);

  TimePoint Now() const { return mReactor.Now(); }
  // Age of aThen in ms; -1 for a default TimePoint, which means never.
  Millis AgeOf(TimePoint aThen) const;

  // Closes the idle connections to a server that has gone or started again.
  void DropConnections(const std::string& aAddress, const std::string& aServer);

  // Puts what the feeds have delivered in doubt if events have been kept
  // waiting for long. Called before anything is decided for a request.
  void NoteStandstill();
  // Some feed has to be checked before requests are decided by it.
  bool InDoubt() const;

  EntrySettings mSettings;
  RequestAccount mRequests; // held on the connections of all ports
  Reactor mReactor;
  EventLog mLog;
  Metrics mMetrics;
  ChannelPool mServerPool;
  ChannelPool mPeerPool;    // to other instances
  ServingConfigPtr mConfig; // null until one is received
  std::string mConfigFrom;  // "store", or the instance that it came from
  FeedFreshness mConfigFreshness;
  FeedFreshness mListFreshness; // of the list of servers
  FeedFreshness mEvacuationFreshness;
  TimePoint mStartedAt{}; // of the process
  ServerView mServers;
  ServerReach mServerReach;
  bool mServersKnown = false; // the list has been received at least once
  Evacuations mEvacuations;
  // The evacuated zones have not been read yet since the start of the process,
  // so that no server can be chosen.
  bool mAwaitsEvacuations = false;
  DemandExchange mDemand; // at all instances
  ServerRetryBudget mRetryBudget;
  int mInstances = 1; // that may be running, including this one
  RunTimeEstimates mRunTimes;
  // Of requests to services whose servers report their pace.
  DispatchOrder mDispatchOrder;
  SlotForecast mSlotForecast;
  LeavePlan mLeave;
  // Sources and fields of values that were logged as ignored.
  std::set<std::pair<std::string, std::string>> mIgnoredValues;
  std::mt19937 mRandom;
};

} // namespace caraway

#endif
