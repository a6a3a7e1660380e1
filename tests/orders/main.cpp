// caraway-orders: loads instances, as processes, with requests that must not be
// repeated, before servers that are often full, with faults between them.
// Prints how many of them ran although refused, or ran twice.

#include <cstdio>
#include <gflags/gflags.h>
#include <map>
#include <unistd.h>

#include "support/OrderLoad.h"

DEFINE_uint32(first, 1, "first seed");
DEFINE_uint32(seeds, 1, "number of seeds, run one after the other");
DEFINE_int32(seconds, 10, "duration of the load per seed");
DEFINE_double(per_second, 53.7, "requests a second");
DEFINE_int32(work_ms, 30, "time of a run at a server, in milliseconds");
DEFINE_int32(deadline_ms, 2500, "deadline of a request, in milliseconds");
DEFINE_int32(slots, 6, "requests that a server runs at once");
DEFINE_int32(queue, 3, "requests that wait at a server; more are refused");
DEFINE_int32(clump, 12, "requests that are sent at once");
DEFINE_int32(zones, 3, "availability zones");
DEFINE_int32(instances, 2, "instances in each zone");
DEFINE_string(faults,
              "",
              "of answers, by comma: doubled, late, cut-in-head, cut-in-body, "
              "reset, unmarked, without-id, replaced, timed-out, "
              "reset-under-upload, broken-head, shortened");
DEFINE_uint32(body_bytes, 4, "bytes of each request's body");
DEFINE_double(share, 0.1, "share of the answers that a fault befalls");
DEFINE_bool(cut_off, false, "the first instance reaches no server");
DEFINE_bool(stops, false, "instances are stopped and go on");
DEFINE_bool(terminates, false, "instances are terminated and start again");
DEFINE_string(program,
              CARAWAY_BIN_DIR "/carawayd-entry",
              "the entry daemon to run");
DEFINE_string(other_program,
              "",
              "run by every second instance, whose own callers aren't judged; "
              "for fleets of two versions");

namespace {

using caraway::AnswerFault;

const std::map<std::string, AnswerFault> kFaults = {
  { "doubled", AnswerFault::Doubled },
  { "late", AnswerFault::Late },
  { "cut-in-head", AnswerFault::CutInHead },
  { "cut-in-body", AnswerFault::CutInBody },
  { "reset", AnswerFault::Reset },
  { "unmarked", AnswerFault::Unmarked },
  { "without-id", AnswerFault::WithoutId },
  { "replaced", AnswerFault::Replaced },
  { "timed-out", AnswerFault::TimedOut },
  { "reset-under-upload", AnswerFault::ResetUnderUpload },
  { "broken-head", AnswerFault::BrokenHead },
  { "shortened", AnswerFault::Shortened },
};

std::vector<AnswerFault>
ReadFaults(const std::string& aText)
{
  std::vector<AnswerFault> faults;
  size_t at = 0;
  while (at < aText.size()) {
    size_t end = std::min(aText.find(',', at), aText.size());
    faults.push_back(kFaults.at(aText.substr(at, end - at)));
    at = end + 1;
  }
  return faults;
}

caraway::OrderLoadPlan
PlanOf(unsigned aSeed)
{
  caraway::OrderLoadPlan plan;
  plan.mProgram = FLAGS_program;
  plan.mOtherProgram = FLAGS_other_program;
  plan.mFolder = std::filesystem::temp_directory_path() /
                 ("caraway-orders-" + std::to_string(getpid())) /
                 ("seed-" + std::to_string(aSeed));
  plan.mSeed = aSeed;
  plan.mZones = FLAGS_zones;
  plan.mInstances = FLAGS_instances;
  plan.mSlots = FLAGS_slots;
  plan.mQueue = FLAGS_queue;
  plan.mWork = caraway::Millis(FLAGS_work_ms);
  plan.mPerSecond = FLAGS_per_second;
  plan.mClump = FLAGS_clump;
  plan.mBodyBytes = FLAGS_body_bytes;
  plan.mDeadline = caraway::Millis(FLAGS_deadline_ms);
  plan.mDuration = caraway::Seconds(FLAGS_seconds);
  plan.mFaults.mKinds = ReadFaults(FLAGS_faults);
  plan.mFaults.mShare = FLAGS_share;
  plan.mCutOff = FLAGS_cut_off;
  plan.mStops = FLAGS_stops;
  plan.mTerminates = FLAGS_terminates;
  return plan;
}

void
Print(const char* aRule, const std::vector<caraway::OrderAttempt>& aAttempts)
{
  constexpr size_t kMost = 5;
  for (size_t i = 0; i < aAttempts.size() && i < kMost; ++i) {
    const caraway::OrderAttempt& one = aAttempts[i];
    std::printf("  %s: %s at instance %zu, sent %lld ended %lld ms, status %d, "
                "runs %d\n",
                aRule,
                one.mId.c_str(),
                one.mInstance,
                static_cast<long long>(one.mSentAt.count()),
                static_cast<long long>(one.mEndedAt.count()),
                one.mStatus,
                one.mRuns);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("runs orders through instances before full servers");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  bool broken = false;
  for (unsigned seed = FLAGS_first; seed < FLAGS_first + FLAGS_seeds; ++seed) {
    caraway::OrderLoadPlan plan = PlanOf(seed);
    caraway::OrderLoadResult result = caraway::OrderLoad(plan).Run();
    std::printf("seed %u: %s\n", seed, result.Text().c_str());
    Print("refused and run", result.mRefusedAndRun);
    Print("run twice", result.mRunTwice);
    bool failed = !result.mRefusedAndRun.empty() || !result.mRunTwice.empty() ||
                  result.mWrongAnswers > 0 || result.mUnexpectedExits > 0;
    if (failed) {
      std::printf("  logs: %s\n", plan.mFolder.c_str());
    } else {
      std::filesystem::remove_all(plan.mFolder);
    }
    std::fflush(stdout);
    broken = broken || failed;
  }
  return broken ? 1 : 0;
}
