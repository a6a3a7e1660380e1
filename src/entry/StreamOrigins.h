// StreamOrigins.h: where resumable streams began; implemented by StreamRecords.
#ifndef caraway_entry_StreamOrigins_h
#define caraway_entry_StreamOrigins_h

#include <functional>
#include <optional>
#include <string>

#include "caraway/Time.h"

namespace caraway {

// The servers that began a stream, and that alone can go on with it.
struct StreamOrigin
{
  std::string mService;
  std::string mVersion; // of the servers' software

  bool operator==(const StreamOrigin& aOther) const
  {
    return mService == aOther.mService && mVersion == aOther.mVersion;
  }
};

struct StreamQuery
{
  std::string mStream;  // the attempt that began it; "" = the caller named none
  std::string mService; // to which the resumed request goes
  Millis mLife{ 0 };    // longest time that a stream of its route takes
};

// How an origin was found.
enum class OriginSource
{
  Memory, // this instance's
  Store,
  Sole,    // the service has had servers of one version only
  Assumed, // the only version that was there before the stream can have begun
  Unknown,
};

const char*
OriginSourceName(OriginSource aSource);

struct StreamLookup
{
  std::optional<StreamOrigin> mOrigin; // nothing if Unknown
  OriginSource mSource = OriginSource::Unknown;
};

class StreamOrigins
{
public:
  using Found = std::function<void(const StreamLookup&)>;

  virtual ~StreamOrigins() = default;
  // Records the origin of the stream that attempt aStream begins, or goes on
  // with, in place of one that was recorded before. It is kept for aLife.
  virtual void Put(const std::string& aStream,
                   const StreamOrigin& aOrigin,
                   Millis aLife) = 0;
  // Whether every instance can find the record, or none has to.
  virtual bool Stored(const std::string& aStream) const = 0;
  // Calls aDone once, later: when Stored(), or when that takes too long.
  virtual void WhenStored(const std::string& aStream,
                          std::function<void()> aDone) = 0;
  // Calls aDone once, at once or later.
  virtual void Find(const StreamQuery& aQuery, Found aDone) = 0;
};

} // namespace caraway

#endif
