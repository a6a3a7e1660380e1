#include "support/RepeatingServer.h"

#include <cstdlib>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace caraway {

namespace {

const Poco::Timespan kPollInterval(0, 20000); // seconds, microseconds

size_t
BodyBytes(const std::string& aHead)
{
  const std::string name = "Content-Length: ";
  size_t at = aHead.find(name);
  return at == std::string::npos
           ? 0
           : std::strtoul(aHead.c_str() + at + name.size(), nullptr, 10);
}

// Removes a whole request from aInput and returns its head; "" if it isn't
// whole yet.
std::string
TakeRequest(std::string& aInput)
{
  const std::string blank = "\r\n\r\n";
  size_t end = aInput.find(blank);
  if (end == std::string::npos) {
    return "";
  }
  size_t whole = end + blank.size() + BodyBytes(aInput.substr(0, end));
  if (aInput.size() < whole) {
    return "";
  }
  std::string head = aInput.substr(0, end + blank.size());
  aInput.erase(0, whole);
  return head;
}

} // namespace

RepeatingServer::RepeatingServer(AnswerTo aAnswer)
  : mAnswer(std::move(aAnswer))
{
  mSocket.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true, false);
  mSocket.listen(8);
  mAcceptor = std::thread([this] { Accept(); });
}

RepeatingServer::~RepeatingServer()
{
  mStopping = true;
  mAcceptor.join();
}

void
RepeatingServer::Accept()
{
  while (!mStopping) {
    if (mSocket.poll(kPollInterval, Poco::Net::Socket::SELECT_READ)) {
      mClients.emplace_back(
        [this, client = mSocket.acceptConnection()] { Serve(client); });
    }
  }
  for (std::thread& client : mClients) {
    client.join();
  }
}

void
RepeatingServer::Serve(Poco::Net::StreamSocket aClient)
{
  std::string input;
  std::string last;
  try {
    while (!mStopping) {
      if (!aClient.poll(kPollInterval, Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      char bytes[4096];
      int got = aClient.receiveBytes(bytes, sizeof bytes);
      if (got <= 0) {
        return;
      }
      input.append(bytes, static_cast<size_t>(got));
      std::string head = TakeRequest(input);
      if (head.empty()) {
        continue;
      }
      std::string body = mAnswer(head);
      std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
      std::string both = last + answer;
      aClient.sendBytes(both.data(), static_cast<int>(both.size()));
      last = answer;
    }
  } catch (const Poco::Exception&) {
    // The client has closed the connection.
  }
}

} // namespace caraway
