#include "intake/InboundConnection.h"

#include <algorithm>
#include <cstdio>

namespace caraway {

namespace {

// A connection with more unsent bytes of a stream is closed: a few slow readers
// would otherwise fill the instance's memory.
constexpr size_t kMaxUnsentBytes = 4u << 20;

// A larger body isn't copied behind its head, which costs one send more.
constexpr size_t kMaxJoinedBytes = 16384;

// Bytes that are kept of requests behind the one that is being answered, where
// the limits of a request are lower.
constexpr size_t kMinPipelinedBytes = 64u << 10;

} // namespace

const char*
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

InboundConnection::InboundConnection(Reactor& aReactor,
                                     RequestAccount& aAccount,
                                     InboundHandler& aHandler)
  : mReactor(aReactor)
  , mAccount(aAccount)
  , mHandler(aHandler)
  , mLimits(aHandler.Limits())
  , mAccepted(aReactor.Now())
  , mAcceptLag(aReactor.Lag())
  , mLastAnswerAt(mAccepted)
{
}

InboundConnection::~InboundConnection()
{
  StopCounting();
}

std::shared_ptr<InboundConnection>
InboundConnection::Start(Reactor& aReactor,
                         RequestAccount& aAccount,
                         const Poco::Net::StreamSocket& aSocket,
                         InboundHandler& aHandler)
{
  std::shared_ptr<InboundConnection> conn(
    new InboundConnection(aReactor, aAccount, aHandler));
  conn->mChannel = Channel::Accepted(aReactor, aSocket);
  Channel::Events events;
  // The channel owns the connection until it closes.
  events.mData = [conn] { conn->OnData(); };
  events.mEnd = [conn](ChannelCloseReason) { conn->OnEnd(); };
  events.mDropped = [&aHandler](size_t aBytes) {
    aHandler.OnInputDiscarded(aBytes);
  };
  conn->mChannel->SetEvents(std::move(events));
  conn->StartCounting();
  return conn;
}

void
InboundConnection::OnData()
{
  mUnread = 0;
  if (!mBusy) {
    ReadMore();
    return;
  }
  // More than one request of the largest size isn't kept. It is read all the
  // same: a disconnect behind it would go unnoticed, and the server work on.
  size_t most = std::max(kMinPipelinedBytes, Limits().mHeadBytes + BodyLimit());
  if (mDropping || mChannel->Input().size() > most) {
    DropPipelined();
  }
  CountHeld();
}

// The request that runs is answered, and the connection ends; those behind it
// weren't read.
void
InboundConnection::DropPipelined()
{
  mDropping = true;
  mDropped += mChannel->Input().size();
  std::string().swap(mChannel->Input());
}

void
InboundConnection::ReadMore()
{
  ReadNext();
  if (Receiving()) {
    CountHeld();
  }
}

const CallerLimits&
InboundConnection::Limits()
{
  mLimits.Widen(mHandler.Limits());
  return mLimits;
}

void
InboundConnection::OnEnd()
{
  StopCounting();
  if (mBusy) {
    mBusy = false;
    mHandler.OnDisconnected(*this);
  }
}

// How long the last bytes may have waited to be read. A connection is read one
// pass after it was accepted: its first request may have come before that.
Millis
InboundConnection::ArrivalLag() const
{
  Millis lag = mReactor.Lag();
  if (mRequests > 0 || mAcceptLag < kMaxLag) {
    return lag;
  }
  auto open = std::chrono::duration_cast<Millis>(mReactor.Now() - mAccepted);
  return std::max(lag, mAcceptLag + open);
}

void
InboundConnection::ReadNext()
{
  auto self = shared_from_this();
  if (!mReader && !ReadHead()) {
    return;
  }
  if (!ReadBody()) {
    return;
  }
  mAccount.Progress(mHolder, SIZE_MAX, mReactor.Now());
  if (!CountHeld()) {
    return;
  }
  mReader.reset();
  // While the loop is held up, requests wait in their sockets, and their
  // callers' deadlines run.
  Millis lag = ArrivalLag();
  mRequest.mWaited =
    lag < kMaxLag ? Millis(0) : std::min(mChannel->SinceLastArrival(), lag);
  mReadTime =
    std::chrono::duration_cast<Millis>(mReactor.Now() - mReadStartedAt);
  mReadStartedAt = TimePoint();
  mBusy = true;
  ++mRequests;
  mCallerKeepsAlive = mRequest.mHead.mKeepAlive;
  mBodyBytes = mRequest.mBody.capacity();
  CountHeld();
  mHandler.OnRequest(self, mRequest);
}

size_t
InboundConnection::BodyLimit()
{
  return std::min(Limits().mBodyBytes, mAccount.MostForOne());
}

bool
InboundConnection::ReadHead()
{
  std::string& input = mChannel->Input();
  if (input.empty()) {
    return false;
  }
  if (mReadStartedAt == TimePoint()) {
    mReadStartedAt = mReactor.Now();
  }
  size_t used = 0;
  const CallerLimits& limits = Limits();
  HeadState state = ReadRequestHead(input, mRequest.mHead, used);
  if (state == HeadState::Bad) {
    Reject(400, "head");
    return false;
  }
  if (state == HeadState::Partial ? input.size() > limits.mHeadBytes
                                  : used > limits.mHeadBytes) {
    Reject(431, "request head exceeds the size limit");
    return false;
  }
  if (state == HeadState::Partial) {
    return false;
  }
  if (mRequest.mHead.mFraming == BodyFraming::Length &&
      mRequest.mHead.mLength > BodyLimit()) {
    Reject(413, "request body exceeds the size limit");
    return false;
  }
  input.erase(0, used);
  mHeadBytes = used;
  mRequest.mBody.clear();
  mReader.emplace(mRequest.mHead);
  const std::string* expect = mRequest.mHead.Find("Expect");
  if (expect && EqualsIgnoreCase(*expect, "100-continue") && input.empty()) {
    mChannel->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

bool
InboundConnection::ReadBody()
{
  mReader->SetLimit(BodyLimit());
  if (!mReader->Take(mChannel->Input(), mRequest.mBody)) {
    bool tooLarge = mReader->TooLarge();
    Reject(tooLarge ? 413 : 400,
           tooLarge ? "request body exceeds the size limit" : "body");
    return false;
  }
  return mReader->Done();
}

void
InboundConnection::Reject(int aStatus,
                          const char* aWhy,
                          ConnectionCloseReason aReason)
{
  mHandler.OnRequestRejected(aStatus, aWhy);
  mReader.reset();
  std::string().swap(mRequest.mBody);
  mBusy = true;
  mCloseReason = aReason;
  Answer(aStatus, {}, "", false);
}

std::string
InboundConnection::StatusLine(int aStatus) const
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " " + ReasonPhrase(aStatus);
}

void
InboundConnection::Answer(int aStatus,
                          std::vector<HttpField> aFields,
                          std::string_view aBody,
                          bool aKeep)
{
  bool keep = aKeep && mCallerKeepsAlive && !mHandler.Leaving() && !mDropping;
  aFields.push_back({ "Content-Length", std::to_string(aBody.size()) });
  if (!keep) {
    aFields.push_back({ "Connection", "close" });
  }
  std::string answer = WriteHead(StatusLine(aStatus), aFields);
  bool withBody = mRequest.mHead.mMethod != "HEAD";
  if (withBody && aBody.size() <= kMaxJoinedBytes) {
    answer += aBody;
  }
  mChannel->Write(answer);
  if (withBody && aBody.size() > kMaxJoinedBytes) {
    mChannel->Write(aBody);
  }
  AfterAnswer(keep);
}

void
InboundConnection::AfterAnswer(bool aKeep)
{
  mBusy = false;
  mStreaming = false;
  mLastAnswerAt = mReactor.Now();
  mHeadBytes = 0;
  mBodyBytes = 0;
  std::string().swap(mRequest.mBody);
  mAccount.Progress(mHolder, SIZE_MAX, mLastAnswerAt);
  if (!aKeep || mDropping) {
    mClosing = true;
    NotifyClosing(mCloseReason);
    mChannel->Finish();
    CountHeld();
    return;
  }
  mChannel->SetReading(true);
  CountHeld();
  if (mChannel->Input().empty()) {
    mLimits = mHandler.Limits();
  } else {
    // The next request has arrived already. It is read in a later pass of the
    // event loop, so that a caller that pipelines many doesn't block the
    // thread.
    std::weak_ptr<InboundConnection> weak = weak_from_this();
    mReactor.After(Millis(0), [weak] {
      auto conn = weak.lock();
      if (conn && conn->Open() && !conn->mBusy && !conn->mClosing) {
        conn->ReadMore();
      }
    });
  }
}

void
InboundConnection::BeginStream(int aStatus, std::vector<HttpField> aFields)
{
  aFields.push_back({ "Transfer-Encoding", "chunked" });
  if (!mCallerKeepsAlive || mHandler.Leaving() || mDropping) {
    mCallerKeepsAlive = false;
    aFields.push_back({ "Connection", "close" });
  }
  mStreaming = true;
  mChannel->Write(WriteHead(StatusLine(aStatus), aFields));
}

void
InboundConnection::StreamChunk(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return; // an empty chunk would end the body
  }
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", aBytes.size());
  std::string chunk = size;
  chunk.append(aBytes);
  chunk += "\r\n";
  mChannel->Write(chunk);
  if (mChannel->QueuedBytes() > kMaxUnsentBytes) {
    bool wasBusy = mBusy;
    Abort(ConnectionCloseReason::SlowReader);
    if (wasBusy) {
      mHandler.OnDisconnected(*this);
    }
  }
}

void
InboundConnection::EndStream()
{
  mChannel->Write("0\r\n\r\n");
  AfterAnswer(mCallerKeepsAlive);
}

void
InboundConnection::Abort(ConnectionCloseReason aReason)
{
  if (Open()) {
    NotifyClosing(aReason);
  }
  mBusy = false;
  StopCounting();
  mChannel->Close();
}

void
InboundConnection::NotifyClosing(ConnectionCloseReason aReason)
{
  TimePoint now = mReactor.Now();
  ConnectionClose close;
  close.mReason = aReason;
  close.mRequests = mRequests;
  close.mBusy = mBusy;
  close.mUnread = mChannel->Input().size() + mDropped;
  close.mAge = std::chrono::duration_cast<Millis>(now - mAccepted);
  close.mSinceLastAnswer =
    std::chrono::duration_cast<Millis>(now - mLastAnswerAt);
  close.mReadTime = mReadTime;
  close.mIdleLimit = mLimits.mIdle;
  mHandler.OnConnectionClosing(*this, close);
}

bool
InboundConnection::Idle() const
{
  return !mBusy && !mReader && mChannel->Input().empty() &&
         mChannel->QueuedBytes() == 0;
}

void
InboundConnection::CloseIfIdle(ConnectionCloseReason aReason)
{
  if (!Open() || mClosing || !Idle()) {
    return;
  }
  // A request in the socket's buffer would be lost in a connection reset.
  mChannel->ReadAvailable();
  if (Open() && !mClosing && Idle()) {
    mClosing = true;
    NotifyClosing(aReason);
    mChannel->FinishWithoutReading();
  }
}

void
InboundConnection::RejectPartialRequest()
{
  if (!Open() || mClosing || mBusy) {
    return;
  }
  mChannel->ReadAvailable(); // the request may be complete now
  bool partial = mReader || !mChannel->Input().empty();
  if (Open() && !mClosing && !mBusy && partial) {
    mHandler.OnRequestRejected(503, "instance exits");
    RefuseUnread(ConnectionCloseReason::InstanceExit);
  }
}

void
InboundConnection::ReadArrived()
{
  auto self = shared_from_this();
  if (Open() && !mClosing) {
    mChannel->ReadAvailable();
    mChannel->CloseIfPeerClosed();
  }
}

void
InboundConnection::EnforceTimeouts(TimePoint aNow)
{
  mChannel->CloseIfPeerClosed();
  if (mBusy || !Open()) {
    return;
  }
  const CallerLimits& limits = Limits();
  if (mReader || !mChannel->Input().empty()) {
    Millis timeLimit = mReader ? limits.mIdle : limits.mHeadTime;
    if (mReadStartedAt != TimePoint() && aNow - mReadStartedAt > timeLimit) {
      Reject(408,
             mReader ? "request body not received in time"
                     : "request head not received in time");
    }
  } else if (aNow - mLastAnswerAt > limits.mIdle) {
    CloseIfIdle(ConnectionCloseReason::IdleTimeout);
  }
}

} // namespace caraway
