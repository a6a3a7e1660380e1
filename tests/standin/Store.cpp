// Stand-in for the weight store: up to full_speed concurrent loads run at full
// speed, and more of them all slow down in proportion.
#include <atomic>
#include <gflags/gflags.h>
#include <mutex>

#include <thread>

#include "standin/StandIn.h"

DECLARE_string(listen);
DEFINE_int64(weights_ms, 400, "duration of a load at full speed, in ms");
DEFINE_int32(full_speed, 4, "concurrent loads at full speed");

namespace caraway {

int
RunStore()
{
  std::atomic<int> active{ 0 };
  std::atomic<int> peak{ 0 };
  std::mutex lock;
  Json::Value order(Json::arrayValue); // paths, in order of loading
  HttpPort port(FLAGS_listen, StandInLimits(), [&](auto& aIn, auto& aOut) {
    if (aIn.getURI() == "/counters") {
      Json::Value counters;
      counters["peak"] = peak.load();
      std::lock_guard<std::mutex> guard(lock);
      counters["order"] = order;
      StandInSend(aOut, 200, counters);
      return;
    }
    {
      std::lock_guard<std::mutex> guard(lock);
      order.append(aIn.getURI());
    }
    peak = std::max(peak.load(), ++active);
    constexpr double kStepMs = 5;
    double leftMs = static_cast<double>(FLAGS_weights_ms);
    while (leftMs > 0) {
      std::this_thread::sleep_for(Millis(static_cast<int>(kStepMs)));
      double slowdown =
        std::max(1.0, static_cast<double>(active) / FLAGS_full_speed);
      leftMs -= kStepMs / slowdown;
    }
    --active;
    StandInSend(aOut, 200, Json::Value(Json::objectValue));
  });
  Json::Value addresses;
  addresses["address"] = port.Address();
  StandInServe(addresses);
  return 0;
}

} // namespace caraway
