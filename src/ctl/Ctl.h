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
  bool mJson = false;   // answers for scripts
  bool mCsv = false;    // of losses
  int64_t mExpect = -1; // revision a change must be based on; -1 = newest
  std::string mNote;    // for the history
};

class Ctl
{
public:
  using Words = std::vector<std::string>;

  explicit Ctl(CtlOptions aOptions);

  // aArguments: command and its arguments.
  int Run(const Words& aArguments);
  static std::string Usage();

private:
  using Action = Result<int> (Ctl::*)(const Words& aArguments);
  struct Command
  {
    const char* mName;
    const char* mArguments;
    const char* mHelp;
    size_t mLeast; // arguments
    size_t mMost;
    Action mAction;
  };
  static const Command kCommands[];

  Result<int> List(const Words& aArguments);
  Result<int> Show(const Words& aArguments);
  Result<int> Set(const Words& aArguments);
  Result<int> Remove(const Words& aArguments);
  Result<int> Keys(const Words& aArguments);
  Result<int> Grant(const Words& aArguments);
  Result<int> Withdraw(const Words& aArguments);
  Result<int> Check(const Words& aArguments);
  Result<int> Diff(const Words& aArguments);
  Result<int> Apply(const Words& aArguments);
  Result<int> History(const Words& aArguments);
  Result<int> Rollback(const Words& aArguments);
  Result<int> Status(const Words& aArguments);
  Result<int> AdminKey(const Words& aArguments);
  Result<int> Explain(const Words& aArguments);
  Result<int> Losses(const Words& aArguments);
  static Result<void> ReadFiles(
    const Words& aFiles,
    size_t aFirst,
    const std::function<void(const std::string&)>& aRead);
  Result<int> Help(const Words& aArguments);

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
