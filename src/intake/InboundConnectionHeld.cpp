// InboundConnectionHeld.cpp: what a connection holds of requests and answers,
// and what it gives up so that others have room.
#include "intake/InboundConnection.h"

#include "platform/RequestHead.h"

namespace caraway {

namespace {

// After it a request that was refused for want of memory may return: those that
// stand still are refused after as long.
constexpr Millis kRetryAfterMemory{ 1000 };

} // namespace

void
InboundConnection::StartCounting()
{
  std::weak_ptr<InboundConnection> weak = weak_from_this();
  mHolder = mAccount.Add(mReactor.Now(), [weak] {
    if (auto conn = weak.lock()) {
      conn->GiveUpHeld();
    }
  });
}

void
InboundConnection::StopCounting()
{
  mAccount.Remove(mHolder);
  mHolder = 0;
}

// A part of a request has arrived, and none is being answered.
bool
InboundConnection::Receiving() const
{
  return Open() && !mBusy && !mClosing &&
         (mReader || !mChannel->Input().empty());
}

HeldBytes
InboundConnection::Held() const
{
  size_t channel = mChannel->HeldBytes();
  HeldBytes held;
  held.mBytes = channel + mUnread + mHeadBytes + mBodyBytes;
  held.mReleasable = channel;
  if (Receiving()) {
    held.mBytes += mRequest.mBody.capacity();
    held.mReleasable = held.mBytes;
    held.mRule =
      mHandler.AcceptedElsewhere() ? GiveUpRule::Last : GiveUpRule::Always;
  } else if (mBusy && !mChannel->Input().empty()) {
    held.mRule = GiveUpRule::Always; // of what is behind the request that runs
  } else if (mChannel->QueuedBytes() > 0) {
    // Few bytes wait for a caller that reads.
    bool many = mChannel->QueuedBytes() > RequestAccount::kLargeBytes;
    held.mRule = many ? GiveUpRule::Always : GiveUpRule::IfStandsStill;
  }
  return held;
}

bool
InboundConnection::CountUnread()
{
  mUnread = mChannel->UnreadBytes();
  return CountHeld();
}

bool
InboundConnection::CountHeld()
{
  if (mHolder == 0 || !Open()) {
    return Open();
  }
  TimePoint now = mReactor.Now();
  uint64_t moved = mChannel->Moved();
  mAccount.Progress(mHolder, static_cast<size_t>(moved - mMoved), now);
  mMoved = moved;
  return mAccount.Set(mHolder, Held(), now);
}

// Called by the account, which has removed the holder.
void
InboundConnection::GiveUpHeld()
{
  mHolder = 0;
  if (!Open()) {
    return;
  }
  if (Receiving()) {
    RefuseUnread(ConnectionCloseReason::OutOfMemory);
    return;
  }
  if (mBusy && !mChannel->Input().empty()) {
    DropPipelined();
    StartCounting();
    CountHeld();
    return;
  }
  bool wasBusy = mBusy;
  Abort(ConnectionCloseReason::SlowReader);
  if (wasBusy) {
    mHandler.OnDisconnected(*this);
  }
}

bool
InboundConnection::StandsStill() const
{
  bool unused = mRequests == 0 && !mBusy && !mClosing && Open();
  return (unused || Receiving()) &&
         mAccount.StandsStill(mHolder, mReactor.Now());
}

void
InboundConnection::GiveUpPlace()
{
  if (Receiving()) {
    RefuseUnread(ConnectionCloseReason::OutOfDescriptors);
  } else {
    CloseIfIdle(ConnectionCloseReason::OutOfDescriptors);
  }
}

// Refuses a request that was not read completely, so that it can't have run.
void
InboundConnection::RefuseUnread(ConnectionCloseReason aReason)
{
  std::vector<HttpField> fields = mHandler.RefusalFields();
  if (mReader) {
    if (const std::string* id = wire::FindRequestId(mRequest.mHead)) {
      fields.push_back(wire::RequestIdField(*id));
    }
  }
  fields.push_back(wire::RetryAfterField(kRetryAfterMemory));
  mReader.reset();
  std::string().swap(mRequest.mBody);
  mBusy = true;
  mCloseReason = aReason;
  Answer(503, std::move(fields), "", false);
}

} // namespace caraway
