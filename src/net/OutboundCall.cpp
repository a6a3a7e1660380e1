#include "net/OutboundCall.h"

#include <algorithm>
#include <cstdlib>

namespace caraway {

namespace {

// Assumed when the server doesn't say how long it keeps idle connections.
constexpr Millis kDefaultIdleTimeout{ 2000 };

// Longer answer heads are rejected.
constexpr size_t kMaxHeadBytes = 65536;

// Limit of interim answers (1xx) before the answer.
constexpr int kMaxInterimAnswers = 16;

// Limit of late answers to other requests that precede the expected answer on a
// connection.
constexpr int kMaxForeignAnswers = 2;

// Limit of the bytes of those answers.
constexpr size_t kMaxForeignBytes = 1u << 20;

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

const char*
OutcomeName(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::Complete:
      return "complete";
    case CallOutcome::NotSent:
      return "not_sent";
    case CallOutcome::Interrupted:
      return "interrupted";
    case CallOutcome::GivenUp:
      return "given_up";
    case CallOutcome::Malformed:
      break;
  }
  return "malformed";
}

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
  mChannel = mPool.Take(
    mRequest.mAddress, mRequest.mPeer, mRequest.mIdleShare, mRequest.mIdentity);
  mReused = mChannel != nullptr;
  if (!mReused) {
    mChannel =
      Channel::Connect(mReactor, mRequest.mAddress, mRequest.mConnectLimit);
  }
  Attach();
  mChannel->Carried().Add(mRequest.mIdentity, mReactor.Now());
  mChannel->ClearSent();
  mChannel->SetControl(mRequest.mControl);
  mChannel->Write(mRequest.mHead, mRequest.mBody);
}

void
OutboundCall::Attach()
{
  std::weak_ptr<OutboundCall> weak = weak_from_this();
  Channel::Events events;
  events.mConnected = [weak] {
    auto call = weak.lock();
    if (call && call->mReactor.Now() >= call->mRequest.mSendBy) {
      call->Finish(CallOutcome::NotSent);
    }
  };
  events.mData = [weak] {
    if (auto call = weak.lock()) {
      call->OnData();
    }
  };
  events.mEnd = [weak](ChannelCloseReason aReason) {
    if (auto call = weak.lock()) {
      call->OnEnd(aReason);
    }
  };
  mChannel->SetEvents(std::move(events));
}

void
OutboundCall::OnData()
{
  auto self = shared_from_this();
  ReadInput();
  if (!mFinished) {
    CountKept();
  }
}

void
OutboundCall::CountKept()
{
  size_t kept = mChannel->Input().size() + mBody.size() + mKeptByHandler;
  if (mKeptId == 0 && kept == 0) {
    return;
  }
  if (mKeptId == 0) {
    std::weak_ptr<OutboundCall> weak = weak_from_this();
    mKeptId = mReactor.Kept().Add([weak, &reactor = mReactor] {
      // Later: this may run inside a callback of another call.
      reactor.After(Millis(0), [weak] {
        auto call = weak.lock();
        if (call && !call->mFinished) {
          call->Finish(CallOutcome::GivenUp);
        }
      });
    });
  }
  mReactor.Kept().Set(mKeptId, kept);
}

void
OutboundCall::ReadInput()
{
  while (!mFinished && (mAnswer || ReadHead())) {
    ReadBody();
    if (mAnswer) {
      return; // more of the body is due
    }
  }
}

// Returns false if more bytes are due, or the call is finished.
bool
OutboundCall::ReadFinalHead(HttpHead& aHead)
{
  std::string& input = mChannel->Input();
  while (true) {
    size_t used = 0;
    HeadState state = ReadAnswerHead(input, aHead, used);
    if (state == HeadState::Bad) {
      Reject(HeadFaultName(aHead.mFault));
      return false;
    }
    if (state == HeadState::Partial) {
      if (input.size() > kMaxHeadBytes) {
        Reject("head without end");
      }
      return false;
    }
    if (aHead.mStatus == kSwitchingProtocols) {
      Reject("protocol switched unasked");
      return false;
    }
    if (mInterimAnswers > kMaxInterimAnswers) {
      Reject("interim answers without end");
      return false;
    }
    input.erase(0, used);
    if (!IsInterim(aHead)) {
      return true;
    }
    ++mInterimAnswers;
  }
}

bool
OutboundCall::ReadHead()
{
  HttpHead head;
  if (!ReadFinalHead(head)) {
    return false;
  }
  AnswerOwner owner =
    mEvents.mOwner ? mEvents.mOwner(head, mReused) : AnswerOwner::This;
  mMatches = owner == AnswerOwner::This;
  bool endless = !mMatches && (++mForeignAnswers > kMaxForeignAnswers ||
                               head.mFraming == BodyFraming::UntilClose);
  if (endless || owner == AnswerOwner::Unsure) {
    Reject("answer to another request");
    return false;
  }
  mReader.emplace(head);
  mAnswer = std::move(head);
  if (mAnswer->mFraming == BodyFraming::UntilClose) {
    mChannel->EndOnceDelivered();
  }
  if (mMatches && mEvents.mHead) {
    mEvents.mHead(*mAnswer);
  }
  return !mFinished;
}

