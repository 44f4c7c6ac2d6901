#ifndef CAMPHORWIND_DAEMONS_AGENT_SETTINGS_H
#define CAMPHORWIND_DAEMONS_AGENT_SETTINGS_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/ids.h"
#include "camphorwind/base/result.h"
#include "camphorwind/config/fault.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace camphorwind::agent {

/// What stands behind an agent.
enum class EndpointKind { ModelEngine, PlainService };

/// Settings of one agent process; docs/configuration.md names every key.
struct AgentSettings {
  base::EndpointId Endpoint_;
  base::HostId Host_;
  base::FailureDomainId FailureDomain_;
  EndpointKind Kind_ = EndpointKind::ModelEngine;
  /// Where routers connect.
  base::Address Listen_;
  /// Where /metrics and /healthz are served.
  base::Address Admin_;
  /// The endpoint itself.
  base::Address Target_;
  std::size_t MaxRunning_ = 0;
  std::chrono::milliseconds ConnectTimeout_{0};
  std::chrono::milliseconds StallTimeout_{0};
  /// Longest wait for requests in progress after SIGTERM.
  std::chrono::milliseconds Drain_{0};
  /// Time between two reads of the endpoint's load.
  std::chrono::milliseconds LoadInterval_{0};
};

/// Reads the settings of an agent; reports every fault at once.
base::Result<AgentSettings, config::Faults>
parseAgentSettings(std::string_view Text, std::string FileName);

} // namespace camphorwind::agent

#endif // CAMPHORWIND_DAEMONS_AGENT_SETTINGS_H
