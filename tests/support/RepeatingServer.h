// RepeatingServer.h: a server that sends each answer once more, late: where the
// answer to the next request on its connection is due.
#ifndef caraway_tests_RepeatingServer_h
#define caraway_tests_RepeatingServer_h

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>

namespace caraway {

class RepeatingServer
{
public:
  // The body of the answer to a request, given the head from the first line to
  // the blank one. May be called from several threads.
  using AnswerTo = std::function<std::string(const std::string& aHead)>;

  explicit RepeatingServer(AnswerTo aAnswer);
  ~RepeatingServer();

  std::string Address() const { return mSocket.address().toString(); }

private:
  void Accept();
  void Serve(Poco::Net::StreamSocket aClient);

  AnswerTo mAnswer;
  Poco::Net::ServerSocket mSocket;
  std::atomic<bool> mStopping{ false };
  std::vector<std::thread> mClients; // of mAcceptor alone
  std::thread mAcceptor;
};

} // namespace caraway

#endif
