#include "crash/RequestEndReports.h"

#include <algorithm>

#include "platform/JsonReading.h"

namespace caraway {

namespace {

constexpr char kEndsMessage[] = "runs_ended";
constexpr char kServedMessage[] = "requests_served";
constexpr char kAliveMessage[] = "server_alive";
constexpr char kHeartbeatField[] = "runs_ended";
constexpr char kKnownField[] = "ends_known";

// Some datagrams are lost. The second one arrives before the caller, who is
// told of the failure kMinHold later, can send its next attempt.
constexpr Millis kRepeats[] = { Millis(4), Millis(20) };

// Fit into a datagram.
constexpr size_t kEndsPerMessage = 100;
constexpr size_t kEndsPerHeartbeat = 24;

constexpr Millis kSweepInterval{ 1000 };

} // namespace

RequestEndReports::RequestEndReports(EntryState& aState,
                                     StoreClient& aStore,
                                     Peers& aPeers)
  : mState(aState)
  , mStore(aStore)
  , mPeers(aPeers)
  , mWriteBudget(1, 1, aState.Now())
{
  mWriteBudget.Fill(1, aState.Now());
}

void
RequestEndReports::Start()
{
  mPeers.OnMessage(kEndsMessage, [this](const Json::Value& aMessage) {
    ReadEnds(aMessage, Millis(0));
  });
  mPeers.OnMessage(kServedMessage, [this](const Json::Value& aMessage) {
    OnServedMessage(aMessage);
  });
  mPeers.OnMessage(kAliveMessage, [this](const Json::Value& aMessage) {
    OnAliveMessage(aMessage);
  });
  mState.mReactor.Every(kSweepInterval,
                        [this] { mEnds.ForgetOld(mState.Now()); });
  constexpr Millis kFirstReadTimeout{ 1000 };
  mState.mReactor.After(kFirstReadTimeout, [this] { mKnown = true; });
  ReadPage("");
}

// ---- Messages

// Times are ages in milliseconds, as the clocks of instances differ.
Json::Value
RequestEndReports::ToJson(const std::vector<RunEnd>& aEnds) const
{
  Json::Value json(Json::arrayValue);
  for (const RunEnd& end : aEnds) {
    Json::Value one;
    one["request"] = end.mRequest;
    one["life"] = end.mLife;
    one["sent"] = Json::Int64(mState.AgeOf(end.mSentAt).count());
    one["ended"] = Json::Int64(mState.AgeOf(end.mEndedAt).count());
    one["before"] = end.mBefore;
    json.append(std::move(one));
  }
  return json;
}

// aAge: time since aEnds was written. What can't be read is left out.
void
RequestEndReports::ReadEnds(const Json::Value& aEnds, Millis aAge)
{
  if (!aEnds.isArray()) {
    return;
  }
  TimePoint now = mState.Now();
  for (const Json::Value& one : aEnds) {
    auto request = wire::Text(one, "request");
    auto life = wire::Text(one, "life");
    if (!request || !life || request->empty()) {
      continue;
    }
    RunEnd end;
    end.mRequest = *request;
    end.mLife = *life;
    end.mSentAt = now - aAge - wire::Duration(one, "sent", Millis(0));
    end.mEndedAt = now - aAge - wire::Duration(one, "ended", Millis(0));
    end.mBefore = static_cast<int>(
      std::clamp(wire::Number(one, "before").value_or(0), 0.0, 100.0));
    mEnds.OnEnd(end, now);
  }
}

void
RequestEndReports::OnEnd(const RunEnd& aEnd)
{
  if (!mEnds.OnEnd(aEnd, mState.Now())) {
    return;
  }
  mOwn.emplace(aEnd.mRequest, aEnd.mLife);
  if (mToTell.empty()) {
    mState.mReactor.After(Millis(0), [this] { Tell(); });
  }
  mToTell.push_back(aEnd);
  WriteSoon();
}

// All runs of a server end in one pass of the event loop.
void
RequestEndReports::Tell()
{
  std::vector<RunEnd> ends = std::move(mToTell);
  mToTell.clear();
  for (size_t at = 0; at < ends.size(); at += kEndsPerMessage) {
    auto first = ends.begin() + static_cast<std::ptrdiff_t>(at);
    auto count = std::min(kEndsPerMessage, ends.size() - at);
    std::vector<RunEnd> some(first, first + static_cast<std::ptrdiff_t>(count));
    mPeers.SendMessage(kEndsMessage, ToJson(some));
    for (Millis delay : kRepeats) {
      mState.mReactor.After(delay, [this, some] {
        mPeers.SendMessage(kEndsMessage, ToJson(some));
      });
    }
  }
}

void
RequestEndReports::OnServed(const std::string& aRequest)
{
  if (!mEnds.OnServed(aRequest, mState.Now())) {
    return;
  }
  mState.mLog.Line("request_cleared").Text("request", aRequest);
  Json::Value message(Json::arrayValue);
  message.append(aRequest);
  mPeers.SendMessage(kServedMessage, message);
}

void
RequestEndReports::OnServedMessage(const Json::Value& aMessage)
{
  if (!aMessage.isArray()) {
    return;
  }
  for (const Json::Value& request : aMessage) {
    if (request.isString()) {
      mEnds.OnServed(request.asString(), mState.Now());
    }
  }
}

void
RequestEndReports::OnBytes(const std::string& aLife, TimePoint aSentAt)
{
  // While the loop is held up, bytes from before a server's end are read after
  // it.
  if (mEnds.Empty() || mState.mReactor.Lag() >= kMaxLag ||
      !mEnds.OnBytes(aLife, aSentAt, mState.Now())) {
    return;
  }
  Json::Value message;
  message["life"] = aLife;
  mPeers.SendMessage(kAliveMessage, message);
}

void
RequestEndReports::OnAliveMessage(const Json::Value& aMessage)
{
  if (auto life = wire::Text(aMessage, "life")) {
    mEnds.OnAlive(*life, mState.Now());
  }
}

void
RequestEndReports::FillHeartbeat(Json::Value& aHeartbeat) const
{
  aHeartbeat[kKnownField] = mKnown;
  if (!mEnds.Empty()) {
    aHeartbeat[kHeartbeatField] = ToJson(mEnds.Latest(kEndsPerHeartbeat));
  }
}

void
RequestEndReports::ReadHeartbeat(const Json::Value& aHeartbeat)
{
  // The sender has what is stored. One that has just started as well, after a
  // kill of all, may not.
  mKnown = mKnown || wire::Flag(aHeartbeat, kKnownField).value_or(false);
  ReadEnds(wire::Field(aHeartbeat, kHeartbeatField), Millis(0));
}

// ---- Operators

bool
RequestEndReports::Lift(const std::string& aRequest)
{
  bool refused = mEnds.RefusedUntil(aRequest).has_value();
  OnServed(aRequest);
  return refused;
}

} // namespace caraway
