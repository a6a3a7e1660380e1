// World.h: stand-ins of the platform's store, servers and clients, and the
// entry daemon as separate processes, for the cases of the second review. All
// on loopback and the real clock, one thread a connection. They speak what
// PROTOCOL.md and DEPLOY.md say.
#ifndef review_World_h
#define review_World_h

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;
using std::string;

inline Clock::time_point gStart = Clock::now();

inline double
Now() // seconds since the start
{
  return std::chrono::duration<double>(Clock::now() - gStart).count();
}

inline void
SleepUntil(double aAt)
{
  std::this_thread::sleep_until(gStart +
                                std::chrono::duration_cast<Clock::duration>(
                                  std::chrono::duration<double>(aAt)));
}

inline void
Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

// ---- The record

inline std::mutex gRecordLock;
inline FILE* gRecord = nullptr;

inline void
Record(const char* aFormat, ...)
{
  char text[1024];
  va_list arguments;
  va_start(arguments, aFormat);
  std::vsnprintf(text, sizeof text, aFormat, arguments);
  va_end(arguments);
  std::lock_guard<std::mutex> lock(gRecordLock);
  if (gRecord) {
    std::fprintf(gRecord, "%9.3f %s\n", Now(), text);
    std::fflush(gRecord);
  }
}

// ---- Sockets and HTTP

