#include "command-line.h"

#include "camphorwind/base/address.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace camphorwind::ctl {

namespace options = boost::program_options;

namespace {

using Json = nlohmann::ordered_json;

void addRouter(const std::string &Address, const Json &Status, Table &Shown) {
  for (const Json &Pool : Status.at("pools"))
    for (const Json &Endpoint : Pool.at("endpoints")) {
      std::string State =
          Endpoint.at("ejected").get<bool>()
              ? "ejected: " + Endpoint.at("why").get<std::string>()
          : Endpoint.at("leaving").get<bool>()   ? "leaving"
          : Endpoint.at("reachable").get<bool>() ? "in use"
                                                 : "unreachable";
      Shown.Rows_.push_back(
          {Status.at("router").get<std::string>(), Address,
           Status.at("configuration").get<std::string>(),
           Pool.at("pool").get<std::string>(),
           Endpoint.at("endpoint").get<std::string>(), State,
           std::to_string(Endpoint.at("in_flight").get<int>())});
    }
}

ExitCode status(CommandContext &Context) {
  if (!Context.has("router")) {
    std::cerr << "status: --router must be given as ip:port\n";
    return ExitCode::Usage;
  }
  Table Shown{{"router", "address", "configuration", "pool", "endpoint",
               "state", "in_flight"},
              {}};
  ExitCode Ended = ExitCode::Success;
  for (const auto &Text :
       Context.Given_["router"].as<std::vector<std::string>>()) {
    auto Address = base::addressFromString(Text);
    auto Body =
        Address ? Context.Platform_->get(*Address, "/status") : std::nullopt;
    Json Status = Body ? Json::parse(*Body, nullptr, false) : Json();
    if (!Status.is_object()) {
      Shown.Rows_.push_back({"", Text, "", "", "", "no answer", ""});
      Ended = ExitCode::Unavailable;
      continue;
    }
    addRouter(Text, Status, Shown);
  }
  print(Shown, Context.Output_);
  return Ended;
}

} // namespace

std::vector<Command> statusCommands() {
  Command Status{
      "status", "show routers, the configuration in force, and endpoints",
      {},       options::options_description("Options"),
      true,     status};
  Status.Options_.add_options()(
      "router", options::value<std::vector<std::string>>()->composing(),
      "a router's address, ip:port; may be repeated");
  return {Status};
}

} // namespace camphorwind::ctl
