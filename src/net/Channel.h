// Channel.h: one TCP connection on a reactor, with bytes queued both ways.
#ifndef caraway_net_Channel_h
#define caraway_net_Channel_h

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <memory>
#include <string>

#include "net/Reactor.h"

namespace caraway {

// How a connection ended, as far as this side can tell.
enum class ChannelCloseReason
{
  Closed, // the other side ended it properly
  Failed, // reset, timed out, or never made
};

class Channel
  : public SocketHandler
  , public std::enable_shared_from_this<Channel>
{
public:
  struct Events
  {
    std::function<void()> mData; // more in Input()
    std::function<void(ChannelCloseReason)>
      mEnd;                           // once; the channel is closed then
    std::function<void()> mConnected; // outgoing ones only
    std::function<void()> mDrained;   // Queued() reached zero
    // Once, after Finish(): so many bytes were received and dropped.
    std::function<void(size_t)> mDropped;
  };

  // An accepted connection.
  static std::shared_ptr<Channel> Accepted(Reactor& aReactor,
                                           const Poco::Net::StreamSocket& aIn);
  // Begins to connect; mEnd(Failed) when that fails or takes over aMost.
  static std::shared_ptr<Channel> Connect(Reactor& aReactor,
                                          const std::string& aAddress,
                                          Millis aTimeout);
  ~Channel() override;

  void Listen(Events aEvents) { mEvents = std::move(aEvents); }
  void Write(std::string_view aBytes);
  // Closes at once; no event follows.
  void Close();
  // Closes once everything queued is sent, reading on for a moment so that
  // unread bytes don't turn the close into a reset that eats the answer.
  void Finish();
  // Closes a connection on which no answer is due. Nothing more is read, so
  // that the other side knows that what it sends now was taken by nobody.
  void FinishWithoutReading();
  // Takes in what has arrived already, as when the socket is readable.
  void ReadAvailable() { OnReadable(); }
  // False: what arrives waits with the sender; see CloseIfPeerClosed.
  void SetReading(bool aReading);
  // While nothing is read, an end of the other side isn't noticed: told now.
  void CloseIfPeerClosed();

  std::string& Input() { return mInput; }
  size_t Queued() const { return mOutput.size(); }
  bool Open() const { return mOpen; }
  bool Ready() const { return mOpen && !mConnecting; }
  // Bytes were handed to the network; before that nobody can have run them.
  bool Sent() const { return mSent; }

  void OnReadable() override;
  void OnWritable() override;

private:
  Channel(Reactor& aReactor, const Poco::Net::StreamSocket& aSocket);
  void Start(bool aConnecting);
  void Flush();
  void End(ChannelCloseReason aReason);
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
  bool mOpen = true;
  bool mConnecting = false;
  bool mWatchingWrite = false;
  bool mReading = true;
  bool mSent = false;
  bool mFinishing = false;
  bool mReadingStopped = false; // FinishWithoutReading() was called
  size_t mDropped = 0;          // bytes, since Finish()
  Reactor::TimerId mTimer;
};

} // namespace caraway

#endif
