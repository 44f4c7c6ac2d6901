#ifndef CAMPHORWIND_ROUTING_TYPES_H
#define CAMPHORWIND_ROUTING_TYPES_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/reasons.h"
#include "camphorwind/base/time.h"
#include "camphorwind/base/tokens.h"
#include "camphorwind/routing/messages.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Requests, endpoints and decisions of the routing library.
namespace camphorwind::routing {

/// Priority of a request; within an account, lower values are served first.
enum class Priority : std::uint8_t { Interactive, Standard, Batch };
inline constexpr std::size_t PriorityCount = 3;

/// A model, its version and its adapter. In a request, an empty member matches
/// any value. In an endpoint's list, an empty version or adapter stands for the
/// base model without one.
struct ServedModel {
  std::string Model_;
  std::string Version_;
  std::string Adapter_;
  friend bool operator==(const ServedModel &, const ServedModel &) = default;
};

/// Properties of a request that routing depends on, after its route has been
/// resolved.
struct RequestTraits {
  base::RequestId Request_;
  base::AccountId Account_;
  base::PoolId Pool_;
  /// If all members are empty, any endpoint of the pool can serve the request.
  ServedModel Model_;
  Priority Priority_ = Priority::Standard;
  /// Time by which the caller must have the complete answer.
  base::TimePoint Deadline_{};
  base::Tokens PromptTokens_;
  /// Upper bound on the number of generated tokens.
  base::Tokens MaxOutputTokens_;
  /// Hashes of the prompt's blocks, in order; see hashBlocks().
  std::vector<BlockHash> Blocks_;
  /// Number of this attempt, from 1. Attempts above 1 use the retry budget.
  unsigned Attempt_ = 1;
  /// Endpoints of earlier attempts; used again only if no other is usable.
  std::vector<base::EndpointId> Avoid_;
};

/// Optional capabilities, as declared in the endpoint's settings.
struct Capabilities {
  bool HonoursPriorities_ = false;
  bool CancelsStreams_ = false;
  bool ResumesStreams_ = false;
  bool PublishesCacheEvents_ = false;
};

/// An endpoint as described by its settings. The speeds are initial estimates,
/// which are then adjusted to observations.
struct EndpointTraits {
  base::EndpointId Endpoint_;
  base::PoolId Pool_;
  base::FailureDomainId Domain_;
  /// Models that the endpoint serves; if empty, every model of the pool.
  std::vector<ServedModel> Models_;
  /// Number of requests that the endpoint runs concurrently; at least 1.
  std::uint32_t Slots_ = 16;
  double PromptTokensPerSecond_ = 8000;
  /// Time between two generated tokens; for a plain service, the duration of a
  /// call.
  base::Duration TokenInterval_ = std::chrono::milliseconds(25);
  /// One-way network delay from this router.
  base::Duration NetworkDelay_{0};
  Capabilities Capabilities_;
};

/// How an attempt failed.
enum class FailureKind : std::uint8_t {
  Refused, ///< The endpoint or agent rejected the attempt without running it.
  Failed,  ///< The endpoint returned an error, or the connection broke.
  Stalled, ///< The attempt made no progress within the stall limit.
  /// The link to the agent broke, or the connection to an endpoint that is
  /// called without an agent.
  LinkLost,
  NotServing, ///< The ticket had expired, or the agent is leaving.
  Cancelled,  ///< Cancelled for the caller; not the endpoint's fault.
};
inline constexpr std::size_t FailureKindCount = 6;

/// Why an endpoint is ejected: it gets only probes for a while.
enum class EjectionReason : std::uint8_t {
  ConsecutiveFailures,
  FailureRate,
  Slow,   ///< Much slower than the median of its pool.
  Silent, ///< An answer is overdue.
};
inline constexpr std::size_t EjectionReasonCount = 4;

/// Returns the name used in metrics and status, such as "failure_rate".
/// @{
std::string_view toString(Priority Value);
std::string_view toString(FailureKind Kind);
std::string_view toString(EjectionReason Reason);
/// @}

/// Decision to send a request to an endpoint now.
struct Assignment {
  base::RequestId Request_;
  base::EndpointId Endpoint_;
  /// Expected time from dispatch to the first token.
  base::Duration ExpectedFirstToken_{0};
  /// Estimated number of prompt tokens in the endpoint's cache.
  base::Tokens CachedTokens_;
};

/// Decision to refuse a request. Nothing has been sent to an endpoint since
/// the request was enqueued.
struct Refusal {
  base::RequestId Request_;
  base::RefusalReason Reason_ = base::RefusalReason::Overloaded;
  /// Time after which the caller may try again; at least 1 s.
  std::chrono::seconds RetryAfter_{1};
};

/// Decisions of one dispatch().
struct Decisions {
  std::vector<Assignment> Assignments_;
  std::vector<Refusal> Refusals_;
  /// Endpoints to ask for a CacheSnapshot.
  std::vector<base::EndpointId> Resyncs_;
};

/// Status of an endpoint, for status pages.
struct EndpointStatus {
  base::EndpointId Endpoint_;
  base::PoolId Pool_;
  bool Leaving_ = false;
  bool Reachable_ = true;
  bool Ejected_ = false;
  /// Meaningful only if `Ejected_` is set.
  EjectionReason EjectionReason_ = EjectionReason::ConsecutiveFailures;
  /// Time until the next probe is allowed; zero if not ejected.
  base::Duration ProbeIn_{0};
  std::uint32_t InFlight_ = 0;
  /// Maximum number of attempts in flight.
  std::uint32_t Window_ = 0;
  base::Duration ExpectedFirstToken_{0};
  /// Cache events were lost and the snapshot has not arrived yet.
  bool CacheResyncPending_ = false;
};

/// Status of a pool, for status pages.
struct PoolStatus {
  base::PoolId Pool_;
  std::size_t Queued_ = 0;
  std::vector<EndpointStatus> Endpoints_;
};

/// Totals since the router started, for metrics.
struct Counters {
  std::uint64_t Enqueued_ = 0;
  std::uint64_t Dispatched_ = 0;
  std::uint64_t Retries_ = 0;
  std::uint64_t RetriesDenied_ = 0;
  std::uint64_t Probes_ = 0;
  std::uint64_t EjectionsPrevented_ = 0;
  /// Indexed by base::RefusalReason.
  std::array<std::uint64_t, base::AllRefusalReasons.size()> Refusals_{};
  /// Indexed by EjectionReason.
  std::array<std::uint64_t, EjectionReasonCount> Ejections_{};
  /// Indexed by FailureKind.
  std::array<std::uint64_t, FailureKindCount> Failures_{};
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_TYPES_H
