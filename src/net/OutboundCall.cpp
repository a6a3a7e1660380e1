#include "net/OutboundCall.h"

#include <algorithm>
#include <cstdlib>

namespace caraway {

namespace {

// Kept when the server doesn't say how long it keeps idle connections.
constexpr Millis kDefaultIdleTimeout{ 2000 };

// An answer head longer than this is no answer.
constexpr size_t kMaxHeadBytes = 65536;

// Late answers to others that may precede ours on one connection.
constexpr int kMaxForeignAnswers = 2;

Millis
IdleTimeoutOf(const HttpHead& aHead)
{
  const std::string* text = aHead.Find("Keep-Alive");
  size_t at = text ? text->find("timeout=") : std::string::npos;
  if (at == std::string::npos) {
    return kDefaultIdleTimeout;
  }
  return Seconds(std::clamp(std::atoi(text->c_str() + at + 8), 0, 3600));
}

} // namespace

OutboundCall::OutboundCall(Reactor& aReactor,
                           ChannelPool& aPool,
                           OutboundRequest aRequest)
  : mReactor(aReactor)
  , mPool(aPool)
  , mRequest(std::move(aRequest))
{
}

OutboundCall::~OutboundCall()
{
  Cancel();
}

std::shared_ptr<OutboundCall>
OutboundCall::Start(Reactor& aReactor,
                    ChannelPool& aPool,
                    OutboundRequest aRequest,
                    Events aEvents)
{
  std::shared_ptr<OutboundCall> call(
    new OutboundCall(aReactor, aPool, std::move(aRequest)));
  call->mEvents = std::move(aEvents);
  call->Open();
  return call;
}

void
OutboundCall::Open()
{
  if (!mRequest.mFresh) {
    mChannel =
      mPool.Take(mRequest.mAddress, mRequest.mPeer, mRequest.mIdleShare);
  }
  mReused = mChannel != nullptr;
  if (!mReused) {
    mChannel =
      Channel::Connect(mReactor, mRequest.mAddress, mRequest.mConnectLimit);
  }
  Attach();
  mChannel->Write(mRequest.mHead + mRequest.mBody);
}

void
OutboundCall::Attach()
{
  std::weak_ptr<OutboundCall> weak = weak_from_this();
  Channel::Events events;
  events.mData = [weak] {
    if (auto call = weak.lock()) {
      call->OnData();
    }
  };
  events.mEnd = [weak](ChannelCloseReason aEnd) {
    if (auto call = weak.lock()) {
      call->OnEnd(aEnd);
    }
  };
  mChannel->Listen(std::move(events));
}

void
OutboundCall::OnData()
{
  auto self = shared_from_this();
  while (!mOver && (mAnswer || ReadHead())) {
    ReadBody();
    if (mAnswer) {
      return; // more of the body is due
    }
  }
}

bool
OutboundCall::ReadHead()
{
  HttpHead head;
  size_t used = 0;
  std::string& input = mChannel->Input();
  HeadState state = ReadAnswerHead(input, head, used);
  if (state == HeadState::Bad ||
      (state == HeadState::Partial && input.size() > kMaxHeadBytes)) {
    Finish(CallOutcome::Malformed);
    return false;
  }
  if (state == HeadState::Partial) {
    return false;
  }
  input.erase(0, used);
  if (head.mStatus < 200) {
    return ReadHead();
  }
  mOurs = !mEvents.mMatchesRequest || mEvents.mMatchesRequest(head);
  if (!mOurs && (++mForeignAnswers > kMaxForeignAnswers ||
                 head.mFraming == BodyFraming::UntilClose)) {
    Finish(CallOutcome::Malformed);
    return false;
  }
  mReader.emplace(head);
  mAnswer = std::move(head);
  if (mOurs && mEvents.mHead) {
    mEvents.mHead(*mAnswer);
  }
  return !mOver;
}

void
OutboundCall::ReadBody()
{
  bool good = mReader->Take(mChannel->Input(), mBody);
  if (!mOurs) {
    mBody.clear();
  } else if (!mBody.empty() && mEvents.mBody) {
    mEvents.mBody(mBody);
  }
  if (mOver) {
    return;
  }
  if (!good) {
    Finish(CallOutcome::Malformed);
  } else if (mReader->Done() && mOurs) {
    Finish(CallOutcome::Whole);
  } else if (mReader->Done()) {
    mAnswer.reset();
    mReader.reset();
  }
}

void
OutboundCall::OnEnd(ChannelCloseReason aEnd)
{
  auto self = shared_from_this();
  if (mOver) {
    return;
  }
  if (mAnswer && mOurs && aEnd == ChannelCloseReason::Closed &&
      mReader->Close()) {
    Finish(CallOutcome::Whole);
    return;
  }
  Finish(mChannel->Sent() ? CallOutcome::Cut : CallOutcome::NotSent);
}

bool
OutboundCall::MayKeep() const
{
  return mChannel->Open() && mAnswer && mAnswer->mKeepAlive &&
         mAnswer->mFraming != BodyFraming::UntilClose && mForeignAnswers == 0 &&
         mChannel->Queued() == 0 && mChannel->Input().empty();
}

void
OutboundCall::Finish(CallOutcome aEnd)
{
  mOver = true;
  // Bytes beyond the answer belong to nobody; such a connection isn't used
  // again, nor one whose request wasn't read to its end.
  if (aEnd == CallOutcome::Whole && MayKeep()) {
    mPool.Keep(
      mRequest.mAddress, mRequest.mPeer, mChannel, IdleTimeoutOf(*mAnswer));
  } else {
    mChannel->Close();
  }
  Events events = std::move(mEvents);
  if (events.mEnd) {
    events.mEnd(aEnd);
  }
}

void
OutboundCall::Cancel()
{
  if (!mOver) {
    mOver = true;
    // Not destroyed here: this may run inside one of them.
    mReactor.After(Millis(0), [events = std::move(mEvents)] {});
    mEvents = Events();
    if (mChannel) {
      mChannel->Close();
    }
  }
}

bool
OutboundCall::Sent() const
{
  return mChannel && mChannel->Sent();
}

std::shared_ptr<OutboundCall>
StartBufferedCall(Reactor& aReactor,
                  ChannelPool& aPool,
                  OutboundRequest aRequest,
                  Millis aMost,
                  std::function<void(BufferedAnswer&)> aDone)
{
  struct Waiting
  {
    BufferedAnswer mAnswer;
    std::shared_ptr<OutboundCall> mCall;
    std::function<void(BufferedAnswer&)> mDone;
    bool mOver = false;
  };
  auto waiting = std::make_shared<Waiting>();
  waiting->mDone = std::move(aDone);
  auto finish = [waiting, &aReactor](CallOutcome aEnd) {
    if (waiting->mOver) {
      return;
    }
    waiting->mOver = true;
    waiting->mAnswer.mEnd = aEnd;
    if (aEnd != CallOutcome::Whole) {
      waiting->mAnswer.mStatus = 0;
    }
    waiting->mDone(waiting->mAnswer);
    // The call may be running its own event: let go of it a turn later.
    aReactor.After(Millis(0), [call = std::move(waiting->mCall)] {});
  };
  OutboundCall::Events events;
  events.mHead = [waiting](const HttpHead& aHead) {
    waiting->mAnswer.mStatus = aHead.mStatus;
    waiting->mAnswer.mHead = aHead;
  };
  events.mBody = [waiting](std::string& aBytes) {
    waiting->mAnswer.mBody += aBytes;
    aBytes.clear();
  };
  events.mEnd = finish;
  waiting->mCall = OutboundCall::Start(
    aReactor, aPool, std::move(aRequest), std::move(events));
  std::weak_ptr<Waiting> weak = waiting;
  aReactor.After(aMost, [weak, finish] {
    auto still = weak.lock();
    if (still && !still->mOver) {
      bool sent = still->mCall && still->mCall->Sent();
      if (still->mCall) {
        still->mCall->Cancel();
      }
      finish(sent ? CallOutcome::Cut : CallOutcome::NotSent);
    }
  });
  return waiting->mCall;
}

} // namespace caraway
