#ifndef CAMPHORWIND_ROUTING_DIRECT_POOL_H
#define CAMPHORWIND_ROUTING_DIRECT_POOL_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/result.h"
#include "camphorwind/base/time.h"
#include "camphorwind/routing/cold-limits.h"
#include "camphorwind/routing/ejector.h"
#include "camphorwind/routing/pause.h"
#include "camphorwind/routing/prompt-cache.h"
#include "camphorwind/routing/request-limits.h"
#include "camphorwind/routing/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace camphorwind::routing {

/// An endpoint that routers call directly, without an agent.
struct DirectEndpoint {
  base::EndpointId Endpoint_;
  base::FailureDomainId Domain_;
  /// Requests that the endpoint runs concurrently.
  std::uint32_t Slots_ = 1;
  /// Prompt cache capacity in tokens; 0 for a plain service, which takes no
  /// prompts.
  std::uint64_t CacheTokens_ = 0;
};

/// Settings of a DirectPool. Costs and bonuses are relative to the value of one
/// request, which is 1.
struct DirectPoolOptions {
  /// Failure domain of this router.
  base::FailureDomainId Domain_;
  /// Number of routers that send to the pool, including this router.
  std::size_t Routers_ = 4;
  /// Time to the first token of a short prompt on an idle engine.
  base::Duration BaseLatency_ = std::chrono::milliseconds(90);
  /// Prompt tokens processed per millisecond by an engine that also generates
  /// for other requests.
  double PromptTokensPerMillisecond_ = 57;
  /// Initial estimate of the duration of a request without a prompt.
  base::Duration InitialCallDuration_ = std::chrono::milliseconds(60);
  /// Cost of sending 1,000 bytes to another failure domain. A request counts as
  /// 1,000 bytes more than its body.
  double CrossDomainCostPer1000Bytes_ = 0.003;
  /// Cost of copying 1,000 cached prompt tokens from another engine.
  double FetchCostPer1000Tokens_ = 0.009;
  /// Cost of processing 1,000 uncached prompt tokens.
  double PrefillCostPer1000Tokens_ = 0.04;
  /// Subtracted from the cost of a prompt's affinity target, the engine to
  /// which all routers send its shared prefix by default.
  double AffinityBonus_ = 0.08;
  /// Minimum number of prompt tokens to fetch from another engine.
  std::uint32_t MinFetchTokens_ = 512;
  /// An endpoint with requests in flight is silent after this long without a
  /// byte. While no answer has begun, the time starts no earlier than three
  /// times the expected time to the first byte after the oldest attempt was
  /// sent.
  base::Duration SilenceTimeout_ = std::chrono::milliseconds(600);
  /// Whether endpoints crash when the requests that they hold exceed their
  /// memory, CacheTokens_, so that all routers together must not fill it.
  bool LimitHeldTokens_ = false;
  /// Whether endpoints that start or recover begin with a slow start. Also
  /// where endpoints state how long work takes.
  bool SlowStart_ = false;
  /// Fraction of a prompt's shared prefix that its affinity target is assumed
  /// to have cached while nothing is known, as after a restart of this router.
  double AssumedCachedFraction_ = 0.7;
  /// Ejections are shorter than in pools with agents: without an agent, only a
  /// request shows that an endpoint has recovered.
  EjectorOptions Ejector_ = {.ConsecutiveFailureLimit_ = 4,
                             .FirstEjectionTime_ = std::chrono::seconds(1),
                             .MaxEjectionTime_ = std::chrono::seconds(8)};
};

/// A request for which DirectPool chooses an endpoint.
struct PlacementRequest {
  /// Parts of the prompt from its start; the last part is unique to the
  /// request. Empty for a request without a prompt, called a plain call here.
  std::span<const PromptPart> Prompt_;
  std::uint32_t PromptTokens_ = 0;
  std::uint32_t MaxOutputTokens_ = 0;
  std::size_t BodyBytes_ = 0;
  /// Target time to the first byte of the answer.
  base::Duration FirstByteObjective_{0};
  base::TimePoint Deadline_{};
  /// Endpoints that must not be chosen, such as those of earlier attempts.
  std::span<const base::EndpointId> Excluded_;
};

/// The endpoint chosen for a request.
struct Placement {
  base::EndpointId Endpoint_;
  base::Duration ExpectedFirstByte_{0};
  std::uint32_t CachedTokens_ = 0;
  /// Engine to copy the cached prefix of the prompt from, if any.
  std::optional<base::EndpointId> FetchFrom_;
};

/// Why no endpoint was chosen for a request.
enum class PlacementError {
  NoEndpoint, ///< The pool is empty, or all its endpoints are excluded.
  TooLate,    ///< No answer is expected to begin before the deadline.
  HeldOff,    ///< All endpoints left want no requests for a while, also because
              ///< of their request limits or because they are cold.
  Evacuated,  ///< All endpoints left are in evacuated failure domains.
};

