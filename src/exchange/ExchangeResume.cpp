// ExchangeResume.cpp: a resumable stream goes on only at servers of the
// software version that began it. Events of two versions don't fit together,
// and servers don't check which one began a stream.
#include "exchange/Exchange.h"

#include <utility>

#include "exchange/ExchangeTimes.h"
#include "platform/RequestHead.h"

namespace caraway {

bool
Exchange::Resumable() const
{
  return mRoute->mKind == RouteKind::Stream && mRoute->mResumable;
}

// The attempt that began the stream, however often it was resumed.
const std::string&
Exchange::StreamId() const
{
  return mFacts.mResumes.empty() ? mFacts.mId : mFacts.mResumes;
}

// The first choice of a server, once the request is admitted. A stream that the
// caller resumes goes on where it began.
void
Exchange::DispatchFirst()
{
  if (!Resumable() || mFacts.mLastEvent.empty()) {
    Dispatch();
    return;
  }
  if (mRequest.Forwarded()) {
    mVersion = wire::ReadStreamVersion(mRequest.mHead);
  }
  if (mVersion) {
    Dispatch();
    return;
  }
  std::weak_ptr<Exchange> weak = weak_from_this();
  mOrigins.Find({ mFacts.mResumes, mService, mRoute->mTimeout },
                [weak](const StreamLookup& aLookup) {
                  auto exchange = weak.lock();
                  if (exchange && !exchange->mFinished) {
                    exchange->OnOrigin(aLookup);
                  }
                });
}

void
Exchange::OnOrigin(const StreamLookup& aLookup)
{
  const auto& origin = aLookup.mOrigin;
  mState.mLog.Line("stream_resumed")
    .Text("id", mFacts.mId)
    .Text("resumed_attempt", mFacts.mResumes)
    .Text("source", OriginSourceName(aLookup.mSource))
    .Text("service", origin ? origin->mService : "")
    .Text("version", origin ? origin->mVersion : "")
    .Ms("after_ms", mState.AgeOf(mArrived));
  mState.mMetrics.Count("caraway_streams_resumed_total",
                        std::string("source=\"") +
                          OriginSourceName(aLookup.mSource) + "\"");
  if (!origin) {
    Refuse(ErrorKind::NoEndpoint,
           kRetryAfterDefault,
           "the version that began the stream isn't known");
    return;
  }
  // A route that leads to another service by now has no version of the former
  // one to go on at.
  if (origin->mService == mService) {
    mVersion = origin->mVersion;
  }
  Dispatch();
}

// Recorded before the first event arrives, so that its caller seldom waits for
// the store.
void
Exchange::RecordOrigin()
{
  if (Resumable() && mRunVersion) {
    mOrigins.Put(StreamId(), { mService, *mRunVersion }, TimeLeft());
  }
}

// The peer to which a request was forwarded has recorded the stream.
void
Exchange::OnPeerVersion(const HttpHead& aHead)
{
  auto version = wire::ReadStreamVersion(aHead);
  if (version && Resumable()) {
    mRunVersion = version;
    RecordOrigin();
  }
}

// The server has started again with another version since the run was sent, by
// its entry.
bool
Exchange::ServerChangedVersion() const
{
  auto backend = mState.mServers.All().find(mServer);
  return !mForwarding && backend != mState.mServers.All().end() &&
         backend->second.mEntry.mStartTime != mRunStartTime &&
         backend->second.mEntry.mVersion != mRunVersion;
}

// While a service has servers of several versions, the list may still name the
// version of a server's former process when the events of the next one arrive.
bool
Exchange::EntryInDoubt() const
{
  if (mForwarding || mEntryAsked || !mRunVersion) {
    return false;
  }
  const Backend* backend = mState.mServers.Find(mServer);
  return backend &&
         !backend->EntryCovers(mCall->EstablishedAt(),
                               mState.mListFreshness.ConfirmedAt()) &&
         mState.mServers.Versions().HasOther(mService, *mRunVersion);
}

// Holds the first complete events, aBytes of mEvents, back while the server's
// entry is read: once the caller has one of them, the stream's record must name
// the version that it is of. Returns whether they wait.
bool
Exchange::AwaitEntry(size_t aBytes)
{
  if (mAwaitsEntry) {
    mUnsureEvents = aBytes;
    return true;
  }
  if (mUnsureEvents > 0 || !EntryInDoubt()) {
    return false;
  }
  mEntryAsked = true;
  mAwaitsEntry = true;
  mUnsureEvents = aBytes;
  std::weak_ptr<Exchange> weak = weak_from_this();
  auto proceed = [weak, send = mSends] {
    auto exchange = weak.lock();
    if (exchange && !exchange->mFinished && exchange->mSends == send &&
        exchange->mAwaitsEntry) {
      exchange->OnEntryRead();
    }
  };
  mState.mReactor.After(kMaxEntryHold, proceed);
  mFreshnessCheck.ReadServer(mServer, proceed);
  return true;
}

void
Exchange::OnEntryRead()
{
  mAwaitsEntry = false;
  size_t bytes = std::exchange(mUnsureEvents, 0);
  if (!mCompleteUnsure) {
    if (!AwaitFormerEnd(bytes)) {
      OnEvents(bytes);
    }
    return;
  }
  auto call = mCall;
  OnEvents(bytes);
  if (!mFinished && mCall == call) {
    OnCallDone(CallOutcome::Complete);
  }
}

// An instance that stood still reads the last events of a server's former
// process after the entry of the next one, and the end of the connection with
// them. So the first complete events after that entry, aBytes of mEvents, wait
// for that end for a moment. Returns whether they do.
bool
Exchange::AwaitFormerEnd(size_t aBytes)
{
  if (mUnsureEvents == 0 && !ServerChangedVersion()) {
    return false;
  }
  bool waiting = mUnsureEvents > 0;
  mUnsureEvents = aBytes;
  if (waiting) {
    return true;
  }
  std::weak_ptr<Exchange> weak = weak_from_this();
  mState.mReactor.After(kFormerEndTime, [weak, send = mSends] {
    auto exchange = weak.lock();
    if (exchange && !exchange->mFinished && exchange->mSends == send &&
        exchange->mUnsureEvents > 0) {
      exchange->OnEvents(std::exchange(exchange->mUnsureEvents, 0));
    }
  });
  return true;
}

// A server that starts again under its id with another version is known by its
// old entry for a moment. What it still sends once the entry has changed is the
// new one's, whose connections are the only ones left. Returns false if its
// events don't fit the stream and the run was given up.
bool
Exchange::CheckRestart()
{
  const Backend* backend =
    mForwarding ? nullptr : mState.mServers.Find(mServer);
  if (!backend || backend->mEntry.mStartTime == mRunStartTime) {
    return true;
  }
  mRunStartTime = backend->mEntry.mStartTime;
  if (backend->mEntry.mVersion == mRunVersion) {
    return true;
  }
  mState.mLog.Line("stream_server_restarted")
    .Text("id", mFacts.mId)
    .Text("server", mServer)
    .Text("version", backend->mEntry.mVersion)
    .Flag("continues", mContinues);
  if (mContinues) {
    mCall->Cancel();
    OnAnswerLost(CallOutcome::Malformed);
    return false;
  }
  mRunVersion = backend->mEntry.mVersion;
  if (mVersion) {
    mVersion = mRunVersion;
  }
  RecordOrigin();
  return true;
}

// Holds the first complete events, aBytes of mEvents, back until the record of
// the stream is stored: whoever has an event may resume at any instance, and
// this one may be gone by then. Returns false if they may be forwarded.
bool
Exchange::HoldEvents(size_t aBytes)
{
  if (mVersion || mForwarding || mOrigins.Stored(StreamId())) {
    return false;
  }
  bool waiting = mHeldEvents > 0;
  mHeldEvents = aBytes;
  if (waiting) {
    return true;
  }
  std::weak_ptr<Exchange> weak = weak_from_this();
  mOrigins.WhenStored(StreamId(), [weak] {
    auto exchange = weak.lock();
    if (exchange && !exchange->mFinished && exchange->mHeldEvents > 0) {
      exchange->ForwardEvents(exchange->mHeldEvents);
    }
  });
  return true;
}

// Called before the caller gets an event of mServer.
void
Exchange::PinVersion()
{
  if (!mVersion) {
    mVersion = mRunVersion;
  }
}

// A caller whose stream can't go on learns so at once. No retry-after time is
// given: when servers of the version come back, if ever, isn't known.
bool
Exchange::RefuseWithoutVersion()
{
  if (!mVersion ||
      mState.mServers.HasVersion(mService, *mVersion, ExcludedZones())) {
    return false;
  }
  Refuse(ErrorKind::NoEndpoint,
         Millis(0),
         "no server has the version that began the stream");
  return true;
}

} // namespace caraway
