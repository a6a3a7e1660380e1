// Channel.h: one TCP connection on a reactor, with input and output buffers.
#ifndef caraway_net_Channel_h
#define caraway_net_Channel_h

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "decide/CarriedRequests.h"
#include "net/Reactor.h"

namespace caraway {

// A body that several sends share, so that none copies it.
using SharedBytes = std::shared_ptr<const std::string>;

// How a connection ended, as far as this side knows.
enum class ChannelCloseReason
{
  Closed, // by the other side, in order
  Failed, // reset, timed out or not established
};

class Channel
  : public SocketHandler
  , public std::enable_shared_from_this<Channel>
{
public:
  struct Events
  {
    std::function<void()> mData; // more bytes in Input()
    // Once; the channel is closed then.
    std::function<void(ChannelCloseReason)> mEnd;
    std::function<void()> mConnected; // outgoing connections only
    std::function<void()> mDrained;   // QueuedBytes() reached zero
    // Once, after Finish(): the number of bytes received and discarded, if any.
    std::function<void(size_t)> mDropped;
  };

  // Wraps an accepted connection.
  static std::shared_ptr<Channel> Accepted(Reactor& aReactor,
                                           const Poco::Net::StreamSocket& aIn);
  // Starts to connect; mEnd(Failed) follows if that fails or takes longer than
  // aTimeout.
  static std::shared_ptr<Channel> Connect(Reactor& aReactor,
                                          const std::string& aAddress,
                                          Millis aTimeout);
  ~Channel() override;

  void SetEvents(Events aEvents) { mEvents = std::move(aEvents); }
  void Write(std::string_view aBytes);
  // Writes a head and its body. A large body isn't copied.
  void Write(std::string_view aHead, const SharedBytes& aBody);
  // Closes at once. No event follows.
  void Close();
  // Closes at once and resets the connection. What the network has not
  // delivered yet is lost then; after a close it may still arrive, however
  // late.
  void Reset();
  // Closes once all output is sent. Input is read and discarded for a short
  // time, because a close with unread input resets the connection, and the
  // reset can overtake the answer.
  void Finish();
  // Closes a connection on which no answer is due. Nothing more is read, so
  // that the reset shows the other side that later requests were not processed.
  void FinishWithoutReading();
  // Reads what has arrived already, as when the socket is readable.
  void ReadAvailable() { OnReadable(); }
  // While reading is off, TCP flow control holds the sender back; see
  // CloseIfPeerClosed.
  void SetReading(bool aReading);
  // A close by the other side isn't noticed while reading is off. This checks
  // for it and reports it.
  void CloseIfPeerClosed();

  // Time since the system received the last bytes, read or not; zero if it
  // doesn't say.
  Millis SinceLastArrival() const;

  std::string& Input() { return mInput; }
  size_t QueuedBytes() const { return mOutput.size() + SharedLeft(); }
  // Bytes of memory that this connection alone takes for input and output.
  size_t HeldBytes() const;
  // Bytes that the system has received and that weren't read yet.
  size_t UnreadBytes() const;
  // Bytes received and sent since it was opened.
  uint64_t Moved() const { return mMoved; }
  bool Open() const { return mOpen; }
  bool Ready() const { return mOpen && !mConnecting; }
  // When the connection was known to be established; at no time if it isn't.
  TimePoint EstablishedAt() const { return mEstablishedAt; }
  // Whether bytes were handed to the network since ClearSent(), called before
  // each request. A request of which none were can't have run.
  bool Sent() const { return mSent; }
  void ClearSent() { mSent = false; }
  // Outgoing connections: the requests sent on it.
  CarriedRequests& Carried() { return mCarried; }

  // From now on an orderly end by the other side is reported only once it has
  // all output; if that fails, the connection has failed. For a message whose
  // end is the connection's: an end before that proves nothing.
  void EndOnceDelivered() { mEndsOnceDelivered = true; }
  // Whether the other side's system has received all output.
  bool Delivered() const;
  // Whether the connection has failed, even if nothing was read since. A system
  // reports the error once, to whichever call comes first, and to no read that
  // follows an orderly end.
  bool Failed() const;

  void OnReadable() override;
  void OnWritable() override;
  bool IsControl() const override { return mControl; }
  void SetControl(bool aControl) { mControl = aControl; }

private:
  Channel(Reactor& aReactor, const Poco::Net::StreamSocket& aSocket);
  void Start(bool aConnecting);
  size_t SendSome(std::string_view aBytes);
  size_t SharedLeft() const;
  void ReleaseSpare();
  void Flush();
  void End(ChannelCloseReason aReason);
  void OnInputEnd(ChannelCloseReason aReason);
  void EndIfDelivered();
  void FinishLinger();
  void ShutdownSend();
  void LingerFor(Millis aTimeout);
  void UpdateInterest();
  bool ReadSome(ChannelCloseReason& aReason);

  Reactor& mReactor;
  Poco::Net::StreamSocket mSocket;
  Events mEvents;
  std::string mInput;
  std::string mOutput;
  SharedBytes mShared;  // sent after mOutput
  size_t mSharedAt = 0; // bytes of it that were sent
  uint64_t mMoved = 0;
  CarriedRequests mCarried;
  bool mOpen = true;
  bool mConnecting = false;
  TimePoint mEstablishedAt{};
  bool mWatchingWrite = false;
  bool mReading = true;
  bool mSent = false;
  bool mFailed = false;            // see Failed()
  bool mEndsOnceDelivered = false; // see EndOnceDelivered()
  bool mControl = false;           // see SocketHandler
  bool mFinishing = false;
  bool mReadingStopped = false; // by FinishWithoutReading()
  size_t mDropped = 0;          // bytes discarded since Finish()
  Reactor::TimerId mTimer;
};

} // namespace caraway

#endif