void
OutboundCall::ReadBody()
{
  bool good = mReader->Take(mChannel->Input(), mBody);
  if (!mMatches) {
    mForeignBytes += mBody.size();
    good = good && mForeignBytes <= kMaxForeignBytes;
    mBody.clear();
  } else if (!mBody.empty() && mEvents.mBody) {
    mKeptByHandler = mEvents.mBody(mBody);
  }
  if (mFinished) {
    return;
  }
  if (!good) {
    Reject(mMatches ? "body's framing" : "answer to another request");
  } else if (mReader->Done() && mMatches) {
    Finish(CallOutcome::Complete);
  } else if (mReader->Done()) {
    mAnswer.reset();
    mReader.reset();
  }
}

// The input is no answer to this request.
void
OutboundCall::Reject(const char* aWrong)
{
  mWrong = aWrong;
  mPool.LogRejected(mRequest.mAddress, mRequest.mPeer, aWrong);
  Finish(CallOutcome::Malformed);
}

void
OutboundCall::OnEnd(ChannelCloseReason aReason)
{
  auto self = shared_from_this();
  if (mFinished) {
    return;
  }
  if (mAnswer && mMatches && aReason == ChannelCloseReason::Closed &&
      mReader->Close()) {
    Finish(CallOutcome::Complete);
    return;
  }
  bool inOrder = aReason == ChannelCloseReason::Closed;
  mWrong = inOrder ? "connection closed early" : "connection failed";
  Finish(mChannel->Sent() ? CallOutcome::Interrupted : CallOutcome::NotSent);
}

bool
OutboundCall::MayKeep() const
{
  return mChannel->Open() && mAnswer && mAnswer->mKeepAlive &&
         mAnswer->mFraming != BodyFraming::UntilClose && mForeignAnswers == 0 &&
         mChannel->Delivered() && mChannel->Input().empty();
}

void
OutboundCall::Finish(CallOutcome aOutcome)
{
  mFinished = true;
  mReactor.Kept().Remove(mKeptId);
  // A connection is not reused if bytes follow the answer, since they belong to
  // no request, or if the server has not received all of its request.
  if (aOutcome == CallOutcome::Complete && MayKeep()) {
    mPool.Keep(
      mRequest.mAddress, mRequest.mPeer, mChannel, IdleTimeoutOf(*mAnswer));
  } else if (aOutcome == CallOutcome::Complete) {
    mChannel->Close();
  } else {
    // After an orderly close the server may work on, while the request goes on
    // at another one.
    mChannel->Reset();
  }
  Events events = std::move(mEvents);
  if (events.mEnd) {
    events.mEnd(aOutcome);
  }
}

void
OutboundCall::Cancel()
{
  if (!mFinished) {
    mFinished = true;
    mReactor.Kept().Remove(mKeptId);
    // Destroyed later: this may run inside one of the callbacks.
    mReactor.After(Millis(0), [events = std::move(mEvents)] {});
    mEvents = Events();
    if (mChannel) {
      mChannel->Reset();
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
                  Millis aTimeout,
                  std::function<void(BufferedAnswer&)> aDone)
{
  struct PendingCall
  {
    BufferedAnswer mAnswer;
    std::shared_ptr<OutboundCall> mCall;
    std::function<void(BufferedAnswer&)> mDone;
    bool mFinished = false;
  };
  auto pending = std::make_shared<PendingCall>();
  pending->mDone = std::move(aDone);
  auto finish = [pending, &aReactor](CallOutcome aOutcome) {
    if (pending->mFinished) {
      return;
    }
    pending->mFinished = true;
    pending->mAnswer.mOutcome = aOutcome;
    if (aOutcome != CallOutcome::Complete) {
      pending->mAnswer.mStatus = 0;
    }
    pending->mDone(pending->mAnswer);
    // Released later: the call may be running one of its callbacks.
    aReactor.After(Millis(0), [call = std::move(pending->mCall)] {});
  };
  OutboundCall::Events events;
  events.mHead = [pending](const HttpHead& aHead) {
    pending->mAnswer.mStatus = aHead.mStatus;
    pending->mAnswer.mHead = aHead;
  };
  events.mBody = [pending, finish](std::string& aBytes) {
    pending->mAnswer.mBody += aBytes;
    aBytes.clear();
    if (pending->mAnswer.mBody.size() > kMaxBufferedBody && pending->mCall) {
      pending->mCall->Cancel();
      finish(CallOutcome::Malformed);
    }
    return pending->mAnswer.mBody.size();
  };
  events.mEnd = finish;
  pending->mCall = OutboundCall::Start(
    aReactor, aPool, std::move(aRequest), std::move(events));
  std::weak_ptr<PendingCall> weak = pending;
  aReactor.After(aTimeout, [weak, finish] {
    auto alive = weak.lock();
    if (alive && !alive->mFinished) {
      bool sent = alive->mCall && alive->mCall->Sent();
      if (alive->mCall) {
        alive->mCall->Cancel();
      }
      finish(sent ? CallOutcome::Interrupted : CallOutcome::NotSent);
    }
  });
  return pending->mCall;
}

} // namespace caraway
