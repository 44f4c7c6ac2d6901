#ifndef CAMPHORWIND_ROUTING_LANE_H
#define CAMPHORWIND_ROUTING_LANE_H

#include "camphorwind/routing/prefix-view.h"
#include "camphorwind/routing/queue.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace camphorwind::routing {

/// The requests of one pool for one model, the endpoints that serve them, and
/// what has been learned of both.
class Lane {
public:
  Lane(base::PoolId Pool, ServedModel Model);

  const base::PoolId &pool() const { return Pool_; }
  /// Whether an endpoint with these models serves this lane's requests.
  bool servedBy(const EndpointTraits &Endpoint) const;

  void addMember(EndpointIndex Endpoint, const EndpointTraits &Traits);
  void removeMember(EndpointIndex Endpoint);
  /// Says whether the member can take a request now.
  void setReady(EndpointIndex Endpoint, bool Ready);
  bool ready(EndpointIndex Endpoint) const;
  const std::vector<EndpointIndex> &members() const { return Members_; }
  const std::vector<EndpointIndex> &readyMembers() const { return Ready_; }

  /// Expected work and time of a request, its waiting excluded.
  double expectedCost(const RequestTraits &Request) const;
  base::Duration expectedServiceTime(const RequestTraits &Request) const;
  /// Learns from a finished request.
  void updateEstimates(const RequestTraits &Request, base::Tokens Output,
                       base::Duration FirstTokenTime,
                       base::Duration TokenInterval);

  Queue Queue_;
  /// Position of the last choice; see CandidateView.
  std::size_t LastChosen_ = 0;
  /// Since when no member could serve; none while one can.
  std::optional<base::TimePoint> NoServingMemberSince_;
  /// Every serving member is ejected; then these take requests all the same.
  bool AllEjected_ = false;

private:
  double expectedOutput(const RequestTraits &Request) const;

  base::PoolId Pool_;
  ServedModel Model_;
  std::vector<EndpointIndex> Members_;
  std::vector<EndpointIndex> Ready_;
  /// Position in Ready_ plus one by endpoint; 0 for those not ready.
  std::vector<std::uint16_t> ReadyPosition_;
  /// Generated tokens over their upper bound, smoothed.
  double OutputShare_ = 0.5;
  base::Duration TokenInterval_{0};
  base::Duration FirstTokenTime_{0};
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_LANE_H
