#ifndef CAMPHORWIND_ROUTING_BALANCER_H
#define CAMPHORWIND_ROUTING_BALANCER_H

#include "camphorwind/base/result.h"
#include "camphorwind/routing/candidates.h"
#include "camphorwind/routing/directory.h"
#include "camphorwind/routing/policy.h"
#include "camphorwind/routing/retry-budget.h"
#include "camphorwind/routing/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

/// Request routing of one router: takes endpoints, their reports and requests;
/// returns assignments and refusals.
namespace camphorwind::routing {

/// Routing options of one router.
struct BalancerOptions {
  PolicyKind Policy_ = PolicyKind::LeastCost;
  /// Maximum number of queued requests for each pool and model; above 0.
  std::size_t MaxQueued_ = 4096;
  /// A request whose expected wait is longer is refused as overloaded, even
  /// if its deadline is later. Above 0.
  base::Duration MaxQueueWait_ = std::chrono::seconds(4);
  /// Retries allowed for each request, from 0 to 1; 0.1 allows one retry for
  /// ten requests.
  double RetryShare_ = 0.1;
  /// Prompt blocks tracked over all endpoints, 64 bytes each; from 1 to 2^24.
  std::size_t MaxBlocks_ = 1 << 16;
  /// Prompt tokens in one block of RequestTraits::Blocks_; above 0.
  std::uint32_t TokensPerBlock_ = 64;
  EjectorOptions Ejector_;
  /// Seed of all random choices.
  std::uint64_t Seed_ = 1;
};

/// The option that is out of range.
enum class BalancerOptionError : std::uint8_t {
  MaxQueued,
  MaxQueueWait,
  RetryShare,
  MaxBlocks,
  TokensPerBlock,
};

/// Queues requests and assigns them to endpoints chosen by \p Policy. One per
/// router; not thread-safe. No call does I/O. \p Now must not decrease from
/// one call to the next.
template <ChoicePolicy<Candidates> Policy> class BasicBalancer {
public:
  /// Creates a balancer with \p SelectedPolicy, or returns the first option
  /// that is out of range.
  static base::Result<BasicBalancer, BalancerOptionError>
  create(const BalancerOptions &Options, Policy SelectedPolicy);
  /// Creates a balancer with the policy that the options name, or returns the
  /// first option that is out of range.
  static base::Result<BasicBalancer, BalancerOptionError>
  create(const BalancerOptions &Options) requires
      std::constructible_from<Policy, PolicyKind> {
    return create(Options, Policy(Options.Policy_));
  }

  /// Adds an endpoint, or replaces the traits of a known one. A new endpoint
  /// gets a slow start if its pool already has a serving endpoint that was
  /// added longer ago than the slow start lasts. An endpoint that is leaving,
  /// or whose pool or models change, is removed and added as a new one.
  void addEndpoint(const EndpointTraits &Traits, base::TimePoint Now);
  /// Removes an endpoint. Its attempts in flight are no longer counted.
  void removeEndpoint(const base::EndpointId &Endpoint, base::TimePoint Now);
  /// Stops assigning requests to the endpoint until it is added again.
  void markLeaving(const base::EndpointId &Endpoint, base::TimePoint Now);
  /// Sets whether the endpoint is reachable: linked, with a valid ticket.
  /// Unreachable endpoints get no requests.
  void setReachable(const base::EndpointId &Endpoint, bool Reachable,
                    base::TimePoint Now);

  /// Changes BalancerOptions::RetryShare_; \p Share is from 0 to 1.
  void setRetryShare(double Share) { Retries_.setShare(Share); }
  /// Changes the length of the slow start of new and recovered endpoints.
  void setSlowStart(base::Duration Duration) {
    Directory_.setSlowStart(Duration);
  }

  /// Queues a request, or returns why it is refused: no endpoint, a deadline
  /// or wait limit that would be exceeded, a full queue, no retry left, or an
  /// id that is already queued or in flight. A refused request is not kept.
  /// For a retry, enqueue the request again with `Attempt_` above 1.
  std::optional<Refusal> enqueue(RequestTraits Request, base::TimePoint Now);
  /// Assigns queued requests to endpoints with room and refuses those whose
  /// deadline can no longer be met. Call after each batch of events, and at
  /// nextWake().
  Decisions dispatch(base::TimePoint Now);
  /// Removes a request from its queue. Returns false if it is not queued.
  bool cancel(const base::RequestId &Request);
  /// Returns when dispatch() must run next even without an event; nothing if
  /// no request is queued or in flight.
  std::optional<base::TimePoint> nextWake() const;

  /// Reports the first token or, for a plain service, the start of the answer.
  void firstToken(const base::RequestId &Request, base::TimePoint Now);
  /// Reports a complete answer with \p Output generated tokens.
  void finished(const base::RequestId &Request, base::Tokens Output,
                base::TimePoint Now);
  /// Reports an attempt that ended without a complete answer. The caller
  /// decides whether to retry the request.
  void failed(const base::RequestId &Request, FailureKind Kind,
              base::TimePoint Now);

  /// Applies a report of an agent; reports on unknown endpoints are ignored.
  /// @{
  void loadReport(const LoadReport &Report, base::TimePoint Now);
  void cacheEvent(const CacheEvent &Event, base::TimePoint Now);
  void cacheSnapshot(const CacheSnapshot &Snapshot);
  /// @}

  Counters counters() const;
  std::vector<PoolStatus> status(base::TimePoint Now) const;

private:
  struct InFlight {
    RequestTraits Traits_;
    Lane *Lane_ = nullptr;
    SentAttempt Sent_;
  };

  BasicBalancer(const BalancerOptions &Options, Policy SelectedPolicy);

  Refusal refuse(const base::RequestId &Request, base::RefusalReason Reason,
                 base::Duration Wait);
  static base::Duration expectedWait(const Lane &RequestLane,
                                     const RequestTraits &Request);
  std::optional<Refusal> admit(Lane &RequestLane, const RequestTraits &Request,
                               base::Duration ServiceTime, base::TimePoint Now);
  std::optional<Refusal> makeRoom(Lane &RequestLane,
                                  const RequestTraits &Request);
  void refuseUnservable(Lane &RequestLane, base::TimePoint Now, Decisions &Out);
  void dispatchLane(Lane &RequestLane, base::TimePoint Now, Decisions &Out);
  Assignment assign(Lane &RequestLane, const Candidates &Endpoints,
                    EndpointIndex Endpoint, base::TimePoint Now);

  BalancerOptions Options_;
  Policy Policy_;
  base::Random Random_;
  Directory Directory_;
  PrefixView Prefixes_;
  RetryBudget Retries_;
  std::unordered_map<base::RequestId, InFlight> InFlight_;
  /// Refusals of requests evicted from a full queue, returned by the next
  /// dispatch().
  std::vector<Refusal> Evicted_;
  /// Endpoints to ask for a cache snapshot, returned by the next dispatch().
  std::vector<base::EndpointId> Resyncs_;
  /// When each endpoint was last asked for a cache snapshot.
  std::unordered_map<base::EndpointId, base::TimePoint> ResyncRequestedAt_;
  /// Rotating start of dispatch() over the lanes.
  std::size_t FirstLane_ = 0;
  Counters Counters_;
};

/// Balancer whose policy is selected by BalancerOptions::Policy_.
using Balancer = BasicBalancer<SelectablePolicy>;

} // namespace camphorwind::routing

#include "camphorwind/routing/detail/balancer-impl.h"

namespace camphorwind::routing {

extern template class BasicBalancer<SelectablePolicy>;

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_BALANCER_H
