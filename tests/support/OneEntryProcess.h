// OneEntryProcess.h: one carawayd-entry as a process, before stand-in servers
// of the test's process.
#ifndef caraway_tests_OneEntryProcess_h
#define caraway_tests_OneEntryProcess_h

#include <functional>

#include "support/EntryProcess.h"
#include "support/EntryTestFleet.h"
#include "support/ScratchFolder.h"

namespace caraway {

class OneEntryProcess
{
public:
  // aConfigure changes the first configuration, aPrepare the stand-ins before
  // the process starts. Returns once a request was served and the token buckets
  // are full.
  explicit OneEntryProcess(
    EntryFleetOptions aOptions = EntryFleetOptions(),
    const std::function<void(Json::Value&)>& aConfigure = nullptr,
    const std::function<void(EntryTestFleet&)>& aPrepare = nullptr);

  ScratchFolder mFolder;
  EntryTestFleet mFleet;
  EntryProcess mProcess;
};

} // namespace caraway

#endif
