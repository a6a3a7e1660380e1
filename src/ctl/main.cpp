// carawayctl: the operators' command line tool.
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <set>
#include <string>

#include "ctl/Ctl.h"

DEFINE_string(admin,
              "",
              "administration address, ip:port, of any instance "
              "(or CARAWAY_ADMIN)");
DEFINE_string(key_file,
              "",
              "file with the administration key (or "
              "CARAWAY_ADMIN_KEY)");
DEFINE_string(output, "table", "table, or json for scripts");
DEFINE_bool(csv, false, "losses as comma-separated values");
DEFINE_int64(expect, -1, "revision the change is based on; -1 = the newest");
DEFINE_string(note, "", "reason for the change, recorded in the history");

namespace {

std::string
FromEnvironment(const std::string& aFlag, const char* aName)
{
  const char* value = std::getenv(aName);
  return aFlag.empty() && value ? value : aFlag;
}

// Read from a file or the environment, since command lines are visible to all
// users of the machine.
std::string
AdminKey()
{
  if (FLAGS_key_file.empty()) {
    return FromEnvironment("", "CARAWAY_ADMIN_KEY");
  }
  std::ifstream in(FLAGS_key_file);
  std::string key;
  std::getline(in, key);
  return key;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(caraway::Ctl::Usage());
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_output != "json" && FLAGS_output != "table") {
    std::fprintf(stderr, "carawayctl: --output must be table or json\n");
    return caraway::CtlExit_Usage;
  }
  caraway::CtlOptions options;
  options.mAdmin = FromEnvironment(FLAGS_admin, "CARAWAY_ADMIN");
  options.mKey = AdminKey();
  options.mJson = FLAGS_output == "json";
  options.mCsv = FLAGS_csv;
  options.mExpect = FLAGS_expect;
  options.mNote = FLAGS_note;
  caraway::Ctl::Arguments arguments(aArguments + 1, aArguments + aCount);
  const std::set<std::string> withoutAdmin = { "help",       "admin-key",
                                               "explain",    "losses",
                                               "parts",      "lift-part",
                                               "evacuations" };
  bool needsNone = !arguments.empty() && withoutAdmin.count(arguments[0]) > 0;
  if (!needsNone && options.mAdmin.empty()) {
    std::fprintf(stderr,
                 "carawayctl: no address; set --admin or CARAWAY_ADMIN\n");
    return caraway::CtlExit_Usage;
  }
  return caraway::Ctl(options).Run(arguments);
}
