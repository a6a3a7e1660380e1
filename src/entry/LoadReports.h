// LoadReports.h: servers' load reports in heartbeats.
//
// A heartbeat reaches 8 instances, and each instance in turn, in a large fleet
// every 2.5 s. So it carries the newest reports that the sender knows, those of
// other instances too: a report spreads in two or three ticks.
#ifndef caraway_entry_LoadReports_h
#define caraway_entry_LoadReports_h

#include <json/json.h>

#include "decide/ServerView.h"

namespace caraway {

// {server: [age_ms, running, waiting, pace in percent]}
Json::Value
LoadReportsJson(const ServerView& aServers, TimePoint aNow);

// aLate: how long the message may have waited here unread. Returns the number
// of reports that are left out because they can't be read or aren't plausible.
int
ReadLoadReports(const Json::Value& aReports,
                Millis aLate,
                ServerView& aServers,
                TimePoint aNow);

} // namespace caraway

#endif
