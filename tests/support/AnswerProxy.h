// AnswerProxy.h: a TCP proxy before one server that passes requests on as they
// are and does to answers what networks, and faulty servers, do.
#ifndef caraway_tests_AnswerProxy_h
#define caraway_tests_AnswerProxy_h

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/Channel.h"

#include <Poco/Net/ServerSocket.h>

namespace caraway {

enum class AnswerFault
{
  None,
  Doubled,   // once more, before the answer to the connection's next request
  Late,      // held for up to AnswerFaults::mLongest
  CutInHead, // the connection is closed in the middle of the head
  CutInBody, // the same, in the middle of the body
  Reset,     // a connection reset in place of the answer
  Unmarked,  // without the server's mark, seal and "not run"
  WithoutId, // without the request's id
  Replaced,  // another answer, of a status that promises "not run"
  TimedOut,  // 408 and a close before the request has reached the server
  // To an upload that is still being written: a success without a length, a
  // part of its body and a reset.
  ResetUnderUpload,
  BrokenHead, // the answer's body behind a head that isn't an answer's
  // A part of the body, framed as the whole. Nobody can tell it from a whole
  // one, so that a check of bodies which doesn't see it checks nothing.
  Shortened,
};

// What the proxy does to answers that carry a request's id.
struct AnswerFaults
{
  std::vector<AnswerFault> mKinds; // one is drawn for each affected answer
  double mShare = 0;               // of the answers
  Millis mLongest{ 500 };          // of Late
};

class AnswerProxy
{
public:
  AnswerProxy(Reactor& aReactor, std::string aServer, unsigned aSeed);
  ~AnswerProxy();
  std::string Address() const;

  AnswerFaults mFaults;
  int mFaulty = 0; // answers that a fault was drawn for

private:
  class Listener;
  struct Link;
  void OnConnection(const Poco::Net::StreamSocket& aSocket);
  void OnRequestBytes(const std::shared_ptr<Link>& aLink);
  bool ResetsUpload(const std::shared_ptr<Link>& aLink,
                    const std::string& aBytes);
  void OnAnswerBytes(const std::shared_ptr<Link>& aLink);
  void Deliver(const std::shared_ptr<Link>& aLink,
               AnswerFault aFault,
               const std::string& aHead,
               const std::string& aBody);
  void Close(const std::shared_ptr<Link>& aLink);
  AnswerFault Draw();

  Reactor& mReactor;
  std::string mServer;
  std::mt19937 mRandom;
  std::shared_ptr<Listener> mListener;
};

} // namespace caraway

#endif
