#include "serve/BriefingStore.h"

#include "base/RandomId.h"

namespace caraway {

namespace {

constexpr const char* kKind = "briefings";
constexpr const char* kListKind = "briefings-open";
constexpr int kMaxAttempts = 8;

} // namespace

int
BriefingStore::ListOf(const std::string& aId)
{
  unsigned hash = 2166136261u;
  for (char c : aId) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  }
  return static_cast<int>((hash >> 8) % kLists);
}

BriefingStore::BriefingStore(PlatformApi& aPlatform)
  : mPlatform(aPlatform)
{
}

Result<void>
BriefingStore::ChangeList(const std::string& aId, bool aAdd)
{
  std::string name = std::to_string(ListOf(aId));
  PlatformObject list;
  auto read = Outcome([&] { return mPlatform.Read(kListKind, name); });
  if (auto* found = std::get_if<PlatformObject>(&read)) {
    list = *found;
  } else if (std::get<Failure>(read).mKind != ErrorKind::NotFound) {
    return Fail(std::get<Failure>(read));
  }
  for (int i = 0; i < kMaxAttempts; ++i) {
    Json::Value next(Json::objectValue);
    for (const std::string& id : list.mValue.isObject()
                                   ? list.mValue.getMemberNames()
                                   : std::vector<std::string>()) {
      next[id] = list.mValue[id];
    }
    bool listed = next.isMember(aId);
    if (listed == aAdd) {
      return {};
    }
    if (aAdd) {
      next[aId] = 1;
    } else {
      next.removeMember(aId);
    }
    WriteResult result =
      mPlatform.Write({ kListKind, name, list.mVersion, RandomId(), next });
    if (result.mOutcome == WriteOutcome::Done) {
      return {};
    }
    if (result.mOutcome != WriteOutcome::Conflict) {
      break;
    }
    list = result.mObject;
  }
  return Fail(ErrorKind::PlatformUnavailable,
              "the list of open briefings could not be updated");
}

Result<void>
BriefingStore::Store(const Briefing& aBriefing)
{
  BOOST_LEAF_CHECK(ChangeList(aBriefing.mId, true));
  WriteResult result = mPlatform.Write(
    { kKind, aBriefing.mId, 0, RandomId(), BriefingJson(aBriefing) });
  // The id is random, so an object found under it came from this write: its
  // answer was lost, and another instance may have updated the object since.
  bool stored =
    result.mOutcome == WriteOutcome::Done ||
    (result.mOutcome == WriteOutcome::Conflict && result.mObject.mVersion > 0);
  if (!stored) {
    Failure failure = FailureOf(ErrorKind::PlatformUnavailable,
                                "the briefing could not be stored");
    failure.mRun = RunState::MayHaveRun; // the write may still take effect
    return Fail(failure);
  }
  return {};
}

Result<StoredBriefing>
BriefingStore::Read(const std::string& aId)
{
  BOOST_LEAF_AUTO(object, mPlatform.Read(kKind, aId));
  return StoredBriefing{ BriefingParse(object.mValue), object.mVersion };
}

Result<void>
BriefingStore::StoreResult(StoredBriefing& aStored, const Briefing& aEnded)
{
  WriteResult result = mPlatform.Write(
    { kKind, aEnded.mId, aStored.mVersion, RandomId(), BriefingJson(aEnded) });
  bool known = result.mOutcome == WriteOutcome::Done ||
               result.mOutcome == WriteOutcome::Conflict;
  if (!known) {
    return Fail(ErrorKind::PlatformUnavailable,
                "the briefing's result could not be stored");
  }
  return {};
}

Result<std::set<std::string>>
BriefingStore::OpenIds(int aList)
{
  std::set<std::string> open;
  auto read =
    Outcome([&] { return mPlatform.Read(kListKind, std::to_string(aList)); });
  if (auto* failure = std::get_if<Failure>(&read)) {
    if (failure->mKind == ErrorKind::NotFound) {
      return open;
    }
    return Fail(*failure);
  }
  const Json::Value& list = std::get<PlatformObject>(read).mValue;
  if (!list.isObject()) {
    return Fail(ErrorKind::Internal,
                "list " + std::to_string(aList) +
                  " of open briefings is no object; its briefings wait");
  }
  for (const std::string& id : list.getMemberNames()) {
    open.insert(id);
  }
  return open;
}

Result<void>
BriefingStore::RemoveFromList(const std::string& aId)
{
  return ChangeList(aId, false);
}

} // namespace caraway
