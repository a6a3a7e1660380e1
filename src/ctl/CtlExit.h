// CtlExit.h: exit codes, for scripts.
#ifndef caraway_ctl_CtlExit_h
#define caraway_ctl_CtlExit_h

namespace caraway {

enum CtlExit
{
  CtlExit_Ok = 0,
  CtlExit_Differs = 1,     // diff: the file differs from what is in force
  CtlExit_Usage = 2,       // invalid command line
  CtlExit_Refused = 3,     // an instance refused the request
  CtlExit_Unreachable = 4, // no instance answered
};

} // namespace caraway

#endif
