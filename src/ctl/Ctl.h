// Ctl.h: the commands of carawayctl.
#ifndef caraway_ctl_Ctl_h
#define caraway_ctl_Ctl_h

#include <functional>
#include <json/json.h>
#include <string>
#include <vector>

#include "ctl/AdminClient.h"
#include "ctl/CtlExit.h"

namespace caraway {

struct CtlOptions
{
  std::string mAdmin;   // ip:port of any instance's administration port
  std::string mKey;     // administration key
  bool mJson = false;   // print JSON for scripts
  bool mCsv = false;    // print losses as CSV
  int64_t mExpect = -1; // base revision of a change; -1 = newest
  std::string mNote;    // recorded in the history
};

class Ctl
{
public:
  using Arguments = std::vector<std::string>;

  explicit Ctl(CtlOptions aOptions);

  // aArguments: the command and its arguments.
  int Run(const Arguments& aArguments);
  static std::string Usage();

private:
  using Action = Result<int> (Ctl::*)(const Arguments& aArguments);
  struct Command
  {
    const char* mName;
    const char* mArguments;
    const char* mHelp;
    size_t mMinArguments; // limits of the number of arguments
    size_t mMaxArguments;
    Action mAction;
  };
  static const Command kCommands[];

  Result<int> List(const Arguments& aArguments);
  Result<int> Show(const Arguments& aArguments);
  Result<int> Set(const Arguments& aArguments);
  Result<int> Remove(const Arguments& aArguments);
  Result<int> Keys(const Arguments& aArguments);
  Result<int> Grant(const Arguments& aArguments);
  Result<int> Withdraw(const Arguments& aArguments);
  Result<int> Check(const Arguments& aArguments);
  Result<int> Diff(const Arguments& aArguments);
  Result<int> Apply(const Arguments& aArguments);
  Result<int> History(const Arguments& aArguments);
  Result<int> Rollback(const Arguments& aArguments);
  Result<int> Status(const Arguments& aArguments);
  Result<int> AdminKey(const Arguments& aArguments);
  Result<int> Explain(const Arguments& aArguments);
  Result<int> Losses(const Arguments& aArguments);
  Result<int> Parts(const Arguments& aArguments);
  Result<int> LiftPart(const Arguments& aArguments);
  Result<int> Evacuations(const Arguments& aArguments);
  static Result<void> ReadFiles(
    const Arguments& aFiles,
    size_t aFirst,
    const std::function<void(const std::string&)>& aRead);
  Result<int> Help(const Arguments& aArguments);

  Result<int> Change(const Json::Value& aConfig,
                     int64_t aRevision,
                     const std::string& aNote);
  void Print(const Json::Value& aJson,
             const Json::Value& aEntries,
             const std::vector<std::string>& aColumns);

  CtlOptions mOptions;
  AdminClient mClient;
};

} // namespace caraway

#endif