/// A request without an endpoint, and the delay before a retry may succeed.
struct PlacementFailure {
  PlacementError Error_ = PlacementError::NoEndpoint;
  base::Duration RetryAfter_{0};
};

using DirectAttemptId = std::uint64_t;

/// Load that an endpoint reports in an answer, in requests of all routers.
struct ReportedLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  /// How long work takes there at the moment, as a multiple of the usual time;
  /// unset if the endpoint does not state it.
  std::optional<double> WorkTime_;
};

/// Chooses among the endpoints of one pool that routers call without agents.
///
/// Endpoints report load only in their answers. Between answers their state is
/// estimated from this router's own requests. No call does I/O. \p Now must not
/// decrease from call to call.
class DirectPool {
public:
  explicit DirectPool(DirectPoolOptions Options);
  ~DirectPool();
  DirectPool(DirectPool &&) noexcept;
  DirectPool &operator=(DirectPool &&) noexcept;

  /// Adds an endpoint, or updates the settings of one already present. The
  /// estimate of its cached prompts then keeps its former capacity.
  void addOrUpdate(const DirectEndpoint &Settings, base::TimePoint Now);
  void remove(const base::EndpointId &Endpoint);
  /// Sets this router's place among those that send to the pool, and what to
  /// add to its clock for the clock that all of them share.
  void setPlace(FleetPlace Place, FleetTime ClockOffset, base::TimePoint Now);

  /// Excuses endpoints for the time in which this router did not read their
  /// answers.
  void setPause(Pause Last);

  /// Sends the endpoint nothing before \p Until, because it asked for that.
  /// Applies also if the endpoint is removed and added again meanwhile.
  void holdOff(const base::EndpointId &Endpoint, base::TimePoint Until);
  /// Sends nothing more to the endpoints of a failure domain. Prompt parts may
  /// still be copied from there before \p CopyUntil.
  void evacuate(const base::FailureDomainId &Domain, base::TimePoint CopyUntil);
  /// Uses the endpoints of a failure domain again; they may all be cold.
  void endEvacuation(const base::FailureDomainId &Domain, base::TimePoint Now);
  /// Begins a slow start of an endpoint that states that it is cold.
  void becameCold(const base::EndpointId &Endpoint);
  /// Ends the hold-off and the request limit of an endpoint, for one that has
  /// started again.
  void restarted(const base::EndpointId &Endpoint);

  /// Requests that endpoints take from all routers together. Endpoints are not
  /// chosen before this router's turn.
  RequestLimits &requestLimits();
  /// Requests that cold endpoints take from all routers together.
  ColdLimits &coldLimits();
  /// Changes DirectPoolOptions::SlowStart_ and LimitHeldTokens_.
  void setProtection(bool SlowStart, bool LimitHeldTokens);

  /// Chooses the endpoint with the lowest cost for \p Request. Silent
  /// endpoints, and ejected ones not due for a probe, are chosen only if no
  /// other is left. Records nothing: call sent() once the request is on its
  /// way.
  base::Result<Placement, PlacementFailure>
  choose(const PlacementRequest &Request, base::TimePoint Now);

  /// Records that a request was sent to \p Placed. Returns the id by which the
  /// attempt's events are reported.
  DirectAttemptId sent(const Placement &Placed, const PlacementRequest &Request,
                       base::TimePoint Now);
  /// Records the load that the endpoint reported in its answer to \p Attempt.
  void loadReported(DirectAttemptId Attempt, const ReportedLoad &Load,
                    base::TimePoint Now);
  /// Records that the first byte or event of the answer arrived.
  void answered(DirectAttemptId Attempt, base::TimePoint Now);
  /// Records that more of the answer arrived.
  void progressed(DirectAttemptId Attempt, base::TimePoint Now);
  /// Ends an attempt that succeeded.
  void finished(DirectAttemptId Attempt, base::TimePoint Now);
  /// Ends an attempt that failed. Returns why the endpoint was ejected, or
  /// nothing if it was not.
  std::optional<EjectionReason> failed(DirectAttemptId Attempt,
                                       FailureKind Kind, base::TimePoint Now);

  /// Returns whether the endpoint has requests in flight and has sent no byte
  /// for SilenceTimeout_; see DirectPoolOptions.
  bool silent(const base::EndpointId &Endpoint, base::TimePoint Now) const;
  /// Forgets hold-offs that have ended. Ejects silent endpoints as far as the
  /// pool's ejection limit allows, and returns those newly ejected. Call about
  /// every 100 ms.
  std::vector<base::EndpointId> sweep(base::TimePoint Now);
  /// Returns the number of endpoints, including ejected ones.
  std::size_t size() const;
  /// Returns how many requests of this router are in flight at the endpoint.
  std::uint32_t inFlight(const base::EndpointId &Endpoint) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_DIRECT_POOL_H
