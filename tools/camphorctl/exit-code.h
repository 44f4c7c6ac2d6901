#ifndef CAMPHORWIND_TOOLS_CAMPHORCTL_EXIT_CODE_H
#define CAMPHORWIND_TOOLS_CAMPHORCTL_EXIT_CODE_H

namespace camphorwind::ctl {

/// Exit codes of camphorctl, one for each kind of failure.
enum class ExitCode : int {
  Success = 0,
  Conflict = 3,     ///< Another operator was faster; nothing was changed.
  NotFound = 4,     ///< What the command names does not exist.
  Undecided = 5,    ///< The platform's reply is missing; see the message.
  Usage = 64,       ///< The command line was not understood.
  BadInput = 65,    ///< A file or value given has faults.
  Unavailable = 69, ///< The platform or router does not answer.
  Internal = 70,    ///< A library could not be started.
};

} // namespace camphorwind::ctl

#endif // CAMPHORWIND_TOOLS_CAMPHORCTL_EXIT_CODE_H
