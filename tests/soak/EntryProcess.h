// EntryProcess.h: one carawayd-entry as a process of its own, started,
// signalled and awaited by its id.
#ifndef caraway_soak_EntryProcess_h
#define caraway_soak_EntryProcess_h

#include <string>
#include <sys/types.h>

namespace caraway {

class EntryProcess
{
public:
  // aLog takes what it writes; appended to.
  EntryProcess(std::string aProgram, std::string aSettings, std::string aLog);
  ~EntryProcess(); // kills it
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  void Start();
  void Signal(int aSignal) const;
  // Looks whether it has ended; never waits.
  bool Running();
  // Of the last end: the exit code, or -signal.
  int Code() const { return mCode; }

private:
  std::string mProgram;
  std::string mSettings;
  std::string mLog;
  pid_t mPid = -1;
  int mCode = 0;
};

} // namespace caraway

#endif
