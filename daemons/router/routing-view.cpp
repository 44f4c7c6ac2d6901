#include "routing-view.h"

#include "camphorwind/membership/subset.h"

#include <algorithm>
#include <cstddef>
#include <string>

namespace camphorwind::router {

namespace {

std::vector<membership::Member> membersOf(const config::Pool &Pool) {
  std::vector<membership::Member> Members;
  Members.reserve(Pool.Endpoints_.size());
  for (const config::Endpoint &Endpoint : Pool.Endpoints_)
    Members.push_back({Endpoint.Id_, Endpoint.FailureDomain_});
  return Members;
}

routing::EndpointTraits traitsOf(const base::PoolId &PoolId,
                                 const config::Pool &Pool,
                                 const config::Endpoint &Endpoint) {
  routing::EndpointTraits Traits;
  Traits.Endpoint_ = Endpoint.Id_;
  Traits.Pool_ = PoolId;
  Traits.Domain_ = Endpoint.FailureDomain_;
  Traits.Slots_ = static_cast<std::uint32_t>(Pool.MaxRequestsPerEndpoint_);
  Traits.Capabilities_.PublishesCacheEvents_ =
      Endpoint.Capabilities_.PublishesCacheEvents_;
  return Traits;
}

template <class Reason, std::size_t Size>
void publish(observe::Metrics &Metrics, const char *Name,
             const std::array<std::uint64_t, Size> &Counts) {
  for (std::size_t Index = 0; Index < Size; ++Index)
    if (Counts[Index] > 0)
      Metrics.gauge(Name, "reason",
                    std::string(toString(static_cast<Reason>(Index))),
                    static_cast<double>(Counts[Index]));
}

} // namespace

std::vector<routing::EndpointTraits>
routedEndpoints(const config::Configuration &Configuration,
                const base::RouterId &Router) {
  auto Size =
      static_cast<std::size_t>(std::max(1, Configuration.Routing_.SubsetSize_));
  std::vector<routing::EndpointTraits> Routed;
  for (const auto &[PoolId, Pool] : Configuration.Pools_)
    for (const membership::Member &Chosen :
         membership::chooseSubset(Router.str(), membersOf(Pool), Size))
      if (const config::Endpoint *Endpoint =
              Configuration.findEndpoint(Chosen.Endpoint_))
        Routed.push_back(traitsOf(PoolId, Pool, *Endpoint));
  return Routed;
}

void publishRouting(observe::Metrics &Metrics,
                    const routing::Counters &Routed) {
  Metrics.gauge("routing_dispatched", static_cast<double>(Routed.Dispatched_));
  Metrics.gauge("routing_retries", static_cast<double>(Routed.Retries_));
  Metrics.gauge("routing_retries_denied",
                static_cast<double>(Routed.RetriesDenied_));
  Metrics.gauge("routing_probes", static_cast<double>(Routed.Probes_));
  Metrics.gauge("routing_ejections_prevented",
                static_cast<double>(Routed.EjectionsPrevented_));
  publish<base::RefusalReason>(Metrics, "routing_refusals", Routed.Refusals_);
  publish<routing::FailureKind>(Metrics, "routing_failures", Routed.Failures_);
  publish<routing::EjectionReason>(Metrics, "routing_ejections",
                                   Routed.Ejections_);
}

} // namespace camphorwind::router
