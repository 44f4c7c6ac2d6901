#include "camphorwind/standins/service.h"

using namespace camphorwind;

int main(int argc, char **argv) {
  standins::ListenOptions Listen;
  boost::program_options::options_description Options(
      "service-standin: a plain service that counts its calls");
  standins::addListenOptions(Options, Listen);
  if (auto Code = standins::parseCommandLine(argc, argv, Options))
    return *Code;
  auto Loop = net::Loop::create();
  if (!Loop)
    return 1;
  standins::PlainService Service(*Loop.value());
  return standins::serveUntilSignal(
      *Loop.value(), Listen, [&](const auto &Request, const auto &Exchange) {
        Service.handle(Request, Exchange);
      });
}
