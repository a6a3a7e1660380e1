// InboundConnection.h: one connection that somebody made to this instance.
#ifndef caraway_entry_InboundConnection_h
#define caraway_entry_InboundConnection_h

#include <memory>
#include <optional>
#include <string>

#include "decide/ServingConfig.h"
#include "entry/ConnectionClose.h"
#include "net/BodyReader.h"
#include "net/Channel.h"
#include "net/HttpHead.h"

namespace caraway {

class InboundConnection;

struct InboundRequest
{
  HttpHead mHead;
  std::string mBody;
};

// What the owner of a port does with its requests.
class InboundHandler
{
public:
  virtual ~InboundHandler() = default;
  // Must answer later or now, once.
  virtual void OnRequest(const std::shared_ptr<InboundConnection>& aConn,
                         InboundRequest& aRequest) = 0;
  // The caller closed before its answer was whole.
  virtual void OnDisconnected(InboundConnection& aConn) { (void)aConn; }
  // This instance is about to end the connection; not told when the caller
  // ends it.
  virtual void OnConnectionClosing(const InboundConnection& aConn,
                                   const ConnectionClose& aClose)
  {
    (void)aConn;
    (void)aClose;
  }
  // So many bytes arrived after this instance had ended the connection.
  virtual void OnInputDiscarded(size_t aBytes) { (void)aBytes; }
  // A new connection was closed at once: aOpen are open already.
  virtual void OnConnectionRejected(size_t aOpen) { (void)aOpen; }
  // A request that couldn't be read was answered with aStatus.
  virtual void OnRequestRejected(int aStatus, const char* aWhy)
  {
    (void)aStatus;
    (void)aWhy;
  }
  virtual CallerLimits Limits() const { return CallerLimits(); }
  // The process is ending: connections aren't kept.
  virtual bool Leaving() const { return false; }
};

class InboundConnection : public std::enable_shared_from_this<InboundConnection>
{
public:
  static std::shared_ptr<InboundConnection> Start(
    Reactor& aReactor,
    const Poco::Net::StreamSocket& aSocket,
    InboundHandler& aHandler);

  // A whole answer. aKeep false closes the connection after it.
  void Answer(int aStatus,
              std::vector<HttpField> aFields,
              std::string_view aBody,
              bool aKeep = true);
  // An answer of unknown length: head, pieces, end.
  void BeginStream(int aStatus, std::vector<HttpField> aFields);
  void StreamChunk(std::string_view aBytes);
  void EndStream();
  // Ends the connection so that what was sent can't look complete.
  void Abort(
    ConnectionCloseReason aReason = ConnectionCloseReason::AnswerAborted);

  // Closes it if no request is being read or answered, and none has arrived.
  void CloseIfIdle(ConnectionCloseReason aReason);
  // Refuses the request that is still being read.
  void RejectPartialRequest();
  bool Open() const { return mChannel->Open(); }
  bool Busy() const { return mBusy; }
  bool Idle() const;
  TimePoint LastAnswerAt() const { return mLastAnswerAt; }
  // Kills connections whose caller is too slow or idle; called now and then.
  void EnforceTimeouts(TimePoint aNow);

private:
  InboundConnection(Reactor& aReactor, InboundHandler& aHandler);
  void OnData();
  void OnEnd();
  void ReadNext();
  bool ReadHead();
  bool ReadBody();
  void Reject(
    int aStatus,
    const char* aWhy,
    ConnectionCloseReason aReason = ConnectionCloseReason::InvalidRequest);
  void AfterAnswer(bool aKeep);
  const CallerLimits& Limits();
  void NotifyClosing(ConnectionCloseReason aReason);
  std::string StatusLine(int aStatus) const;

  Reactor& mReactor;
  InboundHandler& mHandler;
  std::shared_ptr<Channel> mChannel;
  std::optional<BodyReader> mReader;
  InboundRequest mRequest;
  bool mBusy = false; // a request is being answered
  bool mStreaming = false;
  bool mClosing = false; // by this instance; what is queued still goes out
  bool mCallerKeepsAlive = true; // the caller wants to go on
  int mRequests = 0;             // read so far
  ConnectionCloseReason mCloseReason =
    ConnectionCloseReason::AnswerWithClose; // of the last answer
  // The widest since the connection was last idle: its caller may go by any
  // that held since then.
  CallerLimits mLimits;
  TimePoint mAccepted{};
  TimePoint mLastAnswerAt{};  // last request ended, or the connection began
  TimePoint mReadStartedAt{}; // first byte of the request being read
  Millis mReadTime{};         // the last request's first byte to its last
};

const char*
ReasonPhrase(int aStatus);

} // namespace caraway

#endif
