// BoundedSocket.h: a socket that reads a limited answer with a sound head.
//
// POCO's sessions bound neither the heads of an answer nor the time of all its
// reads together: a server that sends interim answers, or a line, without end
// would keep the thread, and fill the memory. POCO's parser also accepts heads
// that aren't those of an answer; see HttpHead.h.
#ifndef caraway_net_BoundedSocket_h
#define caraway_net_BoundedSocket_h

#include <Poco/Net/StreamSocket.h>
#include <chrono>

namespace caraway {

// Limit of the heads of an answer, interim ones included.
inline constexpr size_t kMaxAnswerHeadBytes = 64 * 1024;

// Not connected yet.
Poco::Net::StreamSocket
MakeBoundedSocket();

// From here on reads throw Poco::Net::ConnectionAbortedException if the
// connection ends inside the head of an answer that has begun: POCO takes that
// end for the head's, and a cut field for a whole one. They throw
// Poco::Net::MessageException for a head that ReadAnswerHead() rejects. Has no
// effect on other sockets.
void
ExpectAnswerHead(Poco::Net::StreamSocket& aSocket);

// Whether the whole head was read since ExpectAnswerHead() and is sound. POCO
// ends some heads earlier, by bare line feeds, or finds one among the bytes
// that it has read behind the answer before.
bool
AnswerHeadIsSound(const Poco::Net::StreamSocket& aSocket);

// From here on reads throw Poco::Net::NetException once more than aBytes have
// been read, and Poco::TimeoutException after aDeadline. Has no effect on other
// sockets.
void
BoundAnswer(Poco::Net::StreamSocket& aSocket,
            size_t aBytes,
            std::chrono::steady_clock::time_point aDeadline);

} // namespace caraway

#endif
