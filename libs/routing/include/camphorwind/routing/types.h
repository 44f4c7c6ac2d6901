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

/// Requests, endpoints and decisions as the routing library sees them.
namespace camphorwind::routing {

/// How urgent a request is; a lower value is served first.
enum class Priority : std::uint8_t { Interactive, Standard, Batch };
inline constexpr std::size_t PriorityCount = 3;

/// A model, its version and an adapter on it. In a request an empty member
/// matches any; in an endpoint's list it is the base model or version.
struct ServedModel {
  std::string Model_;
  std::string Version_;
  std::string Adapter_;
  friend bool operator==(const ServedModel &, const ServedModel &) = default;
};

/// What the choice of an endpoint depends on; the route has been resolved.
struct RequestTraits {
  base::RequestId Request_;
  base::AccountId Account_;
  base::PoolId Pool_;
  /// All empty: any endpoint of the pool will do.
  ServedModel Model_;
  Priority Priority_ = Priority::Standard;
  /// When the whole answer must be with the caller.
  base::TimePoint Deadline_{};
  base::Tokens PromptTokens_;
  /// Upper bound of the tokens to generate.
  base::Tokens MaxOutputTokens_;
  /// Hashes of the prompt's blocks from the start; see hashBlocks().
  std::vector<BlockHash> Blocks_;
  /// 1 for the first attempt; later ones draw on the retry budget.
  unsigned Attempt_ = 1;
  /// Endpoints of earlier attempts, used again only if no other is left.
  std::vector<base::EndpointId> Avoid_;
};

/// Optional abilities that an endpoint's settings declare.
struct Capabilities {
  bool HonoursPriorities_ = false;
  bool CancelsStreams_ = false;
  bool ResumesStreams_ = false;
  bool PublishesCacheEvents_ = false;
};

/// An endpoint as its settings describe it. The speeds are where the estimates
/// start; they follow what is observed.
struct EndpointTraits {
  base::EndpointId Endpoint_;
  base::PoolId Pool_;
  base::FailureDomainId Domain_;
  /// Empty: serves whatever the pool is for.
  std::vector<ServedModel> Models_;
  /// Requests that the endpoint runs side by side; at least 1.
  std::uint32_t Slots_ = 16;
  double PromptTokensPerSecond_ = 8000;
  /// Time between two generated tokens; for a plain service, of a whole call.
  base::Duration TokenInterval_ = std::chrono::milliseconds(25);
  /// One-way network delay from this router.
  base::Duration NetworkDelay_{0};
  Capabilities Capabilities_;
};

/// How an attempt at an endpoint went wrong.
enum class FailureKind : std::uint8_t {
  Refused,    ///< The endpoint or agent would not take it, and did not run it.
  Failed,     ///< An error answer, or a connection that broke.
  Stalled,    ///< No progress within the stall limit.
  LinkLost,   ///< The link to the agent broke.
  NotServing, ///< The ticket had lapsed or the agent is leaving.
  Cancelled,  ///< Given up for the caller's sake; says nothing of the endpoint.
};
inline constexpr std::size_t FailureKindCount = 6;

/// Why an endpoint gets no ordinary work for a while.
enum class EjectionReason : std::uint8_t {
  ConsecutiveFailures,
  FailureRate,
  Slow,
  Silent,
};
inline constexpr std::size_t EjectionReasonCount = 4;

/// Return the names as used in metrics and status, such as "failure_rate".
std::string_view toString(Priority Value);
std::string_view toString(FailureKind Kind);
std::string_view toString(EjectionReason Reason);

/// Send this request to this endpoint now.
struct Assignment {
  base::RequestId Request_;
  base::EndpointId Endpoint_;
  /// First token expected this long after dispatch.
  base::Duration ExpectedFirstToken_{0};
  /// Prompt tokens believed to be in the endpoint's cache.
  base::Tokens CachedTokens_;
};

/// Answer this request at once: no attempt was made for it by this queue.
struct Refusal {
  base::RequestId Request_;
  base::RefusalReason Reason_ = base::RefusalReason::Overloaded;
  /// When to come back; whole seconds, at least 1.
  std::chrono::seconds RetryAfter_{1};
};

/// What dispatch() decided.
struct Decisions {
  std::vector<Assignment> Assignments_;
  std::vector<Refusal> Refusals_;
  /// Ask these endpoints for a CacheSnapshot.
  std::vector<base::EndpointId> Resyncs_;
};

/// One endpoint for status pages.
struct EndpointStatus {
  base::EndpointId Endpoint_;
  base::PoolId Pool_;
  bool Leaving_ = false;
  bool Reachable_ = true;
  bool Ejected_ = false;
  EjectionReason EjectionReason_ = EjectionReason::ConsecutiveFailures;
  /// Until the first probe; zero when not ejected.
  base::Duration ProbeIn_{0};
  std::uint32_t InFlight_ = 0;
  std::uint32_t Window_ = 0;
  base::Duration ExpectedFirstToken_{0};
  /// Events were lost and the snapshot has not come yet.
  bool CacheResyncPending_ = false;
};

/// One pool for status pages.
struct PoolStatus {
  base::PoolId Pool_;
  std::size_t Queued_ = 0;
  std::vector<EndpointStatus> Endpoints_;
};

/// Totals since start, for metrics.
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
