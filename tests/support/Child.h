// Child.h: a child process under test.
#ifndef caraway_tests_Child_h
#define caraway_tests_Child_h

#include <json/json.h>
#include <string>
#include <sys/types.h>
#include <vector>

namespace caraway {

// The constructor starts the process and waits for the line of addresses that
// it prints once it serves; the destructor kills the process by its id.
class Child
{
public:
  Child(const std::string& aProgram,
        const std::vector<std::string>& aArguments,
        const std::string& aLog);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  const Json::Value& Addresses() const { return mAddresses; }
  std::string Address(const char* aName = "address") const;
  void Kill();      // SIGKILL; waits for the exit
  void Stop();      // SIGSTOP
  void Continue();  // SIGCONT
  void Terminate(); // SIGTERM; doesn't wait for the exit
  int Wait();       // exit code; -1 if killed by a signal
  bool Running() const { return mPid > 0; }
  pid_t Pid() const { return mPid; }

private:
  pid_t mPid = -1;
  int mOutput = -1;
  Json::Value mAddresses;
};

} // namespace caraway

#endif
