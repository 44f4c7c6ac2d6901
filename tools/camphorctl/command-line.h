#ifndef CAMPHORWIND_TOOLS_CAMPHORCTL_COMMAND_LINE_H
#define CAMPHORWIND_TOOLS_CAMPHORCTL_COMMAND_LINE_H

#include "exit-code.h"
#include "output.h"
#include "session.h"

#include <boost/program_options.hpp>

#include <functional>
#include <string>
#include <vector>

namespace camphorwind::ctl {

/// What a running command has at hand.
struct CommandContext {
  /// Null for a command that does not need the platform.
  Session *Platform_ = nullptr;
  OutputFormat Output_ = OutputFormat::Table;
  /// Arguments by name.
  boost::program_options::variables_map Given_;

  /// Returns a required argument's text.
  const std::string &text(const std::string &Name) const {
    return Given_[Name].as<std::string>();
  }
  bool has(const std::string &Name) const { return Given_.count(Name) > 0; }
};

/// One command, such as `budget show`.
struct Command {
  /// One or two words.
  std::string Name_;
  std::string Summary_;
  /// Names of its positional arguments, all required, in order.
  std::vector<std::string> Positional_;
  /// Its options besides the common ones.
  boost::program_options::options_description Options_;
  bool NeedsPlatform_ = true;
  std::function<ExitCode(CommandContext &)> Run_;
};

/// Parses the command line and runs the command that it names.
ExitCode runCommandLine(const std::vector<Command> &Commands, int Count,
                        const char *const *Values);

/// The commands, by group.
std::vector<Command> accountCommands();
std::vector<Command> budgetCommands();
std::vector<Command> configCommands();
std::vector<Command> generateCommands();
std::vector<Command> historyCommands();
std::vector<Command> statusCommands();

} // namespace camphorwind::ctl

#endif // CAMPHORWIND_TOOLS_CAMPHORCTL_COMMAND_LINE_H
