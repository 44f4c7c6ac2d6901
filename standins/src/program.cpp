#include "camphorwind/standins/program.h"

#include <fmt/core.h>

#include <csignal>
#include <cstdio>
#include <fstream>

namespace camphorwind::standins {

namespace po = boost::program_options;

void addListenOptions(po::options_description &Description,
                      ListenOptions &Options) {
  auto Add = Description.add_options();
  Add("listen", po::value(&Options.Listen_)->default_value(Options.Listen_),
      "IP:PORT to listen on; port 0 for a free one");
  Add("port-file", po::value(&Options.PortFile_),
      "file that receives the address listened on");
  Add("help", "print this text");
  Add("version", "print the version");
}

std::optional<int> parseCommandLine(int Count, const char *const *Arguments,
                                    const po::options_description &Options) {
  constexpr int UsageError = 2;
  try {
    po::variables_map Values;
    po::store(po::parse_command_line(Count, Arguments, Options), Values);
    if (Values.count("help") != 0) {
      std::ostringstream Text;
      Text << Options;
      fmt::print("{}", Text.str());
      return 0;
    }
    if (Values.count("version") != 0) {
      fmt::print("{}\n", CAMPHORWIND_VERSION);
      return 0;
    }
    po::notify(Values);
  } catch (const po::error &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return UsageError;
  }
  return std::nullopt;
}

namespace {

void announce(const ListenOptions &Options, const std::string &Address) {
  fmt::print("listening on {}\n", Address);
  std::fflush(stdout);
  if (!Options.PortFile_.empty())
    std::ofstream(Options.PortFile_) << Address << '\n';
}

} // namespace

int serveUntilSignal(net::Loop &Owner, const ListenOptions &Options,
                     net::HttpHandler Handler) {
  auto Local = base::addressFromString(Options.Listen_);
  if (!Local) {
    fmt::print(stderr, "--listen: \"{}\" is not IP:PORT\n", Options.Listen_);
    return 2;
  }
  net::HttpServerLimits Limits;
  Limits.BodyBytes_ = 64UL * 1024 * 1024;
  auto Server =
      net::HttpServer::create(Owner, Local.value(), Limits, std::move(Handler));
  if (!Server) {
    fmt::print(stderr, "{}\n", Server.error().Detail_);
    return 1;
  }
  const auto Stop = [&Owner] { Owner.stop(); };
  const net::SignalWatcher OnTerminate(Owner, SIGTERM, Stop);
  const net::SignalWatcher OnInterrupt(Owner, SIGINT, Stop);
  announce(Options, base::toString(Server.value()->address()));
  Owner.run();
  return 0;
}

void Delayer::run(base::Duration Delay, std::function<void()> Task) {
  if (Delay <= base::Duration::zero())
    return Task();
  std::uint64_t Id = NextId_++;
  auto Timer = std::make_shared<net::Timer>(
      Owner_, [this, Id, Task = std::move(Task)] { fire(Id, Task); });
  Timer->start(Delay);
  Timers_.emplace(Id, std::move(Timer));
}

void Delayer::fire(std::uint64_t Id, const std::function<void()> &Task) {
  auto Found = Timers_.find(Id);
  // The timer's callback is running, so it has to outlive this turn.
  Owner_.post([Kept = std::move(Found->second)] {});
  Timers_.erase(Found);
  Task();
}

} // namespace camphorwind::standins
