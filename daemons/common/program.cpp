#include "program.h"

#include <boost/program_options.hpp>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

namespace camphorwind::daemons {

namespace {

namespace options = boost::program_options;

options::options_description describeOptions() {
  options::options_description Described("Options");
  auto Add = Described.add_options();
  Add("settings", options::value<std::string>(), "settings file (required)");
  Add("port-file", options::value<std::string>()->default_value(""),
      "write the addresses bound to this file");
  Add("log-level", options::value<std::string>()->default_value("info"),
      "debug, info, warning or error");
  Add("help", "show this text and exit");
  Add("version", "show the version and exit");
  return Described;
}

base::IoError fileError(const std::string &Doing, const std::string &Path) {
  return {base::IoErrorKind::InvalidArgument,
          Doing + " " + Path + ": " + std::strerror(errno)};
}

} // namespace

std::variant<ProgramArguments, ExitCode>
parseArguments(const std::string &Name, const std::string &Summary, int Count,
               const char *const *Values) {
  options::options_description Described = describeOptions();
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Values, Described),
                   Given);
  } catch (const options::error &Error) {
    std::cerr << Name << ": " << Error.what() << "\nTry --help.\n";
    return ExitCode::Usage;
  }
  if (Given.count("help") > 0) {
    std::cout << "Usage: " << Name << " --settings FILE [options]\n\n"
              << Summary << "\n\n"
              << Described;
    return ExitCode::Success;
  }
  if (Given.count("version") > 0) {
    std::cout << Name << " " << CAMPHORWIND_VERSION << "\n";
    return ExitCode::Success;
  }
  if (Given.count("settings") == 0) {
    std::cerr << Name << ": --settings is required\nTry --help.\n";
    return ExitCode::Usage;
  }
  return ProgramArguments{
      Given["settings"].as<std::string>(), Given["port-file"].as<std::string>(),
      observe::logLevelFromString(Given["log-level"].as<std::string>())};
}

base::Result<std::string, base::IoError> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return base::failure(fileError("reading", Path));
  std::ostringstream Text;
  Text << File.rdbuf();
  if (File.bad())
    return base::failure(fileError("reading", Path));
  return std::move(Text).str();
}

int runDaemon(const std::string &Name, const std::string &Summary, int Count,
              const char *const *Values,
              const std::function<ExitCode(const ProgramArguments &)> &Run) {
  auto Arguments = parseArguments(Name, Summary, Count, Values);
  if (const auto *Exit = std::get_if<ExitCode>(&Arguments))
    return static_cast<int>(*Exit);
  return static_cast<int>(Run(std::get<ProgramArguments>(Arguments)));
}

base::Result<void, base::IoError> writePortFile(const std::string &Path,
                                                const BoundAddresses &Bound) {
  if (Path.empty())
    return base::success();
  const std::string Partial = Path + ".partial";
  std::ofstream File(Partial, std::ios::trunc);
  for (const auto &[Name, Address] : Bound)
    File << Name << "=" << Address << "\n";
  File.close();
  if (!File || std::rename(Partial.c_str(), Path.c_str()) != 0)
    return base::failure(fileError("writing", Path));
  return base::success();
}

StopSignals::StopSignals(net::Loop &Owner, const std::function<void()> &OnStop)
    : Terminate_(Owner, SIGTERM, OnStop), Interrupt_(Owner, SIGINT, OnStop) {}

} // namespace camphorwind::daemons
