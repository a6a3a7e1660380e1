// StoreObject.h: objects of the store, and its answers.
#ifndef caraway_store_StoreObject_h
#define caraway_store_StoreObject_h

#include <cstdint>
#include <json/json.h>
#include <string>
#include <vector>

namespace caraway {

struct StoreObject
{
  std::string mName;
  int64_t mRevision = 0; // of its last change
  Json::Value mSpec;
};

struct StoreChange
{
  StoreObject mObject;
  bool mRemoved = false;
};

// A page of a list, or the changes that a watch returned.
struct StorePage
{
  std::vector<StoreChange> mChanges;
  int64_t mAsOf = 0; // store revision of this view
  bool mMore = false;
};

enum class StoreOutcome
{
  Done,
  Conflict, // the object is at another revision or exists already
  Missing,
  Gone,    // the store no longer keeps the requested history
  NotDone, // refused; nothing was changed
  Unknown, // no answer; the call may have been or may yet be carried out
};

} // namespace caraway

#endif
