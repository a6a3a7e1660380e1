// EvacuationFeed.h: keeps the set of evacuated zones up to date, from the
// object store or from other instances.
#ifndef caraway_entry_EvacuationFeed_h
#define caraway_entry_EvacuationFeed_h

#include <functional>
#include <json/json.h>
#include <map>
#include <set>
#include <string>

#include "entry/EntryState.h"
#include "store/StoreFeed.h"

namespace caraway {

class EvacuationFeed
{
public:
  // aChanged is called when the set has changed.
  EvacuationFeed(EntryState& aState,
                 StoreClient& aStore,
                 std::function<void()> aChanged);

  // Makes no call to the store, now or later, if the settings don't ask for
  // evacuations.
  void Start();
  // While paused, changes come from other instances and no calls to the store
  // are made.
  void SetPaused(
    bool aPaused,
    StoreFeed::FirstWatch aFirst = StoreFeed::FirstWatch::AfterBatch);
  // Reads the set again, unless it comes from another instance.
  void Refresh(const char* aWhy)
  {
    if (mEnabled && !mPaused) {
      mObjects.Refresh(aWhy);
    }
  }
  // Called when the set has changed, after aChanged of the constructor.
  void OnUpdate(std::function<void()> aOnUpdate)
  {
    mOnUpdate = std::move(aOnUpdate);
  }

  // Writes the known set and its revision, if there is one, into a message to
  // another instance.
  void Fill(Json::Value& aMessage) const;
  // Reads them from a message of aPeer, if they are there. Throws
  // Json::Exception if they are of another type.
  void Read(const Json::Value& aMessage, const std::string& aPeer);
  static bool IsIn(const Json::Value& aMessage);
  // For operators: by zone, the revision as of which and the time since which
  // this instance knows of the evacuation.
  Json::Value ToJson() const;

private:
  void OnObject(const StoreChange& aChange);
  void Apply(const std::set<std::string>& aZones,
             int64_t aAsOf,
             const std::string& aFrom);

  EntryState& mState;
  std::function<void()> mChanged;
  std::function<void()> mOnUpdate = [] {};
  StoreFeed mObjects;
  std::set<std::string> mStored;              // zones, as the store reports
  std::map<std::string, int64_t> mUnreadable; // logged revisions, by name
  bool mEnabled = false;
  bool mPaused = false;
};

} // namespace caraway

#endif
