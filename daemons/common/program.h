#ifndef CAMPHORWIND_DAEMONS_COMMON_PROGRAM_H
#define CAMPHORWIND_DAEMONS_COMMON_PROGRAM_H

#include "camphorwind/base/result.h"
#include "camphorwind/config/fault.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/observe/log.h"

#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// What the daemons share: command line, settings file, signals.
namespace camphorwind::daemons {

/// Exit codes of the daemons.
enum class ExitCode : int {
  Success = 0,
  Usage = 64,         ///< The command line was not understood.
  BadSettings = 78,   ///< The settings file has faults.
  Unavailable = 69,   ///< An address could not be bound.
  InternalError = 70, ///< A library could not be started.
};

/// The daemons' command line.
struct ProgramArguments {
  std::string SettingsFile_;
  /// Gets `name=address` lines once the process listens; empty for none.
  std::string PortFile_;
  observe::LogLevel LogLevel_ = observe::LogLevel::Info;
};

/// Parses the command line of the daemon \p Name. `--help`, `--version` and a
/// wrong command line print what they should and return the exit code.
std::variant<ProgramArguments, ExitCode>
parseArguments(const std::string &Name, const std::string &Summary, int Count,
               const char *const *Values);

/// Reads a whole file.
base::Result<std::string, base::IoError> readFile(const std::string &Path);

/// Reads and parses the settings file; prints every fault of it.
template <class Settings>
base::Result<Settings, ExitCode>
loadSettings(const std::string &Name, const std::string &Path,
             base::Result<Settings, config::Faults> (*Parse)(std::string_view,
                                                             std::string)) {
  auto Text = readFile(Path);
  if (!Text) {
    std::cerr << Name << ": " << Text.error().Detail_ << "\n";
    return base::failure(ExitCode::BadSettings);
  }
  auto Parsed = Parse(Text.value(), Path);
  if (Parsed)
    return std::move(Parsed).value();
  for (const config::Fault &Fault : Parsed.error())
    std::cerr << toString(Fault) << "\n";
  return base::failure(ExitCode::BadSettings);
}

/// Runs a daemon: parses its command line, then calls \p Run.
int runDaemon(const std::string &Name, const std::string &Summary, int Count,
              const char *const *Values,
              const std::function<ExitCode(const ProgramArguments &)> &Run);

/// Names of listening addresses and the addresses.
using BoundAddresses = std::vector<std::pair<std::string, std::string>>;

/// Writes the addresses to \p Path in one step, so that a reader sees all or
/// none.
base::Result<void, base::IoError> writePortFile(const std::string &Path,
                                                const BoundAddresses &Bound);

/// Calls back on SIGTERM and SIGINT.
class StopSignals {
public:
  StopSignals(net::Loop &Owner, const std::function<void()> &OnStop);

private:
  net::SignalWatcher Terminate_;
  net::SignalWatcher Interrupt_;
};

} // namespace camphorwind::daemons

#endif // CAMPHORWIND_DAEMONS_COMMON_PROGRAM_H
