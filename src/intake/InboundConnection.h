// InboundConnection.h: one HTTP connection accepted by this instance.
#ifndef caraway_intake_InboundConnection_h
#define caraway_intake_InboundConnection_h

#include <memory>
#include <optional>
#include <string>

#include "decide/ServingConfig.h"
#include "intake/ConnectionClose.h"
#include "intake/RequestAccount.h"
#include "net/BodyReader.h"
#include "net/Channel.h"
#include "net/HttpHead.h"

namespace caraway {

class InboundConnection;

// Limit of the bytes that the system keeps of a connection until they are read.
inline constexpr size_t kUnreadBytes = 32u << 10;

struct InboundRequest
{
  HttpHead mHead;
  std::string mBody;
  Millis mWaited{ 0 }; // between its arrival and its reading
  // Set if another instance forwarded it: the number of servers to which it may
  // still be sent.
  std::optional<int> mServersLeft;

  bool Forwarded() const { return mServersLeft.has_value(); }
};

// Handles the requests and connection events of a listening port.
class InboundHandler
{
public:
  virtual ~InboundHandler() = default;
  // The handler must answer exactly once, at once or later.
  virtual void OnRequest(const std::shared_ptr<InboundConnection>& aConn,
                         InboundRequest& aRequest) = 0;
  // The caller closed the connection before its answer was complete.
  virtual void OnDisconnected(InboundConnection& aConn) { (void)aConn; }
  // This instance is about to close the connection. Not called when the caller
  // closes it.
  virtual void OnConnectionClosing(const InboundConnection& aConn,
                                   const ConnectionClose& aClose)
  {
    (void)aConn;
    (void)aClose;
  }
  // aBytes arrived after this instance had closed the connection.
  virtual void OnInputDiscarded(size_t aBytes) { (void)aBytes; }
  // A new connection was closed at once because aOpen connections, the limit,
  // are open.
  virtual void OnConnectionRejected(size_t aOpen) { (void)aOpen; }
  // A request that could not be read was answered with aStatus.
  virtual void OnRequestRejected(int aStatus, const char* aWhy)
  {
    (void)aStatus;
    (void)aWhy;
  }
  virtual CallerLimits Limits() const { return CallerLimits(); }
  // Another instance has accepted the requests already, and all that they cost
  // would be lost: they are refused for want of memory only if they stand
  // still.
  virtual bool AcceptedElsewhere() const { return false; }
  // Fields of a refusal that is made before a request was read completely.
  virtual std::vector<HttpField> RefusalFields() const { return {}; }
  // When true, every answer closes its connection.
  virtual bool Leaving() const { return false; }
};

class InboundConnection : public std::enable_shared_from_this<InboundConnection>
{
public:
  static std::shared_ptr<InboundConnection> Start(
    Reactor& aReactor,
    RequestAccount& aAccount,
    const Poco::Net::StreamSocket& aSocket,
    InboundHandler& aHandler);
  ~InboundConnection();

  // Sends a complete answer, and closes the connection if aKeep is false.
  void Answer(int aStatus,
              std::vector<HttpField> aFields,
              std::string_view aBody,
              bool aKeep = true);
  // An answer of unknown length: head, chunks, end.
  void BeginStream(int aStatus, std::vector<HttpField> aFields);
  void StreamChunk(std::string_view aBytes);
  void EndStream();
  // Closes the connection so that an unfinished answer can't look complete.
  void Abort(
    ConnectionCloseReason aReason = ConnectionCloseReason::AnswerAborted);

  // Closes the connection if no request is being read or answered, and none is
  // in the socket's buffer.
  void CloseIfIdle(ConnectionCloseReason aReason);
  // Refuses a request that has not been received completely.
  void RejectPartialRequest();
  bool Open() const { return mChannel->Open(); }
  bool Busy() const { return mBusy; }
  bool Idle() const;
  TimePoint LastAnswerAt() const { return mLastAnswerAt; }
  TimePoint AcceptedAt() const { return mAccepted; }
  int Requests() const { return mRequests; } // read on the connection
  // Reads what has arrived, and reports a caller that has disconnected.
  void ReadArrived();
  // Closes the connection if its caller is too slow or idle; called
  // periodically.
  void EnforceTimeouts(TimePoint aNow);
  // Tells the account what the connection holds. Returns false if its request
  // was refused for that.
  bool CountHeld();
  // The same, with what the system holds of it; called periodically.
  bool CountUnread();
  // Nothing runs, no answer is due, and little or nothing has come of late.
  // False for an idle connection that has carried a request: the caller may
  // rely on it.
  bool StandsStill() const;
  // Refuses the partial request of a connection that stands still, or closes
  // it, as another one needs its descriptor.
  void GiveUpPlace();

private:
  InboundConnection(Reactor& aReactor,
                    RequestAccount& aAccount,
                    InboundHandler& aHandler);
  void OnData();
  bool Receiving() const;
  HeldBytes Held() const;
  void StartCounting();
  void StopCounting();
  void GiveUpHeld();
  void DropPipelined();
  void ReadMore();
  void OnEnd();
  Millis ArrivalLag() const;
  void ReadNext();
  bool ReadHead();
  bool ReadBody();
  void Reject(
    int aStatus,
    const char* aWhy,
    ConnectionCloseReason aReason = ConnectionCloseReason::InvalidRequest);
  void RefuseUnread(ConnectionCloseReason aReason);
  size_t BodyLimit();
  void AfterAnswer(bool aKeep);
  const CallerLimits& Limits();
  void NotifyClosing(ConnectionCloseReason aReason);
  std::string StatusLine(int aStatus) const;

  Reactor& mReactor;
  RequestAccount& mAccount;
  InboundHandler& mHandler;
  std::shared_ptr<Channel> mChannel;
  std::optional<BodyReader> mReader;
  InboundRequest mRequest;
  RequestAccount::Id mHolder = 0;
  size_t mHeadBytes = 0;  // of the request that is being read or answered
  size_t mBodyBytes = 0;  // held of the request that is being answered
  uint64_t mMoved = 0;    // of the channel, as last told to the account
  size_t mUnread = 0;     // bytes, as CountUnread() found them last
  size_t mDropped = 0;    // bytes of input behind a request
  bool mDropping = false; // input is dropped, and the next answer the last
  bool mBusy = false;     // a request is being answered
  bool mStreaming = false;
  bool mClosing = false;         // queued output is still sent
  bool mCallerKeepsAlive = true; // by the head of the last request
  int mRequests = 0;
  ConnectionCloseReason mCloseReason =
    ConnectionCloseReason::AnswerWithClose; // if an answer closes it
  // The widest limits since the connection was last idle: the caller may rely
  // on any limits that were in force since then.
  CallerLimits mLimits;
  TimePoint mAccepted{};
  Millis mAcceptLag{ 0 };     // of the loop, when the connection was accepted
  TimePoint mLastAnswerAt{};  // or the time it was accepted
  TimePoint mReadStartedAt{}; // first byte of the request being read
  Millis mReadTime{};         // from the last request's first to last byte
};

const char*
ReasonPhrase(int aStatus);

} // namespace caraway

#endif
