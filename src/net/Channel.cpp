#include "net/Channel.h"

#include <Poco/Exception.h>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace caraway {

namespace {

// A host without power or behind a network partition sends no answer at all.
// Without these options a connection to it, and the request on it, would hang
// for minutes. A sound host may be silent for a second or two: the first probe
// is lost then, and another must be answered before the user timeout, which
// also ends the probes, whatever their number.
constexpr int kUserTimeoutMs = 3500;
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 4;

// Bytes read from a connection per pass of the event loop.
constexpr size_t kReadBufferBytes = 16384;

// Larger buffers are released once they are empty: a kept connection would hold
// those of its largest request while it is idle.
constexpr size_t kKeptCapacity = 16384;

// Smaller bodies are copied behind their heads, which saves a send.
constexpr size_t kMaxCopiedBytes = 16384;

// Between two looks whether the other side has received all output.
constexpr Millis kDeliveryCheck{ 5 };

// How long input is read and discarded after the last answer.
constexpr Millis kLinger{ 300 };

// POCO throws for a full or empty socket buffer as for a broken connection.
// Treating it as broken would drop the output that didn't fit, and the stream
// of a slow caller would lack whole events.
bool
WouldBlock(const Poco::Exception& aError)
{
  return aError.code() == EAGAIN || aError.code() == EWOULDBLOCK;
}

void
SetOptions(Poco::Net::StreamSocket& aSocket)
{
  aSocket.setBlocking(false);
  aSocket.setNoDelay(true);
  aSocket.setKeepAlive(true);
  aSocket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  aSocket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  aSocket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  aSocket.setOption(IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

void
ReleaseIfLarge(std::string& aBuffer)
{
  if (aBuffer.empty() && aBuffer.capacity() > kKeptCapacity) {
    std::string().swap(aBuffer);
  }
}

// All zero if the system doesn't say.
tcp_info
TcpInfo(const Poco::Net::StreamSocket& aSocket)
{
  tcp_info info = {};
  socklen_t size = sizeof info;
  int failed =
    getsockopt(aSocket.impl()->sockfd(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return failed == 0 ? info : tcp_info{};
}

} // namespace

Channel::Channel(Reactor& aReactor, const Poco::Net::StreamSocket& aSocket)
  : mReactor(aReactor)
  , mSocket(aSocket)
{
}

Channel::~Channel()
{
  Close();
}

std::shared_ptr<Channel>
Channel::Accepted(Reactor& aReactor, const Poco::Net::StreamSocket& aIn)
{
  std::shared_ptr<Channel> channel(new Channel(aReactor, aIn));
  SetOptions(channel->mSocket);
  channel->Start(false);
  return channel;
}

std::shared_ptr<Channel>
Channel::Connect(Reactor& aReactor,
                 const std::string& aAddress,
                 Millis aTimeout)
{
  Poco::Net::StreamSocket socket;
  std::shared_ptr<Channel> channel(new Channel(aReactor, socket));
  try {
    channel->mSocket.connectNB(Poco::Net::SocketAddress(aAddress));
    SetOptions(channel->mSocket);
    channel->Start(true);
  } catch (const Poco::Exception&) {
    // Reported by the timer below, after the caller has set its events.
    aTimeout = Millis(0);
  }
  std::weak_ptr<Channel> weak = channel;
  channel->mTimer = aReactor.After(aTimeout, [weak] {
    auto alive = weak.lock();
    if (alive && alive->mOpen && alive->mConnecting) {
      alive->End(ChannelCloseReason::Failed);
    }
  });
  channel->mConnecting = true;
  return channel;
}

void
Channel::Start(bool aConnecting)
{
  mConnecting = aConnecting;
  mEstablishedAt = aConnecting ? TimePoint() : mReactor.Now();
  mWatchingWrite = aConnecting;
  mReactor.Watch(mSocket, shared_from_this(), aConnecting);
}

void
Channel::Write(std::string_view aBytes)
{
  if (!mOpen || mFinishing) {
    return;
  }
  if (mShared) {
    mOutput.append(*mShared, mSharedAt, std::string::npos);
    mShared.reset();
  }
  if (!mConnecting && mOutput.empty()) {
    aBytes.remove_prefix(SendSome(aBytes));
  }
  mOutput.append(aBytes);
  if (!mConnecting) {
    Flush();
  }
}

void
Channel::Write(std::string_view aHead, const SharedBytes& aBody)
{
  if (!aBody || aBody->size() <= kMaxCopiedBytes) {
    std::string text(aHead);
    text += aBody ? *aBody : "";
    Write(text);
    return;
  }
  Write(aHead);
  if (mOpen && !mFinishing) {
    mShared = aBody;
    mSharedAt = 0;
    if (!mConnecting) {
      Flush();
    }
  }
}

size_t
Channel::SharedLeft() const
{
  return mShared ? mShared->size() - mSharedAt : 0;
}

size_t
Channel::HeldBytes() const
{
  static const size_t sInline = std::string().capacity();
  size_t bytes = 0;
  for (const std::string* buffer : { &mInput, &mOutput }) {
    bytes += buffer->capacity() > sInline ? buffer->capacity() : 0;
  }
  return bytes;
}

size_t
Channel::UnreadBytes() const
{
  int bytes = 0;
  bool known = mOpen && !mConnecting &&
               ioctl(mSocket.impl()->sockfd(), FIONREAD, &bytes) == 0;
  return known && bytes > 0 ? static_cast<size_t>(bytes) : 0;
}

void
Channel::ReleaseSpare()
{
  ReleaseIfLarge(mInput);
  ReleaseIfLarge(mOutput);
}

// Returns how many bytes need not be sent any more.
size_t
Channel::SendSome(std::string_view aBytes)
{
  size_t done = 0;
  try {
    while (done < aBytes.size()) {
      int sent = mSocket.sendBytes(aBytes.data() + done,
                                   static_cast<int>(aBytes.size() - done));
      if (sent <= 0) {
        break;
      }
      mSent = true;
      done += static_cast<size_t>(sent);
      mMoved += static_cast<size_t>(sent);
    }
  } catch (const Poco::Exception& error) {
    // The end is reported by the read side, which may still hold an answer that
    // the other side sent before it stopped reading.
    if (!WouldBlock(error)) {
      mFailed = true;
      done = aBytes.size();
      SetReading(true);
    }
  }
  return done;
}

void
Channel::Flush()
{
  mOutput.erase(0, SendSome(mOutput));
  if (mOutput.empty() && mShared) {
    mSharedAt += SendSome(std::string_view(*mShared).substr(mSharedAt));
    if (SharedLeft() == 0) {
      mShared.reset();
    }
  }
  ReleaseSpare();
  bool pending = QueuedBytes() > 0;
  if (pending != mWatchingWrite) {
    mWatchingWrite = pending;
    UpdateInterest();
  }
  if (!pending && mFinishing) {
    ShutdownSend();
  }
}

void
Channel::UpdateInterest()
{
  mReactor.SetInterest(mSocket, mReading, mWatchingWrite);
}

void
Channel::SetReading(bool aReading)
{
  if (mOpen && aReading != mReading) {
    mReading = aReading;
    UpdateInterest();
  }
}

void
Channel::CloseIfPeerClosed()
{
  if (!mOpen || mReading || mFinishing) {
    return;
  }
  if (TcpInfo(mSocket).tcpi_state == TCP_CLOSE_WAIT) {
    End(ChannelCloseReason::Closed);
  }
}

Millis
Channel::SinceLastArrival() const
{
  return mOpen ? Millis(TcpInfo(mSocket).tcpi_last_data_recv) : Millis(0);
}

bool
Channel::Delivered() const
{
  int bytes = 0; // not acknowledged; 0 if the system doesn't say
  bool known = ioctl(mSocket.impl()->sockfd(), SIOCOUTQ, &bytes) == 0;
  return QueuedBytes() == 0 && (!known || bytes == 0);
}

// A reset or a timeout takes the connection to TCP_CLOSE at once. An orderly
// end by the other side leaves it in TCP_CLOSE_WAIT until this side closes.
bool
Channel::Failed() const
{
  return mFailed || (mOpen && TcpInfo(mSocket).tcpi_state == TCP_CLOSE);
}

void
Channel::ShutdownSend()
{
  try {
    mSocket.shutdownSend();
  } catch (const Poco::Exception&) {
    Close(); // the other side has closed it already
  }
}

void
Channel::OnWritable()
{
  auto self = shared_from_this();
  if (mConnecting) {
    int error = 0;
    mSocket.impl()->getOption(SOL_SOCKET, SO_ERROR, error);
    if (error != 0) {
      End(ChannelCloseReason::Failed);
      return;
    }
    mConnecting = false;
    mEstablishedAt = mReactor.Now();
    mReactor.Cancel(mTimer);
    if (mEvents.mConnected) {
      mEvents.mConnected();
    }
    if (!mOpen) {
      return;
    }
  }
  bool hadOutput = QueuedBytes() > 0;
  Flush();
  if (mOpen && hadOutput && QueuedBytes() == 0 && mEvents.mDrained) {
    mEvents.mDrained();
  }
}

bool
Channel::ReadSome(ChannelCloseReason& aReason)
{
  char bytes[kReadBufferBytes];
  try {
    int count = mSocket.receiveBytes(bytes, sizeof bytes);
    if (count > 0) {
      mInput.append(bytes, static_cast<size_t>(count));
      mMoved += static_cast<size_t>(count);
      return true;
    }
    if (count < 0) {
      return true; // no data yet
    }
    aReason =
      Failed() ? ChannelCloseReason::Failed : ChannelCloseReason::Closed;
  } catch (const Poco::Exception& error) {
    if (WouldBlock(error)) {
      return true;
    }
    aReason = ChannelCloseReason::Failed;
  }
  return false;
}

void
Channel::OnReadable()
{
  auto self = shared_from_this();
  if (mConnecting) {
    OnWritable();
    if (!mOpen || mConnecting) {
      return;
    }
  }
  if (mReadingStopped) {
    Close();
    return;
  }
  ChannelCloseReason end = ChannelCloseReason::Closed;
  size_t before = mInput.size();
  bool alive = ReadSome(end);
  if (mFinishing) {
    mDropped += mInput.size();
    mInput.clear();
    if (!alive) {
      FinishLinger();
    }
    return;
  }
  if (mInput.size() > before && mEvents.mData) {
    mEvents.mData();
    ReleaseIfLarge(mInput);
  }
  if (!alive && mOpen) {
    OnInputEnd(end);
  }
}

void
Channel::OnInputEnd(ChannelCloseReason aReason)
{
  if (aReason == ChannelCloseReason::Closed && mEndsOnceDelivered) {
    SetReading(false); // an end stays readable
    EndIfDelivered();
  } else {
    End(aReason);
  }
}

// Output that the other side refuses or leaves unread makes the connection
// fail, the latter by the user timeout.
void
Channel::EndIfDelivered()
{
  bool delivered = Delivered(); // asked first: a reset drops all output
  if (Failed()) {
    End(ChannelCloseReason::Failed);
    return;
  }
  if (delivered) {
    End(ChannelCloseReason::Closed);
    return;
  }
  std::weak_ptr<Channel> weak = weak_from_this();
  mReactor.Cancel(mTimer);
  mTimer = mReactor.After(kDeliveryCheck, [weak] {
    auto alive = weak.lock();
    if (alive && alive->mOpen) {
      alive->EndIfDelivered();
    }
  });
}

void
Channel::End(ChannelCloseReason aReason)
{
  auto self = shared_from_this();
  auto onEnd = std::move(mEvents.mEnd);
  Close();
  if (onEnd) {
    onEnd(aReason);
  }
}

void
Channel::Close()
{
  if (!mOpen) {
    return;
  }
  mOpen = false;
  mReactor.Cancel(mTimer);
  mReactor.Unwatch(mSocket);
  mSocket.close();
  std::string().swap(mOutput);
  mShared.reset();
  // Destroyed later: this may run inside one of the callbacks.
  mReactor.After(Millis(0), [events = std::move(mEvents)] {});
  mEvents = Events();
}

void
Channel::Reset()
{
  if (!mOpen) {
    return;
  }
  try {
    mSocket.setLinger(true, 0);
  } catch (const Poco::Exception&) {
    // Not connected: nothing was sent.
  }
  Close();
}

void
Channel::Finish()
{
  if (!mOpen || mFinishing) {
    return;
  }
  auto self = shared_from_this();
  mFinishing = true;
  auto dropped = std::move(mEvents.mDropped);
  mReactor.After(Millis(0), [events = std::move(mEvents)] {});
  mEvents = Events();
  mEvents.mDropped = std::move(dropped);
  mDropped = mInput.size();
  mInput.clear();
  ReleaseSpare();
  SetReading(true);
  if (!mConnecting) {
    Flush();
  }
  // A peer that has stopped reading is given up after this time too.
  LingerFor(QueuedBytes() == 0 ? kLinger : kLinger * 10);
}

void
Channel::FinishWithoutReading()
{
  if (!mOpen || mFinishing) {
    return;
  }
  auto self = shared_from_this();
  mFinishing = true;
  mReadingStopped = true;
  ShutdownSend();
  if (mOpen) {
    LingerFor(kLinger);
  }
}

void
Channel::LingerFor(Millis aTimeout)
{
  std::weak_ptr<Channel> weak = weak_from_this();
  mReactor.Cancel(mTimer);
  mTimer = mReactor.After(aTimeout, [weak, aTimeout, left = QueuedBytes()] {
    auto alive = weak.lock();
    if (!alive) {
      return;
    }
    if (alive->QueuedBytes() < left) {
      alive->LingerFor(alive->QueuedBytes() == 0 ? kLinger : aTimeout);
    } else {
      alive->FinishLinger();
    }
  });
}

void
Channel::FinishLinger()
{
  auto onDropped = std::move(mEvents.mDropped);
  Close();
  if (onDropped && mDropped > 0) {
    onDropped(mDropped);
  }
}

} // namespace caraway
