// Standin.h: small stand-ins for the platform's store, servers and clients, by
// PROTOCOL.md, and the start of the project's own instances. Header only; needs
// a C++17 compiler and POSIX.
#ifndef review_Standin_h
#define review_Standin_h

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::string;

inline Clock::time_point
StartTime()
{
  static Clock::time_point sStart = Clock::now();
  return sStart;
}

// Milliseconds since the start of the script.
inline double
NowMs()
{
  return std::chrono::duration<double, std::milli>(Clock::now() - StartTime())
    .count();
}

inline int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(double aMs)
{
  std::this_thread::sleep_for(std::chrono::microseconds(int64_t(aMs * 1000)));
}

// record.txt: what was sent, answered and run.
class Record
{
public:
  static Record& Get()
  {
    static Record sRecord;
    return sRecord;
  }
  void Open(const string& aPath) { mFile = std::fopen(aPath.c_str(), "w"); }
  void Line(const string& aText)
  {
    std::lock_guard<std::mutex> lock(mLock);
    if (mFile) {
      std::fprintf(mFile, "%10.1f %s\n", NowMs(), aText.c_str());
      std::fflush(mFile);
    }
  }

private:
  std::FILE* mFile = nullptr;
  std::mutex mLock;
};

inline void
Note(const string& aText)
{
  Record::Get().Line(aText);
}

inline bool
Trouble()
{
  const char* value = std::getenv("TROUBLE");
  return !value || string(value) != "0";
}

// ---- JSON: enough to find fields; values are kept as raw text.

struct Json
{
  // Returns the raw text of a member of the object aText, "" if missing.
  static string Get(const string& aText, const string& aName)
  {
    size_t at = Skip(aText, 0);
    if (at >= aText.size() || aText[at] != '{') {
      return "";
    }
    at = Skip(aText, at + 1);
    while (at < aText.size() && aText[at] != '}') {
      size_t end = EndOf(aText, at);
      string name = aText.substr(at + 1, end - at - 2);
      at = Skip(aText, end);
      at = Skip(aText, at + 1); // colon
      end = EndOf(aText, at);
      if (name == aName) {
        return aText.substr(at, end - at);
      }
      at = Skip(aText, end);
      if (at < aText.size() && aText[at] == ',') {
        at = Skip(aText, at + 1);
      }
    }
    return "";
  }
  static string Text(const string& aText, const string& aName)
  {
    string raw = Get(aText, aName);
    return raw.size() >= 2 && raw[0] == '"' ? raw.substr(1, raw.size() - 2)
                                            : "";
  }
  static int64_t Int(const string& aText, const string& aName)
  {
    return std::atoll(Get(aText, aName).c_str());
  }

private:
  static size_t Skip(const string& aText, size_t aAt)
  {
    while (aAt < aText.size() && std::isspace((unsigned char)aText[aAt])) {
      ++aAt;
    }
    return aAt;
  }
  static size_t EndOf(const string& aText, size_t aAt)
  {
    size_t at = aAt;
    if (at < aText.size() && aText[at] == '"') {
      for (++at; at < aText.size() && aText[at] != '"'; ++at) {
        at += aText[at] == '\\' ? 1 : 0;
      }
      return at + 1;
    }
    int depth = 0;
    for (; at < aText.size(); ++at) {
      char c = aText[at];
      if (c == '"') {
        at = EndOf(aText, at) - 1;
      } else if (c == '{' || c == '[') {
        ++depth;
      } else if (c == '}' || c == ']') {
        if (depth == 0) {
          return at;
        }
        if (--depth == 0) {
          return at + 1;
        }
      } else if (depth == 0 && (c == ',' || std::isspace((unsigned char)c))) {
        return at;
      }
    }
    return at;
  }
};

// ---- Sockets

struct Message // a request or an answer
{
  string mFirst; // request line or status line
  std::vector<std::pair<string, string>> mFields;
  string mBody;

