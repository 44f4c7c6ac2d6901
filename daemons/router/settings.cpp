#include "settings.h"

#include "camphorwind/config/settings-reader.h"

namespace camphorwind::router {

using namespace std::chrono_literals;

namespace {

std::chrono::milliseconds milliseconds(base::Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value);
}

} // namespace

base::Result<RouterSettings, config::Faults>
parseRouterSettings(std::string_view Text, std::string FileName) {
  auto Reader = config::SettingsReader::parse(Text, std::move(FileName));
  if (!Reader)
    return base::failure(std::move(Reader).error());
  config::Section Root = Reader.value().root();
  RouterSettings Read;
  Read.Router_ = base::RouterId(Root.name("router"));
  Read.FailureDomain_ = base::FailureDomainId(Root.name("failure_domain"));
  Read.Region_ = base::RegionId(Root.name("region"));
  Read.Listen_ = Root.address("listen");
  Read.Platform_ = Root.address("platform");
  config::Section Agents = Root.section("first_agents");
  for (const std::string &Endpoint : Root.entryNames("first_agents"))
    Read.FirstAgents_[base::EndpointId(Endpoint)] =
        Agents.peerAddress(Endpoint);
  Read.Drain_ = milliseconds(Root.duration("drain", {0s, 1h}, 2min));
  Read.ConfigurationPoll_ =
      milliseconds(Root.duration("configuration_poll", {50ms, 1min}, 1s));
  Read.HostListPoll_ =
      milliseconds(Root.duration("host_list_poll", {50ms, 1min}, 1s));
  return Reader.value().finish(std::move(Read));
}

} // namespace camphorwind::router
