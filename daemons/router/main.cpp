#include "api.h"
#include "router.h"
#include "settings.h"

#include "../common/program.h"

#include <iostream>

using namespace camphorwind;

namespace {

constexpr auto Name = "camphor-router";
constexpr auto Summary =
    "Answers callers over HTTP through model engines and plain services,\n"
    "within prepaid budgets.";

daemons::ExitCode run(const daemons::ProgramArguments &Arguments) {
  auto Settings = daemons::loadSettings(Name, Arguments.SettingsFile_,
                                        &router::parseRouterSettings);
  if (!Settings)
    return Settings.error();
  observe::startLog(Name, Arguments.LogLevel_);
  auto Owner = net::Loop::create();
  if (!Owner)
    return daemons::ExitCode::InternalError;
  net::Loop &Loop = *Owner.value();
  base::Address Listen = Settings.value().Listen_;
  auto Created = router::Router::create(Loop, std::move(Settings).value());
  if (!Created) {
    std::cerr << Name << ": " << Created.error().Detail_ << "\n";
    return daemons::ExitCode::InternalError;
  }
  router::Router &Router = *Created.value();
  auto Serving = router::Api::create(Loop, Listen, Router);
  if (!Serving) {
    std::cerr << Name << ": " << Serving.error().Detail_ << "\n";
    return daemons::ExitCode::Unavailable;
  }
  router::Api &Api = *Serving.value();
  auto Written = daemons::writePortFile(Arguments.PortFile_,
                                        {{"listen", toString(Api.address())}});
  if (!Written) {
    std::cerr << Name << ": " << Written.error().Detail_ << "\n";
    return daemons::ExitCode::Unavailable;
  }
  daemons::StopSignals Signals(Loop, [&] {
    Api.stopAccepting();
    Router.stop([&Loop] { Loop.stop(); });
  });
  observe::log(observe::LogLevel::Info, "started",
               {{"listen", toString(Api.address())},
                {"incarnation", Router.incarnation().str()}});
  Loop.run();
  observe::log(observe::LogLevel::Info, "stopped");
  return daemons::ExitCode::Success;
}

} // namespace

int main(int Count, char **Values) {
  return daemons::runDaemon(Name, Summary, Count, Values, run);
}
