#ifndef CAMPHORWIND_ROUTING_POLICY_H
#define CAMPHORWIND_ROUTING_POLICY_H

#include "camphorwind/base/random.h"
#include "camphorwind/base/time.h"
#include "camphorwind/routing/prefix-view.h"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <variant>

/// Policies that choose an endpoint for a request.
namespace camphorwind::routing {

/// The endpoints among which a policy chooses. Members are all endpoints that
/// serve the model. Ready members have room in their window, are reachable, and
/// are not leaving or ejected; ready(Endpoint) is also false for members that
/// are excluded for this request.
template <class T>
concept CandidateView = requires(const T &View, T &Mutable,
                                 std::size_t Position, EndpointIndex Endpoint) {
  { View.memberCount() } -> std::convertible_to<std::size_t>;
  { View.member(Position) } -> std::same_as<EndpointIndex>;
  { View.readyCount() } -> std::convertible_to<std::size_t>;
  { View.readyAt(Position) } -> std::same_as<EndpointIndex>;
  { View.ready(Endpoint) } -> std::same_as<bool>;
  /// Last reported number of requests at the endpoint, divided by its slots.
  { View.reportedOccupancy(Endpoint) } -> std::same_as<double>;
  /// Cost of the request at the endpoint: its time to first token plus the
  /// processing time that it takes from other requests.
  { View.cost(Endpoint) } -> std::same_as<base::Duration>;
  /// Endpoints that probably have a prefix of the prompt cached.
  { View.matches() } -> std::convertible_to<PrefixMatches>;
  /// Position of the last chosen member, kept for each set of members.
  { Mutable.lastChosen() } -> std::same_as<std::size_t &>;
};

/// A policy: chooses an endpoint, or nothing if none is ready.
template <class T, class View>
concept ChoicePolicy = CandidateView<View> &&
    requires(T &Policy, View &Endpoints, base::Random &Random) {
  {
    Policy.choose(Endpoints, Random)
    } -> std::same_as<std::optional<EndpointIndex>>;
};

namespace detail {

/// Keeps the first offered candidate of minimum cost.
template <class Cost> class MinCostCandidate {
public:
  void offer(EndpointIndex Endpoint, Cost Value) {
    if (Best_ && Value >= Value_)
      return;
    Best_ = Endpoint;
    Value_ = Value;
  }
  std::optional<EndpointIndex> best() const { return Best_; }

private:
  std::optional<EndpointIndex> Best_;
  Cost Value_{};
};

template <CandidateView View>
EndpointIndex randomReady(const View &Endpoints, base::Random &Random) {
  return Endpoints.readyAt(
      Random(static_cast<std::uint32_t>(Endpoints.readyCount())));
}

} // namespace detail

/// Chooses the ready members in turn.
struct RoundRobin {
  template <CandidateView View>
  std::optional<EndpointIndex> choose(View &Endpoints, base::Random &) {
    for (std::size_t Step = 0; Step < Endpoints.memberCount(); ++Step) {
      Endpoints.lastChosen() =
          (Endpoints.lastChosen() + 1) % Endpoints.memberCount();
      EndpointIndex Endpoint = Endpoints.member(Endpoints.lastChosen());
      if (Endpoints.ready(Endpoint))
        return Endpoint;
    }
    return std::nullopt;
  }
};

/// Chooses the ready member with the lowest reported occupancy (requests
/// divided by slots). Compares all ready members, starting at a random one.
struct LeastLoad {
  template <CandidateView View>
  std::optional<EndpointIndex> choose(View &Endpoints, base::Random &Random) {
    if (Endpoints.readyCount() == 0)
      return std::nullopt;
    detail::MinCostCandidate<double> Best;
    std::size_t First =
        Random(static_cast<std::uint32_t>(Endpoints.readyCount()));
    for (std::size_t Step = 0; Step < Endpoints.readyCount(); ++Step) {
      EndpointIndex Endpoint =
          Endpoints.readyAt((First + Step) % Endpoints.readyCount());
      if (Endpoints.ready(Endpoint))
        Best.offer(Endpoint, Endpoints.reportedOccupancy(Endpoint));
    }
    return Best.best();
  }
};

/// Draws two ready members at random and chooses the one with the lower
/// reported occupancy (requests divided by slots). Chooses as RoundRobin if
/// both are excluded for this request.
struct TwoChoices {
  template <CandidateView View>
  std::optional<EndpointIndex> choose(View &Endpoints, base::Random &Random) {
    if (Endpoints.readyCount() == 0)
      return std::nullopt;
    detail::MinCostCandidate<double> Best;
    for (int Draw = 0; Draw < 2; ++Draw) {
      EndpointIndex Endpoint = detail::randomReady(Endpoints, Random);
      if (Endpoints.ready(Endpoint))
        Best.offer(Endpoint, Endpoints.reportedOccupancy(Endpoint));
    }
    return Best.best() ? Best.best() : RoundRobin().choose(Endpoints, Random);
  }
};

/// Chooses the ready member of minimum cost. With more than MaxExhaustive ready
/// members, compares only some that have a prefix of the prompt cached and a
/// random sample; if all of these are excluded, chooses as RoundRobin.
struct LeastCost {
  /// Maximum number of ready members that are all compared.
  static constexpr std::size_t MaxExhaustive = 16;
  static constexpr std::size_t RandomDraws = 8;
  static constexpr std::size_t MaxCacheHolders = 6;

