// A TCP proxy that injects faults. POST /mode {"mode":M,"delay_ms":N} on its
// control port sets the mode:
//  pass         forwards everything
//  cut          closes all connections, also new ones
//  freeze       holds bytes back until the mode changes
//  drop_answer  forwards requests, and closes the connection when the answer
//               begins
// "cut_from":["zone"] cuts only connections from instances of that zone, which
// is read from a header in the first bytes of the connection.
#include <algorithm>
#include <atomic>
#include <gflags/gflags.h>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "standin/StandIn.h"

DECLARE_string(listen);
DEFINE_string(target, "", "ip:port");

namespace caraway {

namespace {

constexpr Millis kPollInterval{ 20 };

class Proxy
{
public:
  void SetMode(const Json::Value& aBody)
  {
    std::lock_guard<std::mutex> lock(mLock);
    mMode = aBody["mode"].asString();
    mDelay = Millis(aBody["delay_ms"].asInt64());
    mCutFrom.clear();
    for (const Json::Value& zone : aBody["cut_from"]) {
      mCutFrom.insert(zone.asString());
    }
    if (aBody["target"].isString()) {
      FLAGS_target = aBody["target"].asString();
    }
  }

  void Accept(Poco::Net::ServerSocket& aServer)
  {
    for (;;) {
      Poco::Net::StreamSocket caller = aServer.acceptConnection();
      std::thread([this, caller]() mutable { Forward(caller); }).detach();
    }
  }

private:
  std::string Mode(const std::string& aFrom)
  {
    std::lock_guard<std::mutex> lock(mLock);
    return mCutFrom.count(aFrom) ? "cut" : mMode;
  }

  // Zone of the connecting instance, from the header that its calls carry.
  static std::string ZoneOf(Poco::Net::StreamSocket& aCaller)
  {
    static const std::string sHeader = "X-Caraway-From: ";
    char buffer[4096];
    int got = aCaller.receiveBytes(buffer, sizeof buffer, MSG_PEEK);
    std::string text(buffer, static_cast<size_t>(std::max(got, 0)));
    size_t at = text.find(sHeader);
    if (at == std::string::npos) {
      return "";
    }
    at += sHeader.size();
    return text.substr(at, text.find('/', at) - at);
  }

  void Forward(Poco::Net::StreamSocket& aCaller)
  {
    try {
      std::string from = ZoneOf(aCaller);
      if (Mode(from) == "cut") {
        aCaller.close();
        return;
      }
      std::string target;
      {
        std::lock_guard<std::mutex> lock(mLock);
        target = FLAGS_target;
      }
      Poco::Net::StreamSocket server;
      server.connect(Poco::Net::SocketAddress(target), Poco::Timespan(1, 0));
      server.setNoDelay(true);
      aCaller.setNoDelay(true);
      std::thread answers([this, server, aCaller, from]() mutable {
        Pump(server, aCaller, true, from);
      });
      Pump(aCaller, server, false, from);
      answers.join();
    } catch (const Poco::Exception&) {
      aCaller.close();
    }
  }

  void Pump(Poco::Net::StreamSocket& aFrom,
            Poco::Net::StreamSocket& aTo,
            bool aAnswers,
            const std::string& aZone)
  {
    char buffer[16384];
    try {
      for (;;) {
        std::string mode = Mode(aZone);
        if (mode == "cut") {
          break;
        }
        Poco::Timespan pollTimeout(Micros(kPollInterval).count());
        if (mode == "freeze" ||
            !aFrom.poll(pollTimeout, Poco::Net::Socket::SELECT_READ)) {
          std::this_thread::sleep_for(mode == "freeze" ? kPollInterval
                                                       : Millis(0));
          continue;
        }
        int got = aFrom.receiveBytes(buffer, sizeof buffer);
        if (got <= 0) {
          break;
        }
        Millis delay;
        {
          std::lock_guard<std::mutex> lock(mLock);
          delay = mDelay;
        }
        std::this_thread::sleep_for(delay);
        if (aAnswers && Mode(aZone) == "drop_answer") {
          break;
        }
        aTo.sendBytes(buffer, got);
      }
      aTo.shutdown();
      aFrom.shutdown();
    } catch (const Poco::Exception&) {
      aTo.close();
    }
  }

  std::mutex mLock;
  std::string mMode = "pass";
  Millis mDelay{ 0 };
  std::set<std::string> mCutFrom;
};

} // namespace

int
RunProxy()
{
  Proxy proxy;
  Poco::Net::ServerSocket server;
  server.bind(Poco::Net::SocketAddress(FLAGS_listen), true, false);
  server.listen(256);
  std::thread([&] { proxy.Accept(server); }).detach();
  HttpPort control("127.0.0.1:0", StandInLimits(), [&](auto& aIn, auto& aOut) {
    proxy.SetMode(StandInBody(aIn));
    StandInSend(aOut, 200, Json::Value(Json::objectValue));
  });
  Json::Value addresses;
  addresses["address"] = server.address().toString();
  addresses["control"] = control.Address();
  StandInServe(addresses);
  return 0;
}

} // namespace caraway
