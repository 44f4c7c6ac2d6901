#include "agent.h"
#include "settings.h"

#include "../common/program.h"

#include <iostream>

using namespace camphorwind;

namespace {

constexpr auto Name = "camphor-agent";
constexpr auto Summary =
    "Runs beside one endpoint: takes work from routers within their tickets,\n"
    "meters it, and witnesses what is billed.";

daemons::ExitCode run(const daemons::ProgramArguments &Arguments) {
  auto Settings = daemons::loadSettings(Name, Arguments.SettingsFile_,
                                        &agent::parseAgentSettings);
  if (!Settings)
    return Settings.error();
  observe::startLog(Name, Arguments.LogLevel_);
  auto Owner = net::Loop::create();
  if (!Owner)
    return daemons::ExitCode::InternalError;
  net::Loop &Loop = *Owner.value();
  auto Created = agent::Agent::create(Loop, std::move(Settings).value());
  if (!Created) {
    observe::log(observe::LogLevel::Error, "not_started",
                 {{"detail", Created.error().Detail_}});
    return daemons::ExitCode::Unavailable;
  }
  agent::Agent &Agent = *Created.value();
  auto Written = daemons::writePortFile(
      Arguments.PortFile_, {{"listen", toString(Agent.address())},
                            {"admin", toString(Agent.adminAddress())}});
  if (!Written) {
    std::cerr << Name << ": " << Written.error().Detail_ << "\n";
    return daemons::ExitCode::Unavailable;
  }
  daemons::StopSignals Signals(Loop,
                               [&] { Agent.leave([&Loop] { Loop.stop(); }); });
  observe::log(observe::LogLevel::Info, "started",
               {{"listen", toString(Agent.address())},
                {"incarnation", Agent.incarnation().str()}});
  Loop.run();
  observe::log(observe::LogLevel::Info, "stopped");
  return daemons::ExitCode::Success;
}

} // namespace

int main(int Count, char **Values) {
  return daemons::runDaemon(Name, Summary, Count, Values, run);
}
