#include "settings.h"

#include "camphorwind/config/settings-reader.h"

namespace camphorwind::agent {

using namespace std::chrono_literals;

namespace {

std::chrono::milliseconds milliseconds(config::Section &Root,
                                       std::string_view Key,
                                       config::DurationRange Bounds,
                                       base::Duration Default) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Root.duration(Key, Bounds, Default));
}

} // namespace

base::Result<AgentSettings, config::Faults>
parseAgentSettings(std::string_view Text, std::string FileName) {
  auto Reader = config::SettingsReader::parse(Text, std::move(FileName));
  if (!Reader)
    return base::failure(std::move(Reader).error());
  config::Section Root = Reader.value().root();
  AgentSettings Read;
  Read.Endpoint_ = base::EndpointId(Root.name("endpoint"));
  Read.Host_ = base::HostId(Root.name("host"));
  Read.FailureDomain_ = base::FailureDomainId(Root.name("failure_domain"));
  Read.Kind_ = Root.choice("kind", {"model_engine", "plain_service"}) == 0
                   ? EndpointKind::ModelEngine
                   : EndpointKind::PlainService;
  Read.Listen_ = Root.address("listen");
  Read.Admin_ = Root.address("admin");
  Read.Target_ = Root.address("target");
  Read.MaxRunning_ =
      static_cast<std::size_t>(Root.integer("max_running", {1, 100000}, 1024));
  Read.ConnectTimeout_ =
      milliseconds(Root, "connect_timeout", {10ms, 1min}, 1s);
  Read.StallTimeout_ = milliseconds(Root, "stall_timeout", {50ms, 10min}, 10s);
  Read.Drain_ = milliseconds(Root, "drain", {0s, 1h}, 2min);
  Read.LoadInterval_ = milliseconds(Root, "load_interval", {50ms, 1min}, 500ms);
  return Reader.value().finish(std::move(Read));
}

} // namespace camphorwind::agent
