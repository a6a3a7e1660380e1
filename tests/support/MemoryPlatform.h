// MemoryPlatform.h: in-memory platform object API with fault injection.
#ifndef caraway_tests_MemoryPlatform_h
#define caraway_tests_MemoryPlatform_h

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "platform/PlatformApi.h"

namespace caraway {

// Fault of a write. Except for None, the writer gets Refused or Unknown.
enum class MemoryFault
{
  None,
  Refused,    // never sent
  AnswerLost, // takes effect
  WriteLost,  // takes no effect
  Late,       // takes effect only when the test calls ApplyLate
};

// Maps a random number to a fault: 0 to 3 are faults, higher numbers None.
inline MemoryFault
MemoryFaultOf(int aDrawn)
{
  const MemoryFault faults[] = { MemoryFault::Refused,
                                 MemoryFault::AnswerLost,
                                 MemoryFault::WriteLost,
                                 MemoryFault::Late };
  return aDrawn < 4 ? faults[aDrawn] : MemoryFault::None;
}

class MemoryPlatform : public PlatformApi
{
public:
  // Called before each write to choose its fault; may write objects itself.
  std::function<MemoryFault(const PlatformWrite&)> mOnWrite;
  // Number of versions by which a read is stale; < 0 = the platform is out.
  std::function<int()> mOnRead;
  std::vector<PlatformWrite> mLateWrites;

  WriteResult Apply(const PlatformWrite& aWrite)
  {
    std::vector<PlatformObject>& history =
      HistoryOf(aWrite.mKind, aWrite.mName);
    int64_t current = history.empty() ? 0 : history.back().mVersion;
    if (current != aWrite.mExpected) {
      return { WriteOutcome::Conflict,
               history.empty() ? PlatformObject() : history.back() };
    }
    history.push_back(
      { aWrite.mName, ++mVersion, aWrite.mWriteId, aWrite.mValue });
    return { WriteOutcome::Done, history.back() };
  }

  void ApplyLate(size_t aIndex)
  {
    PlatformWrite write = mLateWrites[aIndex];
    mLateWrites.erase(mLateWrites.begin() + static_cast<long>(aIndex));
    Apply(write);
  }

  // The newest version, however stale reads are.
  PlatformObject CurrentObject(const std::string& aKind,
                               const std::string& aName)
  {
    std::vector<PlatformObject>& history = HistoryOf(aKind, aName);
    return history.empty() ? PlatformObject() : history.back();
  }

  Result<PlatformObject> Read(const std::string& aKind,
                              const std::string& aName) override
  {
    int versionsBack = mOnRead ? mOnRead() : 0;
    std::vector<PlatformObject>& history = HistoryOf(aKind, aName);
    if (versionsBack < 0) {
      return Fail(ErrorKind::PlatformUnavailable, "out");
    }
    if (history.size() <= static_cast<size_t>(versionsBack)) {
      return Fail(ErrorKind::NotFound, aName);
    }
    return history[history.size() - 1 - static_cast<size_t>(versionsBack)];
  }

  Result<std::vector<PlatformObject>> List(const std::string&,
                                           const std::string&) override
  {
    return Fail(ErrorKind::PlatformUnavailable,
                "MemoryPlatform does not support lists");
  }

  WriteResult Write(const PlatformWrite& aWrite) override
  {
    switch (mOnWrite ? mOnWrite(aWrite) : MemoryFault::None) {
      case MemoryFault::Refused:
        return { WriteOutcome::Refused, {} };
      case MemoryFault::AnswerLost:
        Apply(aWrite);
        return { WriteOutcome::Unknown, {} };
      case MemoryFault::Late:
        mLateWrites.push_back(aWrite);
        return { WriteOutcome::Unknown, {} };
      case MemoryFault::WriteLost:
        return { WriteOutcome::Unknown, {} };
      default:
        return Apply(aWrite);
    }
  }

  Result<PlatformObject> Watch(const std::string& aKind,
                               const std::string& aName,
                               int64_t aAfter,
                               Millis) override
  {
    BOOST_LEAF_AUTO(object, Read(aKind, aName));
    if (object.mVersion <= aAfter) {
      return Fail(ErrorKind::NotFound, "no change");
    }
    return object;
  }

  Result<std::vector<InstanceInfo>> Instances() override
  {
    return Fail(ErrorKind::PlatformUnavailable,
                "MemoryPlatform does not support lists");
  }

private:
  std::vector<PlatformObject>& HistoryOf(const std::string& aKind,
                                         const std::string& aName)
  {
    return mHistory[aKind + "/" + aName];
  }

  std::map<std::string, std::vector<PlatformObject>> mHistory;
  int64_t mVersion = 0;
};

} // namespace caraway

#endif