inline sockaddr_in
AddressOf(const string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

inline int
Listen(const string& aIp, int aPort)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address = AddressOf(aIp, aPort);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int
PortOf(int aFd)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(aFd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int
Connect(const string& aIp, int aPort, double aWithin = 1)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  sockaddr_in address = AddressOf(aIp, aPort);
  int result =
    connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (result != 0 && errno == EINPROGRESS) {
    pollfd wait{ fd, POLLOUT, 0 };
    poll(&wait, 1, static_cast<int>(aWithin * 1000));
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    result = (wait.revents & POLLOUT) && error == 0 ? 0 : -1;
  }
  if (result != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, 0);
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool
SendAll(int aFd, const string& aBytes)
{
  size_t done = 0;
  while (done < aBytes.size()) {
    ssize_t sent =
      send(aFd, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    done += static_cast<size_t>(sent);
  }
  return true;
}

// Ends the connection by a reset.
inline void
Reset(int aFd)
{
  linger now{ 1, 0 };
  setsockopt(aFd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

struct Message
{
  string mFirst; // the request or status line
  std::vector<std::pair<string, string>> mFields;
  string mBody;
  bool mWhole = false; // the body came whole

  string Field(const char* aName) const
  {
    for (const auto& [name, value] : mFields) {
      if (strcasecmp(name.c_str(), aName) == 0) {
        return value;
      }
    }
    return "";
  }
  bool Has(const char* aName) const
  {
    for (const auto& [name, value] : mFields) {
      if (strcasecmp(name.c_str(), aName) == 0) {
        return true;
      }
    }
    return false;
  }
  int Status() const
  {
    return mFirst.size() > 12 ? std::atoi(mFirst.c_str() + 9) : 0;
  }
  string Method() const { return mFirst.substr(0, mFirst.find(' ')); }
  string Target() const
  {
    size_t first = mFirst.find(' ');
    size_t last = mFirst.rfind(' ');
    return first == last ? "" : mFirst.substr(first + 1, last - first - 1);
  }
};

class Reader
{
public:
  explicit Reader(int aFd)
    : mFd(aFd)
  {
  }
  // Waits for input until aBy; false at the end or when it is too late.
  bool Fill(double aBy)
  {
    while (true) {
      pollfd wait{ mFd, POLLIN, 0 };
      double left = aBy - Now();
      if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0) {
        mLate = true;
        return false;
      }
      char bytes[65536];
      ssize_t count = recv(mFd, bytes, sizeof bytes, 0);
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count <= 0) {
        mReset = count < 0;
        mEnded = true;
        return false;
      }
      mIn.append(bytes, static_cast<size_t>(count));
      return true;
    }
  }
  bool Line(string& aLine, double aBy)
  {
    size_t end;
    while ((end = mIn.find("\r\n")) == string::npos) {
      if (!Fill(aBy)) {
        return false;
      }
    }
    aLine = mIn.substr(0, end);
    mIn.erase(0, end + 2);
    return true;
  }
  bool Head(Message& aMessage, double aBy)
  {
    aMessage = Message();
    string line;
    if (!Line(aMessage.mFirst, aBy)) {
      return false;
    }
    while (Line(line, aBy)) {
      if (line.empty()) {
        return true;
      }
      size_t colon = line.find(':');
      size_t value = line.find_first_not_of(' ', colon + 1);
      aMessage.mFields.push_back(
        { line.substr(0, colon),
          value == string::npos ? "" : line.substr(value) });
    }
    return false;
  }
  bool Take(size_t aCount, string& aOut, double aBy)
  {
    while (mIn.size() < aCount) {
      if (!Fill(aBy)) {
        aOut += mIn;
        mIn.clear();
        return false;
      }
    }
    aOut += mIn.substr(0, aCount);
    mIn.erase(0, aCount);
    return true;
  }
  // Reads the body; false if it breaks off.
  bool Body(Message& aMessage, double aBy, bool aAnswer)
  {
    if (aMessage.Has("Content-Length")) {
      size_t count = std::stoul(aMessage.Field("Content-Length"));
      aMessage.mWhole = Take(count, aMessage.mBody, aBy);
      return aMessage.mWhole;
    }
    if (aMessage.Has("Transfer-Encoding")) {
      string line;
      while (Line(line, aBy)) {
        size_t count = std::strtoul(line.c_str(), nullptr, 16);
        if (count == 0) {
          aMessage.mWhole = Line(line, aBy);
          return aMessage.mWhole;
        }
        string end;
        if (!Take(count, aMessage.mBody, aBy) || !Take(2, end, aBy)) {
          return false;
        }
      }
      return false;
    }
    if (aAnswer) {
      while (Fill(aBy)) {
      }
      aMessage.mBody.swap(mIn);
      aMessage.mWhole = mEnded && !mReset;
      return aMessage.mWhole;
    }
    aMessage.mWhole = true;
    return true;
  }
  int Fd() const { return mFd; }
  string mIn;
  bool mEnded = false;
  bool mReset = false;
  bool mLate = false;

private:
  int mFd;
};

inline string
Text(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

inline string
Answer(int aStatus,
       const std::vector<std::pair<string, string>>& aFields,
       const string& aBody)
{
  string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

// Accepts connections, each handled on a thread of its own.
class Port
{
public:
  using Handler = std::function<void(int)>;
  Port(const string& aIp, int aPort, Handler aHandler)
    : mIp(aIp)
    , mFd(Listen(aIp, aPort))
    , mHandler(std::move(aHandler))
  {
    if (mFd < 0) {
      std::fprintf(stderr, "can't listen on %s\n", aIp.c_str());
      std::_Exit(2);
    }
    mPort = PortOf(mFd);
    std::thread([this] { Accept(); }).detach();
  }
  const string& Ip() const { return mIp; }
  int Number() const { return mPort; }
  string Text() const { return mIp + ":" + std::to_string(mPort); }

private:
  void Accept()
  {
    while (true) {
      int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd] {
        mHandler(fd);
        close(fd);
      }).detach();
    }
  }
  string mIp;
  int mFd;
  int mPort = 0;
  Handler mHandler;
};

// ---- The platform's store

class Store
{
public:
  Store()
    : mPort("127.0.0.1", 0, [this](int aFd) { Serve(aFd); })
  {
  }
  string Address() const { return mPort.Text(); }

  // As the operator or a server writes; returns the revision.
  int64_t Put(const string& aKind, const string& aName, Json::Value aSpec)
  {
    std::lock_guard<std::mutex> lock(mLock);
    Json::Value object =
      mObjects[aKind].count(aName) ? mObjects[aKind][aName] : NewObject(aName);
    if (object["spec"] == aSpec) {
      return mRevision;
    }
    object["spec"] = std::move(aSpec);
    Change(aKind, aName, object, false);
    return mRevision;
  }
  void Remove(const string& aKind, const string& aName)
  {
    std::lock_guard<std::mutex> lock(mLock);
    if (mObjects[aKind].count(aName)) {
      Change(aKind, aName, mObjects[aKind][aName], true);
    }
  }
  Json::Value Get(const string& aKind, const string& aName)
  {
    std::lock_guard<std::mutex> lock(mLock);
    auto found = mObjects[aKind].find(aName);
    return found == mObjects[aKind].end() ? Json::Value() : found->second;
  }
  // Called with method, target and body of each call before it is carried out,
  // without the lock; returns how long its answer is held back.
  std::function<double(const Message&)> mBefore;

private:
  struct Event
  {
    int64_t mRevision;
    string mKind;
    Json::Value mObject;
    bool mRemoved;
  };
  Json::Value NewObject(const string& aName)
  {
    Json::Value object;
    object["metadata"]["name"] = aName;
    object["metadata"]["createRevision"] = Json::Int64(mRevision + 1);
    object["metadata"]["finalizers"] = Json::Value(Json::arrayValue);
    object["metadata"]["deleting"] = false;
    object["spec"] = Json::Value(Json::objectValue);
    object["status"] = Json::Value(Json::objectValue);
    return object;
  }
  void Change(const string& aKind,
              const string& aName,
              Json::Value aObject,
              bool aRemoved)
  {
    ++mRevision;
    aObject["metadata"]["revision"] = Json::Int64(mRevision);
    if (aRemoved) {
      mObjects[aKind].erase(aName);
    } else {
      mObjects[aKind][aName] = aObject;
    }
    mEvents.push_back({ mRevision, aKind, std::move(aObject), aRemoved });
    mChanged.notify_all();
  }
  static string Query(const string& aTarget, const string& aName)
  {
    size_t at = aTarget.find('?');
    string rest = at == string::npos ? "" : "&" + aTarget.substr(at + 1);
    size_t found = rest.find("&" + aName + "=");
    if (found == string::npos) {
      return "";
    }
    string value = rest.substr(found + aName.size() + 2);
    value = value.substr(0, value.find('&'));
    string plain;
    for (size_t i = 0; i < value.size(); ++i) {
      if (value[i] == '%' && i + 2 < value.size()) {
        plain += static_cast<char>(
          std::strtol(value.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        plain += value[i];
      }
    }
    return plain;
  }
  void Serve(int aFd)
  {
    Reader reader(aFd);
    Message call;
    while (reader.Head(call, Now() + 120) &&
           reader.Body(call, Now() + 5, false)) {
      double hold = mBefore ? mBefore(call) : 0.004;
      if (hold < 0) {
        return;
      }
      Sleep(hold);
      int status = 200;
      Json::Value answer = Do(call, status);
      if (!SendAll(aFd,
                   world::Answer(status,
                                 { { "Content-Type", "application/json" } },
                                 world::Text(answer)))) {
        return;
      }
    }
  }
  Json::Value Do(const Message& aCall, int& aStatus)
  {
    string target = aCall.Target();
    string path = target.substr(0, target.find('?'));
    std::vector<string> parts;
    std::istringstream text(path);
    for (string part; std::getline(text, part, '/');) {
      if (!part.empty()) {
        parts.push_back(part);
      }
    }
    if (parts.size() < 2 || parts[0] != "objects") {
      aStatus = 404;
      return Json::Value(Json::objectValue);
    }
    const string& kind = parts[1];
    Json::Value body;
    if (!aCall.mBody.empty()) {
      std::istringstream(aCall.mBody) >> body;
    }
    string method = aCall.Method();
    if (method == "GET" && parts.size() == 2) {
      return Query(target, "watch").empty()
               ? List(kind, Query(target, "after"))
               : Watch(kind,
                       std::stoll(Query(target, "watch")),
                       std::atoi(Query(target, "waitMs").c_str()));
    }
    std::lock_guard<std::mutex> lock(mLock);
    auto& objects = mObjects[kind];
    string name =
      parts.size() > 2 ? parts[2] : body["metadata"]["name"].asString();
    auto found = objects.find(name);
    if (method == "POST") {
      if (found != objects.end()) {
        aStatus = 409;
        return found->second;
      }
      Json::Value object = NewObject(name);
      object["spec"] = body["spec"];
      Change(kind, name, object, false);
      aStatus = 201;
      return objects[name];
    }
    if (found == objects.end()) {
      aStatus = 404;
      return Json::Value(Json::objectValue);
    }
    if (method == "GET") {
      return found->second;
    }
    int64_t known = found->second["metadata"]["revision"].asInt64();
    int64_t wanted = body["metadata"].isMember("revision")
                       ? body["metadata"]["revision"].asInt64()
                     : Query(target, "revision").empty()
                       ? known
                       : std::stoll(Query(target, "revision"));
    if (wanted != known) {
      aStatus = 409;
      return found->second;
    }
    if (method == "DELETE") {
      Json::Value object = found->second;
      Change(kind, name, object, true);
      return object;
    }
    bool status = parts.size() > 3 && parts[3] == "status";
    const char* field = status ? "status" : "spec";
    if (found->second[field] != body[field]) {
      Json::Value object = found->second;
      object[field] = body[field];
      Change(kind, name, object, false);
    }
    return objects[name];
  }
  Json::Value List(const string& aKind, const string& aAfter)
  {
    std::lock_guard<std::mutex> lock(mLock);
    Json::Value answer;
    answer["items"] = Json::Value(Json::arrayValue);
    answer["more"] = false;
    answer["asOf"] = Json::Int64(mRevision);
    auto& objects = mObjects[aKind];
    for (auto at = objects.upper_bound(aAfter); at != objects.end(); ++at) {
      if (answer["items"].size() >= 500) {
        answer["more"] = true;
        break;
      }
      answer["items"].append(at->second);
    }
    return answer;
  }
  Json::Value Watch(const string& aKind, int64_t aFrom, int aWaitMs)
  {
    std::unique_lock<std::mutex> lock(mLock);
    Json::Value answer;
    answer["events"] = Json::Value(Json::arrayValue);
    auto collect = [&] {
      for (const Event& event : mEvents) {
        if (event.mRevision > aFrom && event.mKind == aKind) {
          Json::Value one;
          one["object"] = event.mObject;
          one["removed"] = event.mRemoved;
          answer["events"].append(one);
        }
      }
      return !answer["events"].empty();
    };
    mChanged.wait_for(lock, std::chrono::milliseconds(aWaitMs), collect);
    answer["asOf"] = Json::Int64(mRevision);
    return answer;
  }

  std::mutex mLock;
  std::condition_variable mChanged;
  int64_t mRevision = 100;
  std::map<string, std::map<string, Json::Value>> mObjects;
  std::vector<Event> mEvents;
  Port mPort;
};

// ---- Servers

struct Run
{
  string mId;
  string mServer;
  double mAt;
};

inline std::mutex gRunsLock;
inline std::vector<Run> gRuns;

inline void
AddRun(const string& aId, const string& aServer)
{
  {
    std::lock_guard<std::mutex> lock(gRunsLock);
    gRuns.push_back({ aId, aServer, Now() });
  }
  Record("server %s runs %s", aServer.c_str(), aId.c_str());
}

inline int
RunsOf(const string& aId)
{
  std::lock_guard<std::mutex> lock(gRunsLock);
  int count = 0;
  for (const Run& run : gRuns) {
    count += run.mId == aId ? 1 : 0;
  }
  return count;
}

class Server
{
public:
  // Handles a request that is to run on the connection; returns false if the
  // connection ends.
  using Handler = std::function<bool(Server&, Reader&, const Message&)>;

  Server(Store& aStore,
         string aId,
         string aService,
         string aZone,
         int aSlots,
         Handler aHandler)
    : mStore(aStore)
    , mId(std::move(aId))
    , mService(std::move(aService))
    , mZone(std::move(aZone))
    , mSlots(aSlots)
    , mHandler(std::move(aHandler))
    , mBorn(std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())
    , mPort("127.0.0.1", 0, [this](int aFd) { Serve(aFd); })
  {
  }
  const string& Id() const { return mId; }
  string Address() const { return mPort.Text(); }
  Json::Value mModels{ Json::arrayValue };

  void Register(const string& aState = "ready")
  {
    Json::Value spec;
    spec["service"] = mService;
    spec["address"] = mPort.Text();
    spec["zone"] = mZone;
    spec["version"] = "v1";
    spec["slots"] = mSlots;
    spec["state"] = aState;
    spec["coldLeftMs"] = 0;
    spec["sequence"] = 0;
    spec["born"] = Json::Int64(mBorn);
    if (!mModels.empty()) {
      spec["models"] = mModels;
      spec["stage"] = "both";
    }
    mStore.Put("servers", mId, spec);
  }
  std::vector<std::pair<string, string>> Fields(const Message& aRequest) const
  {
    return { { "Attempt-Id", aRequest.Field("Attempt-Id") },
             { "Server-Seal", "seal." + mId },
             { "Server-Load",
               std::to_string(mRunning.load()) + ",0," +
                 std::to_string(mSlots) },
             { "Keep-Alive", "timeout=5" } };
  }
  std::atomic<int> mRunning{ 0 };

private:
  void Serve(int aFd)
  {
    Reader reader(aFd);
    Message request;
    while (reader.Head(request, Now() + 5) &&
           reader.Body(request, Now() + 30, false)) {
      string target = request.Target();
      if (target == "/report") {
        Json::Value report;
        report["stage"] = "both";
        report["models"] = mModels;
        report["busy"] = false;
        report["sequence"] = 0;
        report["queued"] = 0;
        report["running"] = mRunning.load();
        report["kvUsed"] = 0;
        report["kvTotal"] = 100000;
        report["handles"] = 0;
        report["born"] = Json::Int64(mBorn);
        if (!SendAll(aFd, Answer(200, {}, Text(report)))) {
          return;
        }
        continue;
      }
      string expected = request.Field("Expect-Instance");
      if (!expected.empty() && expected != mId) {
        SendAll(
          aFd,
          Answer(421, { { "Instance-Id", mId }, { "Not-Executed", "1" } }, ""));
        continue;
      }
      if (target == "/health") {
        SendAll(aFd, Answer(200, { { "Instance-Id", mId } }, ""));
        continue;
      }
      if (request.Field("Attempt-Id").empty()) {
        SendAll(aFd, Answer(400, { { "Not-Executed", "1" } }, ""));
        continue;
      }
      ++mRunning;
      AddRun(request.Field("Attempt-Id"), mId);
      bool on = mHandler(*this, reader, request);
      --mRunning;
      if (!on) {
        return;
      }
    }
  }

  Store& mStore;
  string mId;
  string mService;
  string mZone;
  int mSlots;
  Handler mHandler;
  int64_t mBorn;
  Port mPort;
};

// ---- Entry daemons

inline string gFolder; // temporary; removed at the end

class Entry;
inline std::vector<Entry*> gStarted; // ended with the case

class Entry
{
public:
  Entry(const Store& aStore, int aNumber, string aZone, int aBase, bool aFirst)
    : mName("front-" + aZone + "-" + std::to_string(aNumber))
    , mIp("127.0.0." + std::to_string(10 + aNumber))
    , mBase(aBase)
    , mSettings(gFolder + "/" + mName + ".toml")
    , mLog(gFolder + "/" + mName + ".log")
  {
    mText = "nodeName = \"" + mName + "\"\nrole = \"entry\"\n" +
            "machineClass = \"front\"\nserves = [\"front\"]\nip = \"" + mIp +
            "\"\nzone = \"" + aZone + "\"\nregion = \"r\"\ninternalPorts = [" +
            std::to_string(aBase) + "," + std::to_string(aBase + 15) +
            "]\nseeds = []\nbootstrap = " + (aFirst ? "true" : "false") +
            "\nheartbeatMs = 1200\n[zones]\na = \"r\"\nb = \"r\"\n" +
            "[listen]\nfront = \"" + Front() + "\"\nreadinessAddr = \"" + mIp +
            ":" + std::to_string(aBase + 17) +
            "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n" +
            "maxFds = 4200\n[bounds]\nstableWindowMs = 3000\nackMs = 4000\n" +
            "drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n" +
            "configApplyMs = 2000\nrollbackSlackMs = 250\n" +
            "retryBudgetRatio = 0.2\nbudgetWindowS = 10\n" +
            "retryBudgetSlack = 52\nquotaWindowS = 8\nquotaOverage = 0.1\n" +
            "quotaSlack = 17000\nrecoveryS = 12\npassMs = 120\n" +
            "requireFence = false\nleaseMs = 3000\nthawSlackMs = 300\n" +
            "[platform]\naddress = \"" + aStore.Address() +
            "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\n" +
            "historyS = 20\nvalueBytes = 1048576\n";
    std::ofstream(mSettings) << mText;
  }
  // Later starts aren't the first one of the whole system.
  void WriteLater() const
  {
    string text = mText;
    size_t at = text.find("bootstrap = true");
    if (at != string::npos) {
      text.replace(at, 16, "bootstrap = false");
    }
    std::ofstream(mSettings) << text;
  }
  ~Entry() { Kill(); }
  const string& Name() const { return mName; }
  const string& Ip() const { return mIp; }
  int FrontPort() const { return mBase + 16; }
  string Front() const { return mIp + ":" + std::to_string(FrontPort()); }
  const string& Log() const { return mLog; }

  void Start()
  {
    gStarted.push_back(this);
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int log = open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, 1);
      dup2(log, 2);
      setenv("CARAWAYSTACK_BOOT", mSettings.c_str(), 1);
      execl("target/bin/carawayd-entry",
            "target/bin/carawayd-entry",
            static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
    }
  }
  bool Running()
  {
    int status = 0;
    if (mPid > 0 && waitpid(mPid, &status, WNOHANG) == mPid) {
      mPid = -1;
      mStatus = status;
    }
    return mPid > 0;
  }
  void Kill()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
      mPid = -1;
      WriteLater();
    }
  }
  int ExitStatus() const { return mStatus; }
  // What the platform's GET /ready is answered with; 0 = no answer.
  int Ready()
  {
    int fd = Connect(mIp, mBase + 17, 0.5);
    if (fd < 0) {
      return 0;
    }
    Message answer;
    Reader reader(fd);
    SendAll(fd, "GET /ready HTTP/1.1\r\nHost: " + mIp + "\r\n\r\n");
    reader.Head(answer, Now() + 1);
    close(fd);
    return answer.Status();
  }
  bool AwaitReady(double aWithin = 10)
  {
    double by = Now() + aWithin;
    while (Now() < by) {
      if (Ready() == 200) {
        return true;
      }
      Sleep(0.05);
    }
    return false;
  }

private:
  string mName;
  string mIp;
  int mBase;
  string mSettings;
  string mLog;
  string mText;
  pid_t mPid = -1;
  int mStatus = 0;
};

// A range of 20 ports that nobody listens on, on all addresses of the entries.
// A socket of this process keeps other cases from the range.
inline int
FreePorts()
{
  std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 200; ++tries) {
    int base = 21000 + static_cast<int>(random() % 400) * 25;
    int lock = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf("127.0.0.1", base);
    bool free =
      bind(lock, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    for (int host = 11; host < 20 && free; ++host) {
      for (int port = base; port < base + 20 && free; ++port) {
        int fd = Listen("127.0.0." + std::to_string(host), port);
        free = fd >= 0;
        if (fd >= 0) {
          close(fd);
        }
      }
    }
    if (free) {
      return base;
    }
    close(lock);
  }
  std::fprintf(stderr, "no free ports\n");
  std::_Exit(2);
}

// ---- Clients

struct Reply
{
  bool mConnected = false;
  bool mSent = false;
  Message mMessage;
  bool mReset = false;
  double mSentAt = 0;
  double mDoneAt = 0;
  int Status() const { return mMessage.Status(); }
  bool Whole() const { return mMessage.mWhole; }
  const char* How() const
  {
    return !mConnected               ? "no connection"
           : mMessage.mFirst.empty() ? "no answer"
           : !mMessage.mWhole        ? "broken off"
                                     : "whole";
  }
};

// One request on a connection of its own.
inline Reply
Call(const string& aIp,
     int aPort,
     const string& aMethod,
     const string& aTarget,
     const std::vector<std::pair<string, string>>& aFields,
     const string& aBody,
     double aWithin)
{
  Reply reply;
  reply.mSentAt = Now();
  double by = Now() + aWithin;
  int fd = Connect(aIp, aPort, 1);
  if (fd < 0) {
    reply.mDoneAt = Now();
    return reply;
  }
  reply.mConnected = true;
  string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  reply.mSent = SendAll(fd, text + "\r\n" + aBody);
  Reader reader(fd);
  if (reader.Head(reply.mMessage, by)) {
    reader.Body(reply.mMessage, by, true);
  } else {
    reply.mMessage.mFirst.clear();
  }
  reply.mReset = reader.mReset;
  reply.mDoneAt = Now();
  close(fd);
  return reply;
}

// ---- A case

inline bool
Trouble()
{
  const char* text = std::getenv("TROUBLE");
  return !text || string(text) != "0";
}

// Opens the record and makes the temporary folder. aArguments: the record.
inline void
Begin(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  gRecord = aCount > 1 ? std::fopen(aArguments[1], "w") : stdout;
  char folder[] = "/tmp/carawaystack-review-XXXXXX";
  if (!gRecord || !mkdtemp(folder)) {
    std::_Exit(2);
  }
  gFolder = folder;
  Record("trouble: %s", Trouble() ? "yes" : "no");
}

inline int
End(int aCode, const char* aWhy)
{
  Record("%s: %s",
         aCode == 1   ? "BROKEN"
         : aCode == 0 ? "held"
                      : "failed",
         aWhy);
  std::printf("%s: %s\n",
              aCode == 1   ? "BROKEN"
              : aCode == 0 ? "held"
                           : "failed",
              aWhy);
  std::fflush(nullptr);
  for (Entry* entry : gStarted) {
    entry->Kill();
  }
  if (!std::getenv("KEEP")) {
    string command = "rm -rf '" + gFolder + "'";
    if (std::system(command.c_str()) != 0) {
      std::perror("rm");
    }
  } else {
    std::printf("%s\n", gFolder.c_str());
  }
  std::fflush(nullptr);
  std::_Exit(aCode);
}

} // namespace world

#endif
