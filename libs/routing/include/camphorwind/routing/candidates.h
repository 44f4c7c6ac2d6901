#ifndef CAMPHORWIND_ROUTING_CANDIDATES_H
#define CAMPHORWIND_ROUTING_CANDIDATES_H

#include "camphorwind/routing/directory.h"
#include "camphorwind/routing/policy.h"
#include "camphorwind/routing/prefix-view.h"

namespace camphorwind::routing {

/// The endpoints of one lane, as seen by a policy for one request.
class Candidates {
public:
  Candidates(const Directory &Endpoints, Lane &RequestLane,
             const PrefixView &Prefixes, const RequestTraits &Request,
             std::uint32_t TokensPerBlock, base::TimePoint Now);

  std::size_t memberCount() const { return Lane_.members().size(); }
  EndpointIndex member(std::size_t Position) const {
    return Lane_.members()[Position];
  }
  std::size_t readyCount() const { return Lane_.readyMembers().size(); }
  EndpointIndex readyAt(std::size_t Position) const {
    return Lane_.readyMembers()[Position];
  }
  bool ready(EndpointIndex Endpoint) const;
  double reportedOccupancy(EndpointIndex Endpoint) const;
  base::Duration cost(EndpointIndex Endpoint) const;
  const PrefixMatches &matches() const { return Matches_; }
  std::size_t &lastChosen() { return Lane_.LastChosen_; }

  /// Estimated number of the request's prompt tokens cached at the endpoint.
  double cachedTokens(EndpointIndex Endpoint) const;
  /// Whether a ready endpoint is excluded because an earlier attempt of this
  /// request went to it.
  bool anyReadyExcluded() const { return ReadyExcluded_; }

private:
  bool avoided(EndpointIndex Endpoint) const;

  const Directory &Endpoints_;
  Lane &Lane_;
  const PrefixView &Prefixes_;
  const RequestTraits &Request_;
  std::uint32_t TokensPerBlock_;
  base::TimePoint Now_;
  PrefixMatches Matches_;
  /// Whether the endpoints in RequestTraits::Avoid_ are excluded.
  bool ExcludesAvoided_ = false;
  bool ReadyExcluded_ = false;
};

static_assert(CandidateView<Candidates>);

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_CANDIDATES_H
