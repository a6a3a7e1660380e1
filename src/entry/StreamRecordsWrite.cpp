// StreamRecordsWrite.cpp: how records reach the store, and, while it takes
// none, the other instances.
#include "entry/StreamRecords.h"

#include <algorithm>

#include "platform/JsonReading.h"

namespace caraway {

namespace {

// Records read from another process of this instance, or told by another
// instance, whose age isn't known, are kept for this long; no stream takes
// longer.
constexpr Millis kAdoptedLife{ 60000 };

constexpr Millis kRetryInterval{ 300 };

// Fits into a datagram.
constexpr int kStreamsPerMessage = 25;

} // namespace

// ---- Writing

// A write goes out at once while this instance keeps to its part of the writes;
// those that wait gather what has come meanwhile.
void
StreamRecords::WriteSoon()
{
  if (mWriting || mWriteDue) {
    return;
  }
  mWriteDue = true;
  TimePoint now = mState.Now();
  mWriteBudget.Resize(
    kFleetWritesPerSecond / std::max(1, mState.mInstances), kWriteBurst, now);
  Millis wait = mFailing ? kRetryInterval : mWriteBudget.Until(1, now);
  mState.mReactor.After(wait, [this] {
    mWriteDue = false;
    Write();
  });
}

StoreObject
StreamRecords::OwnObject()
{
  StoreObject object;
  object.mName = mState.mSettings.mName;
  object.mRevision = mRevision;
  object.mSpec["written"] = Json::Int64(UnixMs());
  Json::Value& streams = object.mSpec["streams"];
  streams = Json::Value(Json::objectValue);
  for (auto& [stream, record] : mRecords) {
    if (record.mWrite == 0 && !MustStore(record)) {
      continue;
    }
    if (record.mWrite == 0) {
      record.mWrite = mWrites;
    }
    streams[record.mOrigin.mService][record.mOrigin.mVersion].append(stream);
  }
  return object;
}

void
StreamRecords::Write()
{
  mWriting = true;
  mWriteBudget.Overdraw(1, mState.Now());
  uint64_t write = ++mWrites;
  StoreObject object = OwnObject();
  mStore.Call("streams_write",
              mRevision > 0 ? wire::ReplaceCall(kKind, object)
                            : wire::CreateCall(kKind, object),
              [this, write](StoreOutcome aOutcome, const std::string& aBody) {
                OnWritten(write, aOutcome, aBody);
              });
}

void
StreamRecords::OnWritten(uint64_t aWrite,
                         StoreOutcome aOutcome,
                         const std::string& aBody)
{
  mWriting = false;
  auto object = wire::ReadObjectAnswer(aBody);
  if (aOutcome == StoreOutcome::Done && object) {
    mFailing = false;
    mRevision = object->mRevision;
    mDone = aWrite;
  } else {
    mState.mLog.Line("streams_unwritten")
      .Text("outcome", StoreOutcomeName(aOutcome))
      .Count("streams", static_cast<int64_t>(mRecords.size()));
    for (auto& [stream, record] : mRecords) {
      record.mWrite = record.mWrite == aWrite ? 0 : record.mWrite;
    }
    if (aOutcome == StoreOutcome::Conflict && object) {
      Adopt(*object);
    } else if (aOutcome == StoreOutcome::Missing) {
      mRevision = 0;
    } else {
      mFailing = true;
    }
  }
  CallWaiters();
  for (const auto& [stream, record] : mRecords) {
    if (record.mWrite == 0 && MustStore(record)) {
      WriteSoon();
      return;
    }
  }
}

// The object was written by an earlier process of this instance, or by a write
// of this one whose answer was lost. What it has and this process hasn't is of
// the former.
void
StreamRecords::Adopt(const StoreObject& aObject)
{
  mRevision = aObject.mRevision;
  TimePoint until = mState.Now() + kAdoptedLife;
  ForEach(wire::Field(aObject.mSpec, "streams"),
          [&](const StreamOrigin& aOrigin, const std::string& aStream) {
            mRecords.emplace(aStream, Record{ aOrigin, until, mWrites, true });
          });
}

// ---- Telling the other instances

// Whoever of them reaches the store writes the records there.
void
StreamRecords::TellPeers()
{
  Json::Value services(Json::objectValue);
  int count = 0;
  for (auto& [stream, record] : mRecords) {
    if (record.mTold || Stored(stream)) {
      continue;
    }
    record.mTold = true;
    services[record.mOrigin.mService][record.mOrigin.mVersion].append(stream);
    if (++count % kStreamsPerMessage == 0) {
      mPeers.SendMessage(kToldMessage, services);
      services = Json::Value(Json::objectValue);
    }
  }
  if (count % kStreamsPerMessage != 0) {
    mPeers.SendMessage(kToldMessage, services);
  }
  if (count > 0) {
    mState.mLog.Line("streams_told").Count("streams", count);
  }
}

void
StreamRecords::OnTold(const Json::Value& aServices)
{
  ForEach(aServices,
          [this](const StreamOrigin& aOrigin, const std::string& aStream) {
            Put(aStream, aOrigin, kAdoptedLife);
            auto found = mRecords.find(aStream);
            if (found != mRecords.end()) {
              found->second.mTold = true;
            }
          });
}

} // namespace caraway
