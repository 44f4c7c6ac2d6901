#ifndef CAMPHORWIND_ROUTING_DIRECT_POOL_H
#define CAMPHORWIND_ROUTING_DIRECT_POOL_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/result.h"
#include "camphorwind/base/time.h"
#include "camphorwind/routing/ejector.h"
#include "camphorwind/routing/prompt-cache.h"
#include "camphorwind/routing/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// Choice among the endpoints of a pool that routers call without agents. There
/// are no reports between answers: the state of an endpoint is estimated from
/// this router's own requests and from the load that answers state.
namespace camphorwind::routing {

/// An endpoint as the platform's list shows it.
struct DirectEndpoint {
  base::EndpointId Endpoint_;
  base::FailureDomainId Domain_;
  /// Requests that run side by side.
  std::uint32_t Slots_ = 1;
  /// Memory for prompts in tokens; 0 for plain services.
  std::uint64_t CacheTokens_ = 0;
};

/// Costs are shares of the value of one request.
struct DirectPoolOptions {
  /// This router's own domain.
  base::FailureDomainId Domain_;
  /// Routers that send to the pool, this one included.
  std::size_t Routers_ = 4;
  /// Time to the first token of a short prompt on an idle engine.
  base::Duration BaseLatency_ = std::chrono::milliseconds(90);
  /// Prompt tokens that an engine processes in a millisecond while it generates
  /// for others.
  double PromptTokensPerMillisecond_ = 57;
  /// Duration of a plain call until one has been seen.
  base::Duration InitialCallDuration_ = std::chrono::milliseconds(60);
  /// Sending to another failure domain, per 1,000 bytes.
  double CrossDomainCostPer1000Bytes_ = 0.003;
  /// Copying 1,000 tokens of prompt from another engine.
  double FetchCostPer1000Tokens_ = 0.009;
  /// Processing 1,000 tokens of prompt.
  double PrefillCostPer1000Tokens_ = 0.04;
  /// Advantage of the engine to which all routers send a prompt by default.
  double AffinityBonus_ = 0.08;
  /// Smallest part of a prompt that is worth a fetch.
  std::uint32_t MinFetchTokens_ = 512;
  /// Without any byte from an endpoint for this long beyond what was expected
  /// it counts as silent.
  base::Duration SilenceTimeout_ = std::chrono::milliseconds(600);
  /// Part of a prompt's shared beginning that its home is believed to have
  /// cached while nothing is known, as after a restart of this router.
  double AssumedCachedFraction_ = 0.7;
  /// Shorter than where agents watch endpoints: only requests show here that an
  /// endpoint works again.
  EjectorOptions Ejector_ = {.ConsecutiveFailureLimit_ = 4,
                             .FirstEjectionTime_ = std::chrono::seconds(1),
                             .MaxEjectionTime_ = std::chrono::seconds(8)};
};

/// A request that needs an endpoint.
struct PlacementRequest {
  /// Empty for plain calls.
  std::span<const PromptPart> Prompt_;
  std::uint32_t PromptTokens_ = 0;
  std::size_t BodyBytes_ = 0;
  /// Time to the first byte that callers find good.
  base::Duration FirstByteObjective_{0};
  base::TimePoint Deadline_{};
  /// Endpoints of earlier attempts.
  std::span<const base::EndpointId> Excluded_;
};

/// Where a request goes.
struct Placement {
  base::EndpointId Endpoint_;
  base::Duration ExpectedFirstByte_{0};
  std::uint32_t CachedTokens_ = 0;
  /// Engine to copy the beginning of the prompt from.
  std::optional<base::EndpointId> FetchFrom_;
};

/// Why there is no endpoint for a request.
enum class PlacementError {
  NoEndpoint, ///< None is present, or all that are were tried.
  TooLate,    ///< None would answer before the deadline.
};

/// A request without an endpoint, and when it could have one.
struct PlacementFailure {
  PlacementError Error_ = PlacementError::NoEndpoint;
  base::Duration RetryAfter_{0};
};

using DirectAttemptId = std::uint64_t;

/// The endpoints of one pool. No call does I/O; time never runs backwards.
class DirectPool {
public:
  explicit DirectPool(DirectPoolOptions Options);
  ~DirectPool();
  DirectPool(DirectPool &&) noexcept;
  DirectPool &operator=(DirectPool &&) noexcept;

  /// Adds an endpoint or changes what is known of it.
  void addOrUpdate(const DirectEndpoint &Settings, base::TimePoint Now);
  void remove(const base::EndpointId &Endpoint);
  void setRouters(std::size_t Count);

  base::Result<Placement, PlacementFailure>
  choose(const PlacementRequest &Request, base::TimePoint Now);

  /// A request was sent as placed. The id is for the calls below.
  DirectAttemptId sent(const Placement &Placed, const PlacementRequest &Request,
                       base::TimePoint Now);
  /// The endpoint stated its load in the answer to \p Attempt.
  void loadReported(DirectAttemptId Attempt, std::uint32_t Running,
                    std::uint32_t Waiting, base::TimePoint Now);
  /// The first byte or event of the answer arrived.
  void answered(DirectAttemptId Attempt, base::TimePoint Now);
  /// More of the answer arrived.
  void progressed(DirectAttemptId Attempt, base::TimePoint Now);
  void finished(DirectAttemptId Attempt, base::TimePoint Now);
  /// Returns why the endpoint was ejected, if it was.
  std::optional<EjectionReason> failed(DirectAttemptId Attempt,
                                       FailureKind Kind, base::TimePoint Now);

  /// Whether the endpoint has sent nothing for longer than it should.
  bool silent(const base::EndpointId &Endpoint, base::TimePoint Now) const;
  /// Ejects silent endpoints; call every 100 ms or so. Returns those ejected.
  std::vector<base::EndpointId> sweep(base::TimePoint Now);
  std::size_t size() const;
  std::uint32_t inFlight(const base::EndpointId &Endpoint) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_DIRECT_POOL_H
