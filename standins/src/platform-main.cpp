#include "camphorwind/standins/platform.h"

using namespace camphorwind;

int main(int argc, char **argv) {
  namespace po = boost::program_options;
  standins::ListenOptions Listen;
  std::int64_t HostListLagMs = 2000;
  po::options_description Options(
      "platform-standin: table, object store and host list for tests");
  standins::addListenOptions(Options, Listen);
  Options.add_options()("host-list-lag-ms",
                        po::value(&HostListLagMs)->default_value(HostListLagMs),
                        "time until a change of the host list is seen");
  if (auto Code = standins::parseCommandLine(argc, argv, Options))
    return *Code;
  auto Loop = net::Loop::create();
  if (!Loop)
    return 1;
  standins::Platform Service(*Loop.value(),
                             std::chrono::milliseconds(HostListLagMs));
  return standins::serveUntilSignal(
      *Loop.value(), Listen, [&](const auto &Request, const auto &Exchange) {
        Service.handle(Request, Exchange);
      });
}
