// OutboundCall.h: one request to one server, answered piece by piece.
#ifndef caraway_net_OutboundCall_h
#define caraway_net_OutboundCall_h

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/BodyReader.h"
#include "net/ChannelPool.h"
#include "net/HttpHead.h"

namespace caraway {

enum class CallOutcome
{
  Complete,    // the whole answer was read
  NotSent,     // no byte of the request left: it can't have run
  Interrupted, // ended before the answer did; it may have run
  Malformed,   // what came isn't an answer; it may have run
};

struct OutboundRequest
{
  std::string mAddress;
  std::string mPeer; // the server's identity, for the pool; "" = any
  std::string mHead; // first line to blank line
  std::string mBody;
  Millis mConnectLimit{ 700 }; // longest time to make a connection
  double mIdleShare = 0.6;     // see ChannelPool::Take
  bool mFresh = false;         // never on a kept connection
};

class OutboundCall : public std::enable_shared_from_this<OutboundCall>
{
public:
  struct Events
  {
    // False for an answer that belongs to another request: it is read and
    // dropped, and the next one is waited for.
    std::function<bool(const HttpHead&)> mMatchesRequest;
    std::function<void(const HttpHead&)> mHead;
    std::function<void(std::string&)> mBody; // takes what it wants
    std::function<void(CallOutcome)> mEnd;   // once
  };

  static std::shared_ptr<OutboundCall> Start(Reactor& aReactor,
                                             ChannelPool& aPool,
                                             OutboundRequest aRequest,
                                             Events aEvents);
  ~OutboundCall();
  // Gives up: the connection is closed, which tells the server to stop. No
  // event follows.
  void Cancel();
  bool Sent() const;
  bool Reused() const { return mReused; }

private:
  OutboundCall(Reactor& aReactor, ChannelPool& aPool, OutboundRequest aRequest);
  void Open();
  void Attach();
  void OnData();
  void OnEnd(ChannelCloseReason aReason);
  bool ReadHead();
  void ReadBody();
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
  int mForeignAnswers = 0;
  bool mReused = false;
  bool mFinished = false;
};

// A whole short answer, or none: status 0.
struct BufferedAnswer
{
  int mStatus = 0;
  HttpHead mHead;
  std::string mBody;
  CallOutcome mEnd = CallOutcome::Interrupted;
};

// Runs aRequest to its end within aMost and hands over the whole answer.
// Once, always. The returned call may be cancelled.
std::shared_ptr<OutboundCall>
StartBufferedCall(Reactor& aReactor,
                  ChannelPool& aPool,
                  OutboundRequest aRequest,
                  Millis aTimeout,
                  std::function<void(BufferedAnswer&)> aDone);

} // namespace caraway

#endif
