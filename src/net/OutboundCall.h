// OutboundCall.h: one request to one server, with the answer as it arrives.
#ifndef caraway_net_OutboundCall_h
#define caraway_net_OutboundCall_h

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "decide/RunProof.h"
#include "net/BodyReader.h"
#include "net/ChannelPool.h"
#include "net/HttpHead.h"

namespace caraway {

enum class CallOutcome
{
  Complete,    // the complete answer was read
  NotSent,     // no byte of the request was sent: it can't have run
  Interrupted, // the connection ended early; it may have run
  Malformed,   // the input is no answer; it may have run
  GivenUp,     // too much was kept of answers; it may have run
};

// "complete", "not_sent", "interrupted", "malformed" or "given_up", as in logs.
const char*
OutcomeName(CallOutcome aOutcome);

struct OutboundRequest
{
  std::string mAddress;
  std::string mPeer;           // the server's identity, for the pool; "" = none
  std::string mHead;           // request line to blank line
  SharedBytes mBody;           // null = none
  Millis mConnectLimit{ 700 }; // connect timeout
  // Nothing is sent on a connection that is established later.
  TimePoint mSendBy = TimePoint::max();
  double mIdleShare = 0.6; // aMaxShare of ChannelPool::Take
  RequestIdentity mIdentity;
  bool mControl = false; // see SocketHandler::IsControl
};

class OutboundCall : public std::enable_shared_from_this<OutboundCall>
{
public:
  struct Events
  {
    // An answer to another request is read and discarded, and the next one is
    // waited for. The call ends as malformed if that isn't sure. aUsed: the
    // connection had another request before.
    std::function<AnswerOwner(const HttpHead&, bool aUsed)> mOwner;
    std::function<void(const HttpHead&)> mHead;
    // The handler removes the bytes that it has used. Returns how many bytes it
    // keeps of the answer.
    std::function<size_t(std::string&)> mBody;
    std::function<void(CallOutcome)> mEnd; // once
  };

  static std::shared_ptr<OutboundCall> Start(Reactor& aReactor,
                                             ChannelPool& aPool,
                                             OutboundRequest aRequest,
                                             Events aEvents);
  ~OutboundCall();
  // Resets the connection, which makes the server stop, and keeps a request
  // that is held up from reaching it. No event follows.
  void Cancel();
  bool Sent() const;
  bool Reused() const { return mReused; }
  // What was wrong with the answer or its end, as in logs; "" if nothing was.
  const char* Wrong() const { return mWrong; }
  // See Channel::EstablishedAt().
  TimePoint EstablishedAt() const { return mChannel->EstablishedAt(); }

private:
  OutboundCall(Reactor& aReactor, ChannelPool& aPool, OutboundRequest aRequest);
  void Open();
  void Attach();
  void OnData();
  void ReadInput();
  void CountKept();
  void OnEnd(ChannelCloseReason aReason);
  bool ReadFinalHead(HttpHead& aHead);
  bool ReadHead();
  void ReadBody();
  void Reject(const char* aWrong);
  void Finish(CallOutcome aOutcome);
  bool MayKeep() const;

  Reactor& mReactor;
  ChannelPool& mPool;
  OutboundRequest mRequest;
  Events mEvents;
  std::shared_ptr<Channel> mChannel;
  std::optional<HttpHead> mAnswer;
  std::optional<BodyReader> mReader;
  std::string mBody;
  bool mMatches = true;
  int mInterimAnswers = 0;
  int mForeignAnswers = 0;
  size_t mForeignBytes = 0; // of their bodies
  const char* mWrong = "";
  size_t mKeptByHandler = 0;
  KeptBytes::Id mKeptId = 0; // 0 = nothing was kept yet
  bool mReused = false;
  bool mFinished = false;
};

// Limit of the body of an answer that is kept whole before it is used. A server
// in trouble may send bytes without end, and all calls share the instance's
// memory.
inline constexpr size_t kMaxBufferedBody = 4u << 20;

// A complete answer; status 0 if there is none.
struct BufferedAnswer
{
  int mStatus = 0;
  HttpHead mHead;
  std::string mBody;
  CallOutcome mOutcome = CallOutcome::Interrupted;
};

// Sends aRequest and calls aDone exactly once, with the complete answer or
// after aTimeout at the latest. The returned call may be cancelled.
std::shared_ptr<OutboundCall>
StartBufferedCall(Reactor& aReactor,
                  ChannelPool& aPool,
                  OutboundRequest aRequest,
                  Millis aTimeout,
                  std::function<void(BufferedAnswer&)> aDone);

} // namespace caraway

#endif
