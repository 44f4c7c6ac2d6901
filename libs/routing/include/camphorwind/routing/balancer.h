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

/// The one interface that a router's daemon needs: endpoints and their reports
/// go in with requests, assignments and refusals come out.
namespace camphorwind::routing {

/// What can be set for one router.
struct BalancerOptions {
  PolicyKind Policy_ = PolicyKind::LeastCost;
  /// Requests that may wait for the endpoints of one pool and model.
  std::size_t MaxQueued_ = 4096;
  /// A request that would wait longer than this is refused as overloaded,
  /// even if its deadline is later.
  base::Duration MaxQueueWait_ = std::chrono::seconds(4);
  /// Retries granted for each request; 0.1 allows one in ten.
  double RetryShare_ = 0.1;
  /// Prompt blocks remembered over all endpoints, 64 bytes each.
  std::size_t MaxBlocks_ = 1 << 16;
  /// Prompt tokens in one block of RequestTraits::Blocks_.
  std::uint32_t TokensPerBlock_ = 64;
  EjectorOptions Ejector_;
  /// Seed of the choice among equals.
  std::uint64_t Seed_ = 1;
};

/// Which option has no usable value.
enum class BalancerOptionError : std::uint8_t {
  MaxQueued,
  MaxQueueWait,
  RetryShare,
  MaxBlocks,
  TokensPerBlock,
};

/// Chooses endpoints for requests by \p Policy. One per router; not
/// thread-safe. No call does I/O, and time never runs backwards between calls.
template <ChoicePolicy<Candidates> Policy> class BasicBalancer {
public:
  /// Checks the options. \p Choice is the policy to use.
  static base::Result<BasicBalancer, BalancerOptionError>
  create(const BalancerOptions &Options, Policy SelectedPolicy);
  /// The same with the policy that the options name.
  static base::Result<BasicBalancer, BalancerOptionError>
  create(const BalancerOptions &Options) requires
      std::constructible_from<Policy, PolicyKind> {
    return create(Options, Policy(Options.Policy_));
  }

  /// Adds an endpoint, or replaces the traits of a known one. A new endpoint
  /// starts slowly when its pool has others at work.
  void addEndpoint(const EndpointTraits &Traits, base::TimePoint Now);
  /// Forgets an endpoint; its attempts in flight are no longer counted.
  void removeEndpoint(const base::EndpointId &Endpoint, base::TimePoint Now);
  /// From now on gives the endpoint no new request, until it is added again.
  void markLeaving(const base::EndpointId &Endpoint, base::TimePoint Now);
  /// Says whether the endpoint may get work: linked, with a valid ticket.
  void setReachable(const base::EndpointId &Endpoint, bool Reachable,
                    base::TimePoint Now);

  /// Changes the retries granted for each request, from 0 to 1.
  void setRetryShare(double Share) { Retries_.setShare(Share); }
  /// Changes how long new and recovered endpoints start slowly.
  void setSlowStart(base::Duration Duration) {
    Directory_.setSlowStart(Duration);
  }

  /// Takes a request into its queue. Returns a refusal when it could not be
  /// answered in time; the request is then forgotten. A later attempt of the
  /// same request is enqueued again with `Attempt_` above 1.
  std::optional<Refusal> enqueue(RequestTraits Request, base::TimePoint Now);
  /// Gives waiting requests to endpoints with room and refuses those whose
  /// deadline can no longer be met. Call after each batch of events, and at
  /// nextWake().
  Decisions dispatch(base::TimePoint Now);
  /// Forgets a request that is still waiting; false if it is not waiting.
  bool cancel(const base::RequestId &Request);
  /// When dispatch() has to run again although no event came.
  std::optional<base::TimePoint> nextWake() const;

  /// The first token or, for a plain service, the answer's start arrived.
  void firstToken(const base::RequestId &Request, base::TimePoint Now);
  /// The attempt ended whole, after \p Output generated tokens.
  void finished(const base::RequestId &Request, base::Tokens Output,
                base::TimePoint Now);
  /// The attempt ended without a whole answer. Whether the request may run
  /// again is the caller's decision.
  void failed(const base::RequestId &Request, FailureKind Kind,
              base::TimePoint Now);

  void loadReport(const LoadReport &Report, base::TimePoint Now);
  void cacheEvent(const CacheEvent &Event, base::TimePoint Now);
  void cacheSnapshot(const CacheSnapshot &Snapshot);

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
  /// Requests pushed out of a full queue, to be refused by dispatch().
  std::vector<Refusal> Evicted_;
  std::vector<base::EndpointId> Resyncs_;
  /// When each endpoint was last asked for a snapshot.
  std::unordered_map<base::EndpointId, base::TimePoint> ResyncRequestedAt_;
  std::size_t FirstLane_ = 0;
  Counters Counters_;
};

/// The balancer with the policy that the settings select.
using Balancer = BasicBalancer<SelectablePolicy>;

} // namespace camphorwind::routing

#include "camphorwind/routing/detail/balancer-impl.h"

namespace camphorwind::routing {

extern template class BasicBalancer<SelectablePolicy>;

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_BALANCER_H