  string Field(const string& aName) const
  {
    for (const auto& [name, value] : mFields) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  string Method() const { return mFirst.substr(0, mFirst.find(' ')); }
  string Target() const
  {
    size_t at = mFirst.find(' ') + 1;
    return mFirst.substr(at, mFirst.rfind(' ') - at);
  }
  int Status() const
  {
    return mFirst.size() > 12 ? std::atoi(mFirst.c_str() + 9) : 0;
  }
};

// One connection with a read buffer.
class Conn
{
public:
  explicit Conn(int aFd)
    : mFd(aFd)
  {
    int one = 1;
    setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Conn() { Close(); }
  Conn(const Conn&) = delete;

  void Close()
  {
    int fd = mFd.exchange(-1);
    if (fd >= 0) {
      close(fd);
    }
  }
  void Reset()
  {
    linger hard{ 1, 0 };
    setsockopt(mFd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    Close();
  }
  void Shutdown()
  {
    if (mFd >= 0) {
      shutdown(mFd, SHUT_RDWR);
    }
  }
  bool Send(const string& aBytes)
  {
    size_t done = 0;
    while (done < aBytes.size()) {
      ssize_t sent =
        send(mFd, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      done += size_t(sent);
    }
    return true;
  }
  // Returns false at the end of the connection or after aMs.
  bool More(double aMs)
  {
    pollfd wait{ mFd, POLLIN, 0 };
    if (poll(&wait, 1, aMs < 0 ? -1 : int(aMs) + 1) <= 0) {
      mTimedOut = true;
      return false;
    }
    char bytes[16384];
    ssize_t count = recv(mFd, bytes, sizeof bytes, 0);
    mReset = count < 0;
    if (count <= 0) {
      return false;
    }
    mIn.append(bytes, size_t(count));
    return true;
  }
  // Whether the peer has closed the connection.
  bool PeerClosed()
  {
    pollfd wait{ mFd, POLLIN, 0 };
    if (poll(&wait, 1, 0) <= 0) {
      return false;
    }
    char byte;
    return recv(mFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
  }
  // Reads head and body. aUntil in ms since the start; -1 = no limit.
  bool Read(Message& aMessage, double aUntil = -1, bool aAnswer = false)
  {
    auto left = [aUntil] { return aUntil < 0 ? -1 : aUntil - NowMs(); };
    size_t end;
    while ((end = mIn.find("\r\n\r\n")) == string::npos) {
      if ((aUntil >= 0 && left() <= 0) || !More(left())) {
        return false;
      }
    }
    std::istringstream head(mIn.substr(0, end + 2));
    mIn.erase(0, end + 4);
    aMessage = Message();
    string line;
    auto next = [&] {
      bool good = bool(std::getline(head, line));
      while (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      return good;
    };
    next();
    aMessage.mFirst = line;
    while (next()) {
      size_t colon = line.find(':');
      if (colon != string::npos) {
        size_t value = line.find_first_not_of(' ', colon + 1);
        aMessage.mFields.push_back(
          { line.substr(0, colon),
            value == string::npos ? "" : line.substr(value) });
      }
    }
    string length = aMessage.Field("Content-Length");
    bool chunked = aMessage.Field("Transfer-Encoding") == "chunked";
    if (chunked) {
      while (true) {
        size_t eol;
        while ((eol = mIn.find("\r\n")) == string::npos) {
          if ((aUntil >= 0 && left() <= 0) || !More(left())) {
            return false;
          }
        }
        size_t size = std::strtoul(mIn.c_str(), nullptr, 16);
        while (mIn.size() < eol + 2 + size + 2) {
          if ((aUntil >= 0 && left() <= 0) || !More(left())) {
            return false;
          }
        }
        aMessage.mBody += mIn.substr(eol + 2, size);
        mIn.erase(0, eol + 2 + size + 2);
        if (size == 0) {
          return true;
        }
      }
    }
    size_t need =
      length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    if (aAnswer && length.empty()) {
      while (More(left())) {
      }
      aMessage.mBody = mIn;
      mIn.clear();
      return !mTimedOut && !mReset;
    }
    while (mIn.size() < need) {
      if ((aUntil >= 0 && left() <= 0) || !More(left())) {
        return false;
      }
    }
    aMessage.mBody = mIn.substr(0, need);
    mIn.erase(0, need);
    return true;
  }
  int Fd() const { return mFd; }
  string mIn;
  bool mTimedOut = false;
  bool mReset = false;

private:
  std::atomic<int> mFd;
};
using ConnPtr = std::shared_ptr<Conn>;

inline sockaddr_in
SockAddress(const string& aAddress)
{
  sockaddr_in address{};
  size_t colon = aAddress.find(':');
  address.sin_family = AF_INET;
  address.sin_port = htons(uint16_t(std::atoi(aAddress.c_str() + colon + 1)));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

inline ConnPtr
Connect(const string& aAddress)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = SockAddress(aAddress);
  if (connect(fd, (sockaddr*)&address, sizeof address) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_shared<Conn>(fd);
}

// A port that is free now, with its neighbour, below those that the system
// gives to outgoing connections. Each script locks a range of ports by binding
// its first one, so that scripts that run at once use different ports.
inline int
FreePort()
{
  constexpr int kFirst = 20000;
  constexpr int kRange = 200;
  constexpr int kRanges = 60;
  auto bound = [](int aPort) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = SockAddress("127.0.0.1:" + std::to_string(aPort));
    if (bind(fd, (sockaddr*)&address, sizeof address) == 0) {
      return fd;
    }
    close(fd);
    return -1;
  };
  static int sNext = 0;
  if (sNext == 0) {
    int start = int(std::random_device{}() % kRanges);
    for (int i = 0; i < kRanges && sNext == 0; ++i) {
      int first = kFirst + (start + i) % kRanges * kRange;
      // The lock is kept until the process ends.
      sNext = bound(first) >= 0 ? first + 2 : 0;
    }
  }
  for (; sNext > 0 && sNext % kRange < kRange - 2; sNext += 2) {
    int one = bound(sNext);
    int two = bound(sNext + 1);
    close(one);
    close(two);
    if (one >= 0 && two >= 0) {
      sNext += 2;
      return sNext - 2;
    }
  }
  std::fprintf(stderr, "no free ports\n");
  std::_Exit(2);
}

// Accepts connections and runs aServe for each on a thread of its own.
class Listener
{
public:
  explicit Listener(std::function<void(ConnPtr)> aServe,
                    const string& aAt = "127.0.0.1:0")
  {
    mFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(mFd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = SockAddress(aAt);
    if (bind(mFd, (sockaddr*)&address, sizeof address) != 0 ||
        listen(mFd, 256) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t size = sizeof address;
    getsockname(mFd, (sockaddr*)&address, &size);
    mAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    std::thread([fd = mFd, aServe] {
      while (true) {
        int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
          return;
        }
        std::thread([aServe, client] {
          aServe(std::make_shared<Conn>(client));
        }).detach();
      }
    }).detach();
  }
  const string& Address() const { return mAddress; }

private:
  int mFd;
  string mAddress;
};

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

// ---- The platform's store

class Store
{
public:
  Store()
    : mListener([this](ConnPtr aConn) { Serve(aConn); })
  {
  }
  const string& Address() const { return mListener.Address(); }

  // As the operator or a server writes; returns the revision.
  int64_t Put(const string& aKind, const string& aName, const string& aSpec)
  {
    std::lock_guard<std::mutex> lock(mLock);
    return Change(aKind, aName, aSpec);
  }
  void Remove(const string& aKind, const string& aName)
  {
    std::lock_guard<std::mutex> lock(mLock);
    Erase(aKind, aName);
  }
  string Spec(const string& aKind, const string& aName)
  {
    std::lock_guard<std::mutex> lock(mLock);
    auto found = mObjects[aKind].find(aName);
    return found == mObjects[aKind].end() ? "" : found->second.mSpec;
  }

private:
  struct Object
  {
    string mSpec;
    int64_t mRevision = 0;
    int64_t mCreated = 0;
  };
  struct Event
  {
    int64_t mRevision;
    string mKind;
    string mText;
  };
  static string Text(const string& aName, const Object& aObject)
  {
    return "{\"metadata\":{\"name\":\"" + aName +
           "\",\"revision\":" + std::to_string(aObject.mRevision) +
           ",\"createRevision\":" + std::to_string(aObject.mCreated) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + aObject.mSpec +
           ",\"status\":null}";
  }
  int64_t Change(const string& aKind, const string& aName, const string& aSpec)
  {
    Object& object = mObjects[aKind][aName];
    if (object.mRevision > 0 && object.mSpec == aSpec) {
      return object.mRevision; // changes nothing
    }
    object.mSpec = aSpec;
    object.mRevision = ++mRevision;
    object.mCreated = object.mCreated ? object.mCreated : mRevision;
    mEvents.push_back(
      { mRevision,
        aKind,
        "{\"removed\":false,\"object\":" + Text(aName, object) + "}" });
    mChanged.notify_all();
    return object.mRevision;
  }
  void Erase(const string& aKind, const string& aName)
  {
    auto found = mObjects[aKind].find(aName);
    if (found == mObjects[aKind].end()) {
      return;
    }
    Object object = found->second;
    object.mRevision = ++mRevision;
    mObjects[aKind].erase(found);
    mEvents.push_back(
      { mRevision,
        aKind,
        "{\"removed\":true,\"object\":" + Text(aName, object) + "}" });
    mChanged.notify_all();
  }
  static string Param(const string& aQuery, const string& aName)
  {
    size_t at = ("&" + aQuery).find("&" + aName + "=");
    if (at == string::npos) {
      return "";
    }
    at += aName.size() + 1;
    return aQuery.substr(at, aQuery.find('&', at) - at);
  }
  void Serve(ConnPtr aConn)
  {
    Message call;
    while (aConn->Read(call)) {
      SleepMs(4);
      string body;
      int status = Handle(call, body);
      string type = "application/json";
      if (!aConn->Send(Answer(status, { { "Content-Type", type } }, body))) {
        return;
      }
    }
  }
  int Handle(const Message& aCall, string& aBody)
  {
    string target = aCall.Target();
    size_t question = target.find('?');
    string query = question == string::npos ? "" : target.substr(question + 1);
    string path = target.substr(0, question);
    const string prefix = "/objects/";
    if (path.compare(0, prefix.size(), prefix) != 0) {
      return 404;
    }
    path.erase(0, prefix.size());
    size_t slash = path.find('/');
    string kind = path.substr(0, slash);
    string name = slash == string::npos ? "" : path.substr(slash + 1);
    std::unique_lock<std::mutex> lock(mLock);
    if (aCall.Method() == "GET") {
      return Get(lock, kind, name, query, aBody);
    }
    string meta = Json::Get(aCall.mBody, "metadata");
    string spec = Json::Get(aCall.mBody, "spec");
    int64_t revision = Json::Int(meta, "revision");
    if (aCall.Method() == "POST") {
      name = Json::Text(meta, "name");
    }
    auto& objects = mObjects[kind];
    auto found = objects.find(name);
    bool exists = found != objects.end();
    if (aCall.Method() == "DELETE") {
      revision = std::atoll(Param(query, "revision").c_str());
    }
    if (aCall.Method() == "POST"
          ? exists
          : exists && revision > 0 && found->second.mRevision != revision) {
      aBody = Text(name, found->second);
      return 409;
    }
    if (aCall.Method() != "POST" && !exists) {
      return 404;
    }
    if (aCall.Method() == "DELETE") {
      Erase(kind, name);
      return 200;
    }
    Change(kind, name, spec.empty() ? "null" : spec);
    aBody = Text(name, objects[name]);
    return 200;
  }
  int Get(std::unique_lock<std::mutex>& aLock,
          const string& aKind,
          const string& aName,
          const string& aQuery,
          string& aBody)
  {
    if (!aName.empty()) {
      auto found = mObjects[aKind].find(aName);
      if (found == mObjects[aKind].end()) {
        return 404;
      }
      aBody = Text(aName, found->second);
      return 200;
    }
    string watch = Param(aQuery, "watch");
    if (watch.empty()) {
      string after = Param(aQuery, "after");
      string items;
      for (const auto& [name, object] : mObjects[aKind]) {
        if (name > after) {
          items += (items.empty() ? "" : ",") + Text(name, object);
        }
      }
      aBody = "{\"items\":[" + items +
              "],\"more\":false,\"asOf\":" + std::to_string(mRevision) + "}";
      return 200;
    }
    int64_t from = std::atoll(watch.c_str());
    auto until = Clock::now() + std::chrono::milliseconds(
                                  std::atoll(Param(aQuery, "waitMs").c_str()));
    while (true) {
      string events;
      for (const Event& event : mEvents) {
        if (event.mRevision > from && event.mKind == aKind) {
          events += (events.empty() ? "" : ",") + event.mText;
        }
      }
      if (!events.empty() || Clock::now() >= until) {
        aBody = "{\"events\":[" + events +
                "],\"asOf\":" + std::to_string(mRevision) + "}";
        return 200;
      }
      mChanged.wait_until(aLock, until);
    }
  }

  std::mutex mLock;
  std::condition_variable mChanged;
  std::map<string, std::map<string, Object>> mObjects;
  std::deque<Event> mEvents;
  int64_t mRevision = 100;
  Listener mListener;
};

// ---- A proxy between one machine and the store

// While it is cut, connections are reset and new ones too.
class Proxy
{
public:
  explicit Proxy(string aTarget)
    : mTarget(std::move(aTarget))
    , mListener([this](ConnPtr aConn) { Serve(aConn); })
  {
  }
  const string& Address() const { return mListener.Address(); }
  void Cut(bool aCut)
  {
    std::lock_guard<std::mutex> lock(mLock);
    mCut = aCut;
    if (aCut) {
      for (auto& weak : mOpen) {
        if (ConnPtr conn = weak.lock()) {
          conn->Shutdown();
        }
      }
      mOpen.clear();
    }
  }

private:
  void Serve(ConnPtr aConn)
  {
    ConnPtr out = Connect(mTarget);
    {
      std::lock_guard<std::mutex> lock(mLock);
      if (mCut || !out) {
        aConn->Reset();
        return;
      }
      mOpen.push_back(aConn);
      mOpen.push_back(out);
    }
    std::thread back([aConn, out] { Copy(*out, *aConn); });
    Copy(*aConn, *out);
    back.join();
    if (mCut) {
      aConn->Reset();
    }
  }
  static void Copy(Conn& aFrom, Conn& aTo)
  {
    while (aFrom.More(-1)) {
      if (!aTo.Send(aFrom.mIn)) {
        break;
      }
      aFrom.mIn.clear();
    }
    aFrom.Shutdown();
    aTo.Shutdown();
  }

  string mTarget;
  std::mutex mLock;
  std::atomic<bool> mCut{ false };
  std::vector<std::weak_ptr<Conn>> mOpen;
  Listener mListener;
};

// ---- The project's own instances

// Settings like those of the deployment 'paso-blanco'.
struct Machine
{
  string mName;
  string mZone;
  int mFront = 0;
  int mReady = 0;
  int mControl = 0;
  int mInternal = 0;
  pid_t mPid = -1;
  string mStore; // address of the store for this machine; "" = the store's

  string FrontAddress() const { return "127.0.0.1:" + std::to_string(mFront); }
};

class Platform
{
public:
  explicit Platform(Store& aStore)
    : mStore(aStore)
  {
    char folder[] = "/tmp/review-XXXXXX";
    mFolder = mkdtemp(folder);
    for (const char* zone : { "mendoza-a", "uspallata-b", "sanjuan-c" }) {
      for (int i = 1; i <= 2; ++i) {
        Machine machine;
        machine.mZone = zone;
        machine.mName = string("front-") + zone + "-" + std::to_string(i);
        machine.mFront = FreePort();
        machine.mReady = FreePort();
        machine.mControl = FreePort();
        machine.mInternal = FreePort();
        mMachines.push_back(machine);
      }
    }
  }
  ~Platform() { EndAll(); }

  void EndAll()
  {
    for (Machine& machine : mMachines) {
      if (machine.mPid > 0) {
        kill(machine.mPid, SIGCONT);
        kill(machine.mPid, SIGKILL);
        waitpid(machine.mPid, nullptr, 0);
        machine.mPid = -1;
      }
    }
    if (std::getenv("KEEP_LOGS")) {
      std::fprintf(stderr, "logs are in %s\n", mFolder.c_str());
      return;
    }
    string remove = "rm -rf '" + mFolder + "'";
    if (std::system(remove.c_str()) != 0) {
      std::fprintf(stderr, "left behind: %s\n", mFolder.c_str());
    }
  }
  string Settings(const Machine& aMachine) const
  {
    std::ostringstream text;
    auto address = [](int aPort) {
      return "\"127.0.0.1:" + std::to_string(aPort) + "\"";
    };
    text << "nodeName = \"" << aMachine.mName << "\"\n"
         << "role = \"entry\"\nmachineClass = \"front\"\n"
         << "serves = [\"front\"]\nip = \"127.0.0.1\"\n"
         << "zone = \"" << aMachine.mZone << "\"\nregion = \"cuyo\"\n"
         << "internalPorts = [" << aMachine.mInternal << ","
         << aMachine.mInternal + 1 << "]\nseeds = []\n"
         << "bootstrap = true\ninFaultBudget = false\n"
         << "discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
         << "\"recover\",\"fleet\",\"stream\",\"engine\",\"tenants\","
         << "\"quota\",\"platform\"]\n"
         << "[zones]\nmendoza-a = \"cuyo\"\nuspallata-b = \"cuyo\"\n"
         << "sanjuan-c = \"cuyo\"\n"
         << "[listen]\nfront = " << address(aMachine.mFront)
         << "\nreadinessAddr = " << address(aMachine.mReady)
         << "\ncontrol = " << address(aMachine.mControl) << "\n"
         << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n"
         << "maxFds = 4200\nlinkMbps = 1000.0\ndiskMb = 0\n"
         << "[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
         << "[bounds]\nseedLagS = 3\naddrReuseS = 2\nstableWindowMs = 3000\n"
         << "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n"
         << "lossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n"
         << "maxStretchMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\n"
         << "retryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
         << "retryBudgetSlack = 52\nquotaWindowS = 8\nquotaOverage = 0.1\n"
         << "quotaSlack = 17000\nrecoveryS = 12\npassMs = 120\n"
         << "retryAfterS = 0\nrequireFence = false\nleaseMs = 3000\n"
         << "thawSlackMs = 300\nceilingWindowS = 5\nceilingOverage = 1.1\n"
         << "[platform]\naddress = \""
         << (aMachine.mStore.empty() ? mStore.Address() : aMachine.mStore)
         << "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\n"
         << "historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
    return text.str();
  }
  void Start(Machine& aMachine)
  {
    string path = mFolder + "/" + aMachine.mName + ".toml";
    std::ofstream(path) << Settings(aMachine);
    string log = mFolder + "/" + aMachine.mName + ".log";
    const char* program = std::getenv("ENTRY_PROGRAM");
    string run = program ? program : "target/bin/carawayd-entry";
    pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      std::FILE* out = std::freopen(log.c_str(), "a", stdout);
      dup2(fileno(out), 2);
      setenv("CARAWAYSTACK_BOOT", path.c_str(), 1);
      execl(run.c_str(), run.c_str(), (char*)nullptr);
      std::perror("exec");
      _exit(127);
    }
    aMachine.mPid = pid;
    Note("start " + aMachine.mName + " pid " + std::to_string(pid));
  }
  void StartAll()
  {
    for (Machine& machine : mMachines) {
      Start(machine);
    }
  }
  bool Ready(const Machine& aMachine) const
  {
    ConnPtr conn = Connect("127.0.0.1:" + std::to_string(aMachine.mReady));
    Message answer;
    return conn &&
           conn->Send("GET /ready HTTP/1.1\r\nHost: ready\r\n"
                      "Connection: close\r\n\r\n") &&
           conn->Read(answer, NowMs() + 1000, true) && answer.Status() == 200;
  }
  // The value of one of the machine's own metrics, -1 if it has none.
  double Metric(const Machine& aMachine, const string& aName) const
  {
    ConnPtr conn =
      Connect("127.0.0.1:" + std::to_string(aMachine.mInternal + 1));
    Message answer;
    if (!conn ||
        !conn->Send("GET /metrics HTTP/1.1\r\nHost: metrics\r\n"
                    "Connection: close\r\n\r\n") ||
        !conn->Read(answer, NowMs() + 1000, true)) {
      return -1;
    }
    size_t at = answer.mBody.find("\n" + aName + " ");
    return at == string::npos
             ? -1
             : std::atof(answer.mBody.c_str() + at + aName.size() + 2);
  }
  bool AwaitReady(double aWithinMs)
  {
    double until = NowMs() + aWithinMs;
    while (NowMs() < until) {
      bool all = true;
      for (const Machine& machine : mMachines) {
        all = all && Ready(machine);
      }
      if (all) {
        Note("all instances are ready");
        return true;
      }
      SleepMs(100);
    }
    return false;
  }
  bool AllRun() const
  {
    bool all = true;
    for (const Machine& machine : mMachines) {
      if (machine.mPid > 0 && waitpid(machine.mPid, nullptr, WNOHANG) != 0) {
        Note("ENDED BY ITSELF: " + machine.mName);
        all = false;
      }
    }
    return all;
  }

  std::vector<Machine> mMachines;
  const string& Folder() const { return mFolder; }

private:
  Store& mStore;
  string mFolder;
};

// ---- A plain server (orders service), by PROTOCOL.md

struct Run // or an arrival
{
  string mId;
  double mAtMs;
};

class PlainServer
{
public:
  PlainServer(Store& aStore,
              string aId,
              string aService,
              string aZone,
              int aSlots,
              int aQueue,
              double aWorkMs)
    : mId(std::move(aId))
    , mService(std::move(aService))
    , mZone(std::move(aZone))
    , mSlots(aSlots)
    , mQueue(aQueue)
    , mWorkMs(aWorkMs)
    , mBorn(UnixMs())
    , mStore(aStore)
    , mListener([this](ConnPtr aConn) { Serve(aConn); })
  {
  }
  const string& Id() const { return mId; }
  // Writes the entry; returns when the store has accepted it.
  void Register(const string& aState)
  {
    std::lock_guard<std::mutex> lock(mEntryLock);
    mState = aState;
    mStore.Put("servers", mId, Entry());
  }
  // Its entry is removed without a report that it drains; it serves on.
  void Leave()
  {
    std::lock_guard<std::mutex> lock(mEntryLock);
    mGone = true;
    mStore.Remove("servers", mId);
    mLeftMs = NowMs();
    Note("ACKNOWLEDGED: " + mId + " is gone from the list");
  }
  double LeftMs() const { return mLeftMs; } // -1 = it has not left
  // Heartbeats: the entry with the next sequence.
  void Beat()
  {
    std::lock_guard<std::mutex> lock(mEntryLock);
    if (mGone) {
      return;
    }
    ++mSequence;
    mStore.Put("servers", mId, Entry());
  }
  // Requests that arrived, with the time of arrival; all, and those run.
  std::vector<Run> Arrivals()
  {
    std::lock_guard<std::mutex> lock(mLock);
    return mArrivals;
  }
  std::vector<Run> Runs()
  {
    std::lock_guard<std::mutex> lock(mLock);
    return mRuns;
  }
  // Decides whether an answer is followed by a second one, which is sent where
  // the next answer on the connection is expected.
  std::function<bool(int aStatus)> mExtraLate = [](int) { return false; };

private:
  string Entry() const
  {
    return "{\"service\":\"" + mService + "\",\"address\":\"" +
           mListener.Address() + "\",\"zone\":\"" + mZone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(mSlots) +
           ",\"state\":\"" + mState +
           "\",\"coldLeftMs\":0,\"sequence\":" + std::to_string(mSequence) +
           ",\"born\":" + std::to_string(mBorn) + "}";
  }
  void Serve(ConnPtr aConn)
  {
    Message request;
    string late; // a second answer to the last request
    while (aConn->Read(request)) {
      double arrived = NowMs();
      string id = request.Field("Attempt-Id");
      string target = request.Target();
      if (target == "/health") {
        aConn->Send(Answer(200, { { "Instance-Id", mId } }, ""));
        continue;
      }
      if (!late.empty()) {
        aConn->Send(late);
        late.clear();
      }
      std::vector<std::pair<string, string>> fields;
      if (!id.empty()) {
        fields.push_back({ "Attempt-Id", id });
      }
      fields.push_back({ "Keep-Alive", "timeout=5" });
      int status = 0;
      string body;
      if (request.Field("Expect-Instance") != mId) {
        status = 421;
        fields.push_back({ "Instance-Id", mId });
      } else if (id.empty()) {
        status = 400;
        fields.push_back({ "Not-Executed", "1" });
      } else {
        status = Work(*aConn, request, id, arrived);
        if (status == 0) {
          return; // the connection was closed meanwhile: the run is dropped
        }
        if (status == 200) {
          body = "result of " + id;
          fields.push_back({ "Server-Seal", "seal." + mId + "." + id });
        } else {
          fields.push_back({ "Not-Executed", "1" });
        }
      }
      string text = Answer(status, fields, body);
      Note("answer " + mId + " " + id + " " + std::to_string(status));
      if (!aConn->Send(text)) {
        return;
      }
      if (mExtraLate(status)) {
        late = text;
        Note("extra  " + mId + " " + id + " " + std::to_string(status) +
             " will be sent once more");
      }
    }
  }
  // Returns 200 if it ran, 503 if it didn't, 0 if its connection was closed.
  int Work(Conn& aConn, const Message& aRequest, const string& aId, double aAt)
  {
    double deadline =
      aRequest.Field("Deadline-Remaining").empty()
        ? 1e12
        : aAt + std::atof(aRequest.Field("Deadline-Remaining").c_str());
    {
      std::unique_lock<std::mutex> lock(mLock);
      mArrivals.push_back({ aId, aAt });
      if (mRunning + mWaiting >= mSlots + mQueue) {
        return 503;
      }
      ++mWaiting;
      while (mRunning >= mSlots) {
        mFree.wait_for(lock, std::chrono::milliseconds(5));
        if (NowMs() > deadline) {
          --mWaiting;
          return 503;
        }
      }
      --mWaiting;
      ++mRunning;
      mRuns.push_back({ aId, NowMs() });
      Note("run    " + mId + " " + aId);
    }
    // Of the same mean as the sites state it, with their spread of 0.5.
    thread_local std::mt19937 sRandom{ std::random_device{}() };
    std::lognormal_distribution<double> spread(-0.125, 0.5);
    double until = NowMs() + mWorkMs * std::min(spread(sRandom), 5.0);
    bool closed = false;
    while (NowMs() < until && !closed) {
      SleepMs(std::min(10.0, std::max(0.5, until - NowMs())));
      closed = aConn.PeerClosed();
    }
    std::lock_guard<std::mutex> lock(mLock);
    --mRunning;
    mFree.notify_one();
    return closed ? 0 : 200;
  }

  string mId;
  string mService;
  string mZone;
  string mState = "ready";
  bool mGone = false;
  std::atomic<double> mLeftMs{ -1 };
  int mSlots;
  int mQueue;
  double mWorkMs;
  int64_t mBorn;
  int64_t mSequence = 1;
  Store& mStore;
  std::mutex mEntryLock;
  std::mutex mLock;
  std::condition_variable mFree;
  int mRunning = 0;
  int mWaiting = 0;
  std::vector<Run> mArrivals;
  std::vector<Run> mRuns;
  Listener mListener;
};

// ---- Clients

struct Outcome
{
  string mId;
  double mSentMs = 0;
  double mEndMs = 0;
  int mStatus = 0; // 0 = no complete answer
  string mSeal;
  string mBody;
  string mAnsweredId;
  double mRetryAfterS = 0;
  bool mClose = false;
};

inline string
NewId()
{
  static std::atomic<uint64_t> sNext{ (uint64_t(getpid()) << 32) + 1 };
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", (unsigned long long)sNext++);
  return text;
}

// One client attempt on aConn, or on a new connection if there is none.
inline Outcome
Call(ConnPtr& aConn,
     const string& aFront,
     const string& aMethod,
     const string& aTarget,
     const string& aKey,
     int aDeadlineMs,
     const string& aBody,
     const std::vector<std::pair<string, string>>& aFields = {})
{
  Outcome outcome;
  outcome.mId = NewId();
  outcome.mSentMs = NowMs();
  if (!aConn) {
    aConn = Connect(aFront);
  }
  if (!aConn) {
    outcome.mEndMs = NowMs();
    return outcome;
  }
  string text =
    aMethod + " " + aTarget + " HTTP/1.1\r\nHost: ficu95.example\r\n";
  text += "Attempt-Id: " + outcome.mId + "\r\n";
  text += "Deadline-Remaining: " + std::to_string(aDeadlineMs) + "\r\n";
  text += "Authorization: Bearer " + aKey + "\r\n";
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  if (!aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  Note("send   " + outcome.mId + " " + aMethod + " " + aTarget);
  Message answer;
  bool whole = aConn->Send(text + "\r\n" + aBody) &&
               aConn->Read(answer, outcome.mSentMs + aDeadlineMs, true);
  outcome.mEndMs = NowMs();
  if (whole) {
    outcome.mStatus = answer.Status();
    outcome.mSeal = answer.Field("Server-Seal");
    outcome.mBody = answer.mBody;
    outcome.mAnsweredId = answer.Field("Attempt-Id");
    outcome.mRetryAfterS = std::atof(answer.Field("Retry-After").c_str());
    outcome.mClose = answer.Field("Connection") == "close";
  }
  Note("got    " + outcome.mId + " " + std::to_string(outcome.mStatus) +
       (outcome.mSeal.empty() ? " without seal" : " " + outcome.mSeal));
  if (!whole || outcome.mClose) {
    aConn.reset();
  }
  return outcome;
}

// The configuration: /puxa403/ unsafe and /cufi504/ safe, both to wuno96b.
inline string
PlainConfig(int aVersion, int aTimeoutMs = 1500, int aAttempts = 2)
{
  auto route = [&](const char* aName, const char* aPrefix, const char* aKind) {
    return string("{\"name\":\"") + aName +
           "\",\"host\":\"ficu95.example\",\"pathPrefix\":\"" + aPrefix +
           "\",\"kind\":\"" + aKind +
           "\",\"timeoutMs\":" + std::to_string(aTimeoutMs) +
           ",\"targetLatencyMs\":300,\"priority\":2,\"service\":\"wuno96b\","
           "\"maxAttempts\":" +
           std::to_string(aAttempts) +
           ",\"anonymous\":false,\"sessionAffinity\":false,"
           "\"resumable\":false}";
  };
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" +
         route("r-order", "/puxa403/", "unsafe") + "," +
         route("r-read", "/cufi504/", "safe") +
         "],\"services\":[{\"name\":\"wuno96b\",\"healthPath\":\"/health\","
         "\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
         "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":"
         "[\"i9n73hh2b9wu3fexd9dn\"],\"priority\":1,\"unit\":\"tokens\","
         "\"plainTokens\":200,\"ratePerS\":790730,\"burst\":790730}]}";
}

inline const char* kKey = "i9n73hh2b9wu3fexd9dn";

// Sends heartbeats of all servers every 1200 ms until the process ends.
inline void
StartBeats(std::vector<std::unique_ptr<PlainServer>>& aServers)
{
  std::thread([&aServers] {
    while (true) {
      SleepMs(1200);
      for (auto& server : aServers) {
        server->Beat();
      }
    }
  }).detach();
}

} // namespace review

#endif
