#ifndef CAMPHORWIND_DAEMONS_ROUTER_ROUTING_VIEW_H
#define CAMPHORWIND_DAEMONS_ROUTER_ROUTING_VIEW_H

#include "camphorwind/base/ids.h"
#include "camphorwind/config/configuration.h"
#include "camphorwind/observe/metrics.h"
#include "camphorwind/routing/balancer.h"

#include <vector>

namespace camphorwind::router {

/// Returns the endpoints that this router gives work to: of each pool a subset
/// spread over its failure domains, of the size that the configuration sets.
std::vector<routing::EndpointTraits>
routedEndpoints(const config::Configuration &Configuration,
                const base::RouterId &Router);

/// Publishes the balancer's counts by refusal, failure and ejection reason.
void publishRouting(observe::Metrics &Metrics, const routing::Counters &Routed);

} // namespace camphorwind::router

#endif // CAMPHORWIND_DAEMONS_ROUTER_ROUTING_VIEW_H
