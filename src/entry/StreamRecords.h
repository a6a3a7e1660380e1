// StreamRecords.h: which software version began each resumable stream.
//
// Events of two versions don't fit together, so a stream that is resumed must
// go on at the version that began it. Its caller may ask any instance and names
// only the attempt that began it; the instance that served that one may be
// gone, and all others with it. So while servers of several versions serve a
// service, each instance keeps the versions of its streams in the store, in one
// object of its own. A record is written before the caller gets the first
// event, so that whoever has an event to go on from has a record. While the
// store doesn't take records, the other instances are told.
#ifndef caraway_entry_StreamRecords_h
#define caraway_entry_StreamRecords_h

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decide/TokenBucket.h"
#include "entry/EntryState.h"
#include "entry/Peers.h"
#include "entry/StreamOrigins.h"
#include "store/StoreClient.h"

namespace caraway {

class StreamRecords : public StreamOrigins
{
public:
  StreamRecords(EntryState& aState, StoreClient& aStore, Peers& aPeers);

  void Start();
  // Called when the list of servers has changed.
  void OnServersChanged();

  size_t Size() const { return mRecords.size(); }

  void Put(const std::string& aStream,
           const StreamOrigin& aOrigin,
           Millis aLife) override;
  bool Stored(const std::string& aStream) const override;
  void WhenStored(const std::string& aStream,
                  std::function<void()> aDone) override;
  void Find(const StreamQuery& aQuery, Found aDone) override;

private:
  static constexpr char kKind[] = "caraway-streams"; // of the objects
  // Message that tells of streams whose records the store didn't take in time.
  static constexpr char kToldMessage[] = "stream_origins";
  // Limit of the writes of all instances together, a part of what the store
  // takes.
  static constexpr double kFleetWritesPerSecond = 200;
  // Writes that an instance may send close to each other.
  static constexpr double kWriteBurst = 3;

  struct Record
  {
    StreamOrigin mOrigin;
    TimePoint mUntil{};
    // The write that contains it, counted from 1; 0 = none yet.
    uint64_t mWrite = 0;
    bool mTold = false; // to the other instances, or by one
  };
  struct Waiter
  {
    std::string mStream;
    TimePoint mUntil{};
    std::function<void()> mDone;
  };
  struct PendingQuery
  {
    StreamQuery mQuery;
    Found mDone;
  };

  using OnStream = std::function<void(const StreamOrigin& aOrigin,
                                      const std::string& aStream)>;

  // Calls aOnStream for each stream of an object or message.
  static void ForEach(const Json::Value& aServices, const OnStream& aOnStream);
  void TellPeers();
  void OnTold(const Json::Value& aServices);
  bool MustStore(const Record& aRecord) const;
  void Sweep();
  // Writing.
  void WriteSoon();
  void Write();
  StoreObject OwnObject();
  void OnWritten(uint64_t aWrite,
                 StoreOutcome aOutcome,
                 const std::string& aBody);
  void Adopt(const StoreObject& aObject);
  void CallWaiters();
  // Reading.
  void BeginRead();
  void ReadPage(const std::string& aAfter);
  void OnPage(StoreOutcome aOutcome, const std::string& aBody);
  void TakeFrom(const StoreObject& aObject);
  void DropOutdated(const StoreObject& aObject);
  void EndRead(bool aComplete);
  bool ListIsOld() const;
  std::optional<std::string> SoleVersion(const StreamQuery& aQuery,
                                         bool aComplete) const;
  void AnswerFromList(const PendingQuery& aPending, bool aComplete);
  int64_t UnixMs() const;

  EntryState& mState;
  StoreClient& mStore;
  Peers& mPeers;
  std::map<std::string, Record>
    mRecords; // by the attempt that began the stream
  std::vector<Waiter> mWaiters;
  uint64_t mWrites = 0;  // begun
  uint64_t mDone = 0;    // the last that took effect
  int64_t mRevision = 0; // of the own object; 0 = none known
  bool mWriting = false;
  bool mWriteDue = false; // a write is scheduled
  bool mFailing = false;  // the last write failed
  TokenBucket mWriteBudget;
  int64_t mStartedUnixMs = 0;             // when this process started
  TimePoint mListedAt{};                  // when the servers were first known
  uint64_t mVersionChanges = 0;           // as last seen; see ServiceVersions
  std::vector<PendingQuery> mQueries;     // of the read in progress
  std::vector<PendingQuery> mNextQueries; // that came since its beginning
  bool mReading = false;
};

} // namespace caraway

#endif
