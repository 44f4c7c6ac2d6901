#ifndef CAMPHORWIND_ROUTING_LANE_H
#define CAMPHORWIND_ROUTING_LANE_H

#include "camphorwind/routing/prefix-view.h"
#include "camphorwind/routing/queue.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace camphorwind::routing {

/// The queued requests for one pool and model, the endpoints that serve them,
/// and running estimates of output length and latency.
class Lane {
public:
  Lane(base::PoolId Pool, ServedModel Model);

  const base::PoolId &pool() const { return Pool_; }
  /// Whether the endpoint is in this lane's pool and serves its model.
  bool servedBy(const EndpointTraits &Endpoint) const;

  void addMember(EndpointIndex Endpoint, const EndpointTraits &Traits);
  void removeMember(EndpointIndex Endpoint);
  /// Sets whether the member can take a request now.
  void setReady(EndpointIndex Endpoint, bool Ready);
  bool ready(EndpointIndex Endpoint) const;
  const std::vector<EndpointIndex> &members() const { return Members_; }
  const std::vector<EndpointIndex> &readyMembers() const { return Ready_; }

  /// Expected engine work of a request, in generated tokens.
  double expectedCost(const RequestTraits &Request) const;
  /// Expected time from dispatch to the end of the answer.
  base::Duration expectedServiceTime(const RequestTraits &Request) const;
  /// Updates the estimates from a finished request. A zero \p TokenInterval
  /// means that it was not observed.
  void updateEstimates(const RequestTraits &Request, base::Tokens Output,
                       base::Duration FirstTokenTime,
                       base::Duration TokenInterval);

  Queue Queue_;
  /// Position of the last chosen member; see CandidateView.
  std::size_t LastChosen_ = 0;
  /// Since when no member has been serving; nothing while one is.
  std::optional<base::TimePoint> NoServingMemberSince_;
  /// Whether no member is both serving and not ejected; ejected members then
  /// take requests.
  bool AllEjected_ = false;

private:
  double expectedOutput(const RequestTraits &Request) const;

  base::PoolId Pool_;
  ServedModel Model_;
  std::vector<EndpointIndex> Members_;
  std::vector<EndpointIndex> Ready_;
  /// By endpoint: its position in Ready_ plus 1, or 0 if it is not ready.
  std::vector<std::uint16_t> ReadyPosition_;
  /// Smoothed ratio of generated tokens to RequestTraits::MaxOutputTokens_.
  double OutputShare_ = 0.5;
  base::Duration TokenInterval_{0};
  base::Duration FirstTokenTime_{0};
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_LANE_H
