#ifndef CAMPHORWIND_STANDINS_PROGRAM_H
#define CAMPHORWIND_STANDINS_PROGRAM_H

#include "camphorwind/net/http-server.h"
#include "camphorwind/net/loop.h"

#include <boost/program_options.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

/// What the programs that take the platform's place in tests have in common.
namespace camphorwind::standins {

/// Where a stand-in listens and how it tells its port.
struct ListenOptions {
  std::string Listen_ = "127.0.0.1:0";
  /// Also receives the address; empty for none.
  std::string PortFile_;
};

/// Adds --listen, --port-file, --help and --version to \p Description.
void addListenOptions(boost::program_options::options_description &Description,
                      ListenOptions &Options);

/// Reads the command line. Returns the exit code if the program has to end.
std::optional<int>
parseCommandLine(int Count, const char *const *Arguments,
                 const boost::program_options::options_description &Options);

/// Serves until SIGTERM or SIGINT; prints `listening on IP:PORT` first.
/// Returns the exit code.
int serveUntilSignal(net::Loop &Owner, const ListenOptions &Options,
                     net::HttpHandler Handler);

/// Runs tasks on a loop after a delay.
class Delayer {
public:
  explicit Delayer(net::Loop &Owner) : Owner_(Owner) {}

  /// Runs \p Task after \p Delay, or at once when \p Delay is zero.
  void run(base::Duration Delay, std::function<void()> Task);

private:
  void fire(std::uint64_t Id, const std::function<void()> &Task);

  net::Loop &Owner_;
  std::uint64_t NextId_ = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<net::Timer>> Timers_;
};

} // namespace camphorwind::standins

#endif // CAMPHORWIND_STANDINS_PROGRAM_H