  template <CandidateView View>
  std::optional<EndpointIndex> choose(View &Endpoints, base::Random &Random) {
    if (Endpoints.readyCount() == 0)
      return std::nullopt;
    detail::MinCostCandidate<base::Duration> Best;
    if (Endpoints.readyCount() <= MaxExhaustive)
      compareAll(Endpoints, Best, Random);
    else
      compareSample(Endpoints, Best, Random);
    return Best.best() ? Best.best() : RoundRobin().choose(Endpoints, Random);
  }

private:
  template <class View>
  static void offer(View &Endpoints,
                    detail::MinCostCandidate<base::Duration> &Best,
                    EndpointIndex Endpoint) {
    if (Endpoints.ready(Endpoint))
      Best.offer(Endpoint, Endpoints.cost(Endpoint));
  }

  template <class View>
  static void compareAll(View &Endpoints,
                         detail::MinCostCandidate<base::Duration> &Best,
                         base::Random &Random) {
    std::size_t Count = Endpoints.readyCount();
    std::size_t First = Random(static_cast<std::uint32_t>(Count));
    for (std::size_t Step = 0; Step < Count; ++Step)
      offer(Endpoints, Best, Endpoints.readyAt((First + Step) % Count));
  }

  /// Compares up to MaxCacheHolders ready members with a cached prefix, those
  /// found last first, then RandomDraws random ready members.
  template <class View>
  static void compareSample(View &Endpoints,
                            detail::MinCostCandidate<base::Duration> &Best,
                            base::Random &Random) {
    const PrefixMatches &Matches = Endpoints.matches();
    std::size_t Compared = 0;
    for (auto Match = Matches.all().rbegin();
         Match != Matches.all().rend() && Compared < MaxCacheHolders; ++Match)
      if (Endpoints.ready(Match->Endpoint_)) {
        Best.offer(Match->Endpoint_, Endpoints.cost(Match->Endpoint_));
        ++Compared;
      }
    for (std::size_t Draw = 0; Draw < RandomDraws; ++Draw)
      offer(Endpoints, Best, detail::randomReady(Endpoints, Random));
  }
};

/// Which policy chooses the endpoint.
enum class PolicyKind : std::uint8_t {
  LeastCost, ///< Its name in settings is "shipped".
  RoundRobin,
  LeastLoad,
  TwoChoices,
};
inline constexpr std::size_t PolicyKindCount = 4;

/// Returns the name of the policy in settings, such as "round_robin".
std::string_view toString(PolicyKind Kind);
/// Returns the policy of a settings name, or nothing if the name is unknown.
std::optional<PolicyKind> policyKindFromString(std::string_view Name);

/// A policy selected at run time.
class SelectablePolicy {
public:
  explicit SelectablePolicy(PolicyKind Kind = PolicyKind::LeastCost);

  template <CandidateView View>
  std::optional<EndpointIndex> choose(View &Endpoints, base::Random &Random) {
    return std::visit(
        [&](auto &Policy) { return Policy.choose(Endpoints, Random); },
        Policy_);
  }

private:
  std::variant<LeastCost, RoundRobin, LeastLoad, TwoChoices> Policy_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_POLICY_H
