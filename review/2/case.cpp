// A server that is full, and sends second answers late.
#include "../common/Standin.h"

using namespace review;

namespace {

// The most of 'garble' with 'extra late' in the site files: one of three
// servers (share 0.6), 3 in 100 of its answers, for 5 s; it comes twice.
constexpr double kExtraShare = 0.03;
constexpr double kExtraMs = 5000;

constexpr int kClients = 96; // as many as the site has
constexpr int kClump = 26;
constexpr double kClumpMs = 110;

} // namespace

int
main()
{
  signal(SIGPIPE, SIG_IGN);
  Record::Get().Open("record.txt");
  if (const char* root = std::getenv("PROJECT_ROOT")) {
    if (chdir(root) != 0) {
      return 2;
    }
  }
  Store store;
  std::vector<std::unique_ptr<PlainServer>> servers;
  const char* zones[] = { "mendoza-a", "uspallata-b", "sanjuan-c" };
  for (int i = 0; i < 3; ++i) {
    servers.push_back(std::make_unique<PlainServer>(
      store, "i-" + std::to_string(i), "wuno96b", zones[i], 6, 3, 30));
    servers.back()->Register("ready");
  }
  std::mutex lock;
  double from = -1;
  int answers = 0;
  int extras = 0;
  int faulty = -1; // the busiest server
  int shed[3] = { 0, 0, 0 };
  auto extraLate = [&](int aServer, int aStatus) {
    std::lock_guard<std::mutex> guard(lock);
    shed[aServer] += aStatus == 503;
    if (aServer != faulty || NowMs() > from + kExtraMs) {
      return false;
    }
    ++answers;
    // Which answers are affected is up to the faulty server; here it is those
    // that it gives when it is full, as far as the share allows.
    if (aStatus != 503 || extras + 1 > kExtraShare * answers) {
      return false;
    }
    ++extras;
    return true;
  };
  for (int i = 0; i < 3; ++i) {
    servers[size_t(i)]->mExtraLate = [&, i](int aStatus) {
      return extraLate(i, aStatus);
    };
  }
  StartBeats(servers);
  store.Put("config", "main", PlainConfig(7, 1500, 1));
  Platform platform(store);
  platform.StartAll();
  if (!platform.AwaitReady(15000)) {
    Note("instances did not become ready");
    platform.EndAll();
    std::_Exit(2);
  }
  std::atomic<bool> stop{ false };
  std::atomic<int> good{ 0 };
  std::atomic<int> refused{ 0 };
  std::set<string> refusedIds;
  // Requests come in clumps, a third less in all than the servers can run.
  std::vector<std::thread> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      ConnPtr conn;
      string front = platform.mMachines[i % 6].FrontAddress();
      double next = NowMs() + double(i / kClump) * kClumpMs;
      while (!stop) {
        SleepMs(std::max(0.0, next - NowMs()));
        Outcome outcome = Call(
          conn, front, "POST", "/puxa403/2f", kKey, 1500, string(600, 'x'));
        good += outcome.mStatus == 200;
        refused += outcome.mStatus == 503;
        if (outcome.mStatus == 503) {
          std::lock_guard<std::mutex> guard(lock);
          refusedIds.insert(outcome.mId);
        }
        next += kClumpMs * (kClients / kClump);
        if (outcome.mStatus != 200) {
          conn.reset();
        }
      }
    });
  }
  for (int time = 0; time < 2; ++time) {
    {
      std::lock_guard<std::mutex> guard(lock);
      faulty = -1;
      std::fill(shed, shed + 3, 0);
    }
    SleepMs(3000);
    if (Trouble()) {
      std::lock_guard<std::mutex> guard(lock);
      from = NowMs();
      answers = 0;
      extras = 0;
      faulty = int(std::max_element(shed, shed + 3) - shed);
      Note("i-" + std::to_string(faulty) +
           " begins to send second answers late");
    }
    SleepMs(kExtraMs + 1000);
    Note("second answers: " + std::to_string(extras) + " after " +
         std::to_string(answers) + " answers of the faulty server");
  }
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  SleepMs(500);
  bool alive = platform.AllRun();
  std::map<string, int> runs;
  int all = 0;
  for (auto& server : servers) {
    for (const Run& run : server->Runs()) {
      ++runs[run.mId];
      ++all;
    }
  }
  int twice = 0;
  int denied = 0;
  for (const auto& [id, count] : runs) {
    if (refusedIds.count(id)) {
      ++denied;
      Note("RAN AND WAS ANSWERED 503: unsafe request " + id);
    }
    if (count > 1) {
      ++twice;
      Note("RAN " + std::to_string(count) + " TIMES: unsafe request " + id);
    }
  }
  Note("requests answered with 200: " + std::to_string(int(good)) +
       "; runs: " + std::to_string(all));
  Note("unsafe requests that ran more than once: " + std::to_string(twice) +
       "; that ran and were answered 503: " + std::to_string(denied) + " of " +
       std::to_string(int(refused)));
  platform.EndAll();
  if (!alive || good < 100) {
    std::_Exit(2);
  }
  Note(twice > 0 ? "TWICE is broken" : "TWICE held");
  Note(denied > 0 ? "REFUSED is broken" : "REFUSED held");
  std::_Exit(denied > 0 ? 1 : 0);
}
