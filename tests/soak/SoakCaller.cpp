#include "soak/SoakCaller.h"

#include "platform/WireNames.h"

namespace caraway {

namespace {

// Deadline of a request, as sent to the instance.
constexpr Millis kDeadline{ 12000 };

// A complete answer must arrive at most this long after the deadline.
constexpr Millis kOverdue{ 1000 };

int
CompleteEvents(const std::string& aBody)
{
  int count = 0;
  size_t at = aBody.find("\n\n");
  while (at != std::string::npos) {
    ++count;
    at = aBody.find("\n\n", at + 2);
  }
  return count;
}

const char*
PathOf(SoakKind aKind)
{
  switch (aKind) {
    case SoakKind::Order:
      return "/order/x";
    case SoakKind::Read:
      return "/safe/x";
    case SoakKind::Stream:
      return "/stream/stream";
    case SoakKind::Resume:
      return "/resume/stream";
  }
  return "";
}

} // namespace

SoakCaller::SoakCaller(SoakContext& aContext, std::string aTenant)
  : mContext(aContext)
  , mTenant(std::move(aTenant))
{
}

void
SoakCaller::SendAfter(Millis aDelay)
{
  std::weak_ptr<SoakCaller> weak = weak_from_this();
  mContext.TestFleet().mReactor.After(aDelay, [weak] {
    auto self = weak.lock();
    if (self && !self->mContext.Ending() && !self->mCall) {
      self->Send();
    }
  });
}

void
SoakCaller::Connect(size_t aInstance)
{
  mInstance = aInstance;
  mRequestsOnConnection = 0;
  EntryTestFleet& testFleet = mContext.TestFleet();
  mChannel = Channel::Connect(
    testFleet.mReactor, testFleet.CallerAddress(aInstance), Seconds(1));
  std::weak_ptr<SoakCaller> weak = weak_from_this();
  Channel::Events events;
  events.mConnected = [weak] {
    auto self = weak.lock();
    if (self && self->mCall) {
      self->mCall->mConnected = true;
    }
  };
  events.mData = [weak] {
    if (auto self = weak.lock()) {
      self->OnData();
    }
  };
  events.mEnd = [weak](ChannelCloseReason) {
    if (auto self = weak.lock()) {
      self->OnEnd();
    }
  };
  mChannel->SetEvents(std::move(events));
}

std::string
SoakCaller::RequestTextOf(const SoakCall& aCall)
{
  std::vector<HttpField> fields = {
    { wire::kAuthorization, "Bearer key-" + mTenant },
    { wire::kDeadline, std::to_string(kDeadline.count()) }
  };
  if (!aCall.mModel.empty()) {
    fields.push_back({ wire::kModel, aCall.mModel });
    fields.push_back({ wire::kTokens, "20,30" });
    // The first two are shared with the requests that crash servers.
    fields.push_back({ wire::kPromptParts,
                       "f1:5," + mTenant + ":5,own-" + aCall.mId + ":10" });
  }
  if (!aCall.mResumes.empty()) {
    fields.push_back({ wire::kResumes, aCall.mResumes });
    fields.push_back({ wire::kLastEvent, std::to_string(aCall.mReceived) });
  }
  return mContext.TestFleet().RequestText(
    PathOf(aCall.mKind), aCall.mId, fields);
}

void
SoakCaller::FillNew(SoakCall& aCall)
{
  aCall.mKind = static_cast<SoakKind>(
    std::uniform_int_distribution<int>(0, 3)(mContext.Random()));
  if (aCall.mKind == SoakKind::Stream || aCall.mKind == SoakKind::Resume) {
    std::uniform_int_distribution<int> model(0, 5);
    aCall.mModel = "m" + std::to_string(model(mContext.Random()));
  }
}

// The request goes on with the stream that broke off, if one did.
bool
SoakCaller::FillResumption(SoakCall& aCall)
{
  const SoakCall* broken = mBroken;
  mBroken = nullptr;
  if (!broken) {
    return false;
  }
  aCall.mKind = SoakKind::Resume;
  aCall.mModel = broken->mModel;
  aCall.mResumes = broken->mResumes.empty() ? broken->mId : broken->mResumes;
  aCall.mReceived = broken->mReceived + CompleteEvents(broken->mBody);
  return true;
}

void
SoakCaller::Send()
{
  bool reuses = mChannel && mChannel->Open();
  std::optional<size_t> instance =
    reuses ? std::optional<size_t>(mInstance) : mContext.Pick();
  if (!instance) {
    SendAfter(Millis(200));
    return;
  }
  SoakCall& call = mContext.NewCall();
  call.mTenant = mTenant;
  call.mInstance = *instance;
  if (!FillResumption(call)) {
    FillNew(call);
  }
  call.mSent = mContext.TestFleet().mClock.Now();
  if (!reuses) {
    Connect(*instance);
  }
  call.mConnected = reuses;
  call.mRequestsOnConnection = mRequestsOnConnection++;
  mCall = &call;
  mChannel->Write(RequestTextOf(call));
  std::weak_ptr<SoakCaller> weak = weak_from_this();
  mContext.TestFleet().mReactor.After(kDeadline + kOverdue,
                                      [weak, sent = &call] {
                                        if (auto self = weak.lock()) {
                                          self->OnTimeout(sent);
                                        }
                                      });
}

void
SoakCaller::OnData()
{
  std::string& input = mChannel->Input();
  if (!mCall) {
    return; // stays in the buffer and makes the next call's answer invalid
  }
  if (!mHead) {
    HttpHead head;
    size_t used = 0;
    if (ReadAnswerHead(input, head, used) != HeadState::Complete) {
      return;
    }
    input.erase(0, used);
    mReader.emplace(head);
    mHead = std::move(head);
    mCall->mStatus = mHead->mStatus;
    if (const std::string* after = mHead->Find(wire::kRetryAfter)) {
      mCall->mRetryAfter =
        Millis(static_cast<int64_t>(std::stod(*after) * 1000));
    }
  }
  if (mReader->Take(input, mCall->mBody) && mReader->Done()) {
    mCall->mComplete = true;
    Finish(*mCall, mHead->mKeepAlive);
  }
}

void
SoakCaller::Finish(SoakCall& aCall, bool aKeep)
{
  aCall.mEnded = mContext.TestFleet().mClock.Now();
  bool resumable = aCall.mKind == SoakKind::Resume && !aCall.mComplete;
  mBroken = resumable && CompleteEvents(aCall.mBody) > 0 ? &aCall : nullptr;
  mCall = nullptr;
  mHead.reset();
  mReader.reset();
  if (!aKeep) {
    mChannel->Close();
  }
  // A third of the draws are negative and send at once, so that many requests
  // are sent at the moment a stream ends.
  std::uniform_int_distribution<int> wait(-400, 800);
  SendAfter(Millis(std::max(0, wait(mContext.Random()))));
}

void
SoakCaller::OnEnd()
{
  if (mCall) {
    Finish(*mCall, false);
  }
}

void
SoakCaller::OnTimeout(const SoakCall* aCall)
{
  if (mCall == aCall) {
    mCall->mCallerLeft = true;
    Finish(*mCall, false);
  }
}

} // namespace caraway
