#ifndef CAMPHORWIND_DAEMONS_ROUTER_SETTINGS_H
#define CAMPHORWIND_DAEMONS_ROUTER_SETTINGS_H

#include "camphorwind/base/address.h"
#include "camphorwind/base/ids.h"
#include "camphorwind/base/result.h"
#include "camphorwind/config/fault.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace camphorwind::router {

/// Settings of one router process; docs/configuration.md names every key.
struct RouterSettings {
  base::RouterId Router_;
  base::FailureDomainId FailureDomain_;
  base::RegionId Region_;
  /// Where callers connect.
  base::Address Listen_;
  /// The platform's table, object store and host list.
  base::Address Platform_;
  /// Agents to link to before a configuration names any, so that one can be
  /// learned while the table can't be reached.
  std::map<base::EndpointId, base::Address> FirstAgents_;
  /// Longest wait for requests in progress after SIGTERM.
  std::chrono::milliseconds Drain_{0};
  /// Time between two looks for a newer configuration.
  std::chrono::milliseconds ConfigurationPoll_{0};
  /// Time between two reads of the platform's host list.
  std::chrono::milliseconds HostListPoll_{0};
};

/// Reads the settings of a router; reports every fault at once.
base::Result<RouterSettings, config::Faults>
parseRouterSettings(std::string_view Text, std::string FileName);

} // namespace camphorwind::router

#endif // CAMPHORWIND_DAEMONS_ROUTER_SETTINGS_H
