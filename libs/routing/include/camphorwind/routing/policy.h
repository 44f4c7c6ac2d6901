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

/// Policies that choose one of the endpoints that can take a request now.
namespace camphorwind::routing {

/// What a policy may look at. Members are all endpoints that serve the model;
/// ready ones have room in their window and are neither leaving, ejected,
/// unreachable nor ruled out for this request.
template <class T>
concept CandidateView = requires(const T &View, T &Mutable,
                                 std::size_t Position, EndpointIndex Endpoint) {
  { View.memberCount() } -> std::convertible_to<std::size_t>;
  { View.member(Position) } -> std::same_as<EndpointIndex>;
  { View.readyCount() } -> std::convertible_to<std::size_t>;
  { View.readyAt(Position) } -> std::same_as<EndpointIndex>;
  { View.ready(Endpoint) } -> std::same_as<bool>;
  /// Requests at the endpoint over its slots, as last reported.
  { View.reportedOccupancy(Endpoint) } -> std::same_as<double>;
  /// What the request would cost there: time to first token, and the
  /// processing that is taken from others.
  { View.cost(Endpoint) } -> std::same_as<base::Duration>;
  /// Endpoints believed to have a part of the prompt cached.
  { View.matches() } -> std::convertible_to<PrefixMatches>;
  /// Position of the last choice, kept for each set of members.
  { Mutable.lastChosen() } -> std::same_as<std::size_t &>;
};

/// Chooses an endpoint, or nothing if none is ready.
template <class T, class View>
concept ChoicePolicy = CandidateView<View> &&
    requires(T &Policy, View &Seen, base::Random &Bits) {
  { Policy.choose(Seen, Bits) } -> std::same_as<std::optional<EndpointIndex>>;
};

namespace detail {

/// Keeps the candidate with the least cost.
template <class Cost> class Least {
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
EndpointIndex randomReady(const View &Seen, base::Random &Bits) {
  return Seen.readyAt(Bits(static_cast<std::uint32_t>(Seen.readyCount())));
}

} // namespace detail

/// The next ready member in turn.
struct RoundRobin {
  template <CandidateView View>
  std::optional<EndpointIndex> choose(View &Seen, base::Random &) {
    for (std::size_t Step = 0; Step < Seen.memberCount(); ++Step) {
      Seen.lastChosen() = (Seen.lastChosen() + 1) % Seen.memberCount();
      EndpointIndex Endpoint = Seen.member(Seen.lastChosen());
      if (Seen.ready(Endpoint))
        return Endpoint;
    }
    return std::nullopt;
  }
};

/// The ready member with the least reported load; looks at all of them.
struct LeastLoad {
  template <CandidateView View>
  std::optional<EndpointIndex> choose(View &Seen, base::Random &Bits) {
    if (Seen.readyCount() == 0)
      return std::nullopt;
    detail::Least<double> Least;
    std::size_t First = Bits(static_cast<std::uint32_t>(Seen.readyCount()));
    for (std::size_t Step = 0; Step < Seen.readyCount(); ++Step) {
      EndpointIndex Endpoint = Seen.readyAt((First + Step) % Seen.readyCount());
      if (Seen.ready(Endpoint))
        Least.offer(Endpoint, Seen.reportedOccupancy(Endpoint));
    }
    return Least.best();
  }
};

/// The less loaded, by report, of two ready members drawn at random.
struct TwoChoices {
  template <CandidateView View>
  std::optional<EndpointIndex> choose(View &Seen, base::Random &Bits) {
    if (Seen.readyCount() == 0)
      return std::nullopt;
    detail::Least<double> Least;
    for (int Draw = 0; Draw < 2; ++Draw) {
      EndpointIndex Endpoint = detail::randomReady(Seen, Bits);
      if (Seen.ready(Endpoint))
        Least.offer(Endpoint, Seen.reportedOccupancy(Endpoint));
    }
    return Least.best() ? Least.best() : RoundRobin().choose(Seen, Bits);
  }
};

/// The least costly of the endpoints that have part of the prompt cached and
/// of a few ready ones drawn at random; of all ready ones where they are few.
struct LeastCost {
  /// With at most this many ready members each is weighed.
  static constexpr std::size_t MaxExhaustive = 16;
  static constexpr std::size_t Draws = 8;
  static constexpr std::size_t MaxHolders = 6;

  template <CandidateView View>
  std::optional<EndpointIndex> choose(View &Seen, base::Random &Bits) {
    if (Seen.readyCount() == 0)
      return std::nullopt;
    detail::Least<base::Duration> Least;
    if (Seen.readyCount() <= MaxExhaustive)
      weighAll(Seen, Least, Bits);
    else
      weighSome(Seen, Least, Bits);
    return Least.best() ? Least.best() : RoundRobin().choose(Seen, Bits);
  }

private:
  template <class View>
  static void offer(View &Seen, detail::Least<base::Duration> &Least,
                    EndpointIndex Endpoint) {
    if (Seen.ready(Endpoint))
      Least.offer(Endpoint, Seen.cost(Endpoint));
  }

  template <class View>
  static void weighAll(View &Seen, detail::Least<base::Duration> &Least,
                       base::Random &Bits) {
    std::size_t Count = Seen.readyCount();
    std::size_t First = Bits(static_cast<std::uint32_t>(Count));
    for (std::size_t Step = 0; Step < Count; ++Step)
      offer(Seen, Least, Seen.readyAt((First + Step) % Count));
  }

  /// Holders of the longest parts of the prompt come first.
  template <class View>
  static void weighSome(View &Seen, detail::Least<base::Duration> &Least,
                        base::Random &Bits) {
    const PrefixMatches &Matches = Seen.matches();
    std::size_t Weighed = 0;
    for (auto Match = Matches.all().rbegin();
         Match != Matches.all().rend() && Weighed < MaxHolders; ++Match)
      if (Seen.ready(Match->Endpoint_)) {
        Least.offer(Match->Endpoint_, Seen.cost(Match->Endpoint_));
        ++Weighed;
      }
    for (std::size_t Draw = 0; Draw < Draws; ++Draw)
      offer(Seen, Least, detail::randomReady(Seen, Bits));
  }
};

/// Which policy chooses the endpoint.
enum class PolicyKind : std::uint8_t {
  LeastCost,
  RoundRobin,
  LeastLoad,
  TwoChoices,
};
inline constexpr std::size_t PolicyKindCount = 4;

/// Return the settings' name of the policy, such as "round_robin", and back.
std::string_view toString(PolicyKind Kind);
std::optional<PolicyKind> policyKindFromString(std::string_view Name);

/// One of the policies above, chosen when the process starts.
class SelectablePolicy {
public:
  explicit SelectablePolicy(PolicyKind Kind = PolicyKind::LeastCost);

  template <CandidateView View>
  std::optional<EndpointIndex> choose(View &Seen, base::Random &Bits) {
    return std::visit([&](auto &Policy) { return Policy.choose(Seen, Bits); },
                      Policy_);
  }

private:
  std::variant<LeastCost, RoundRobin, LeastLoad, TwoChoices> Policy_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_POLICY_H
