// StoreObject.h: what the store keeps, and its answers.
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

// A page of a list, or what a watch brought.
struct StorePage
{
  std::vector<StoreChange> mChanges;
  int64_t mAsOf = 0; // the store's revision that it shows
  bool mMore = false;
};

enum class StoreOutcome
{
  Done,
  Conflict, // the object is at another revision, or exists already
  Missing,
  Gone,    // the history asked for is no longer kept
  NotDone, // refused; nothing was changed
  Unknown, // no answer; it may have been done, or may be done later
};

} // namespace caraway

#endif
