// CtlExit.h: what a script can tell from the exit code.
#ifndef caraway_ctl_CtlExit_h
#define caraway_ctl_CtlExit_h

namespace caraway {

enum CtlExit
{
  CtlExit_Ok = 0,
  CtlExit_Differs = 1,     // diff: the file isn't in force
  CtlExit_Usage = 2,       // the command line is wrong
  CtlExit_Refused = 3,     // an instance answered no
  CtlExit_Unreachable = 4, // no instance answered
};

} // namespace caraway

#endif
