#ifndef CAMPHORWIND_ROUTING_DIRECTORY_H
#define CAMPHORWIND_ROUTING_DIRECTORY_H

#include "camphorwind/base/random.h"
#include "camphorwind/routing/ejector.h"
#include "camphorwind/routing/lane.h"
#include "camphorwind/routing/load-view.h"
#include "camphorwind/routing/windows.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorwind::routing {

/// An attempt that Directory::send recorded; passed to the later calls for it.
struct SentAttempt {
  EndpointIndex Endpoint_ = 0;
  /// Distinguishes successive endpoints with the same index.
  std::uint32_t Epoch_ = 0;
  base::TimePoint SentAt_{};
  /// Prompt tokens that the endpoint has to process.
  std::uint64_t UncachedTokens_ = 0;
  /// Expected time from dispatch to the first token.
  base::Duration ExpectedFirstToken_{0};
  /// Whether the first token has arrived.
  bool Answered_ = false;
  base::TimePoint FirstTokenAt_{};
  /// Whether the attempt tests if an ejected endpoint has recovered.
  bool IsProbe_ = false;
};

/// The endpoints of a router by pool and model: their load, in-flight windows
/// and health, and which of them can take a request now.
class Directory {
public:
  /// \p Seed is for the random rounding of windows.
  Directory(EjectorOptions Options, std::uint64_t Seed);

  /// Sets the time in which new and recovered endpoints reach their full
  /// window.
  void setSlowStart(base::Duration Time);
  /// Adds an endpoint, or updates it if its pool and models are unchanged and
  /// it is not leaving; otherwise replaces it and resets its estimates and
  /// health.
  void add(const EndpointTraits &Traits, base::TimePoint Now);
  void remove(const base::EndpointId &Endpoint, base::TimePoint Now);
  /// Marks the endpoint as leaving: it gets no new requests.
  void setLeaving(const base::EndpointId &Endpoint, base::TimePoint Now);
  /// Sets whether the endpoint can be reached; if not, it gets no new requests.
  void setReachable(const base::EndpointId &Endpoint, bool Reachable,
                    base::TimePoint Now);
  /// Applies a load report; ignores one for an unknown endpoint.
  void report(const LoadReport &Report, base::TimePoint Now);

  /// Returns the lane for requests to this pool and model; creates it if new.
  Lane &lane(const base::PoolId &Pool, const ServedModel &Model,
             base::TimePoint Now);
  const std::vector<std::unique_ptr<Lane>> &lanes() const { return Lanes_; }

  std::optional<EndpointIndex> find(const base::EndpointId &Endpoint) const;
  /// The endpoint must have been added.
  const EndpointTraits &traits(EndpointIndex Endpoint) const;
  /// The endpoint must have been added.
  const LoadView &load(EndpointIndex Endpoint) const;
  /// Returns whether the endpoint is reachable, not leaving and not ejected.
  bool usable(EndpointIndex Endpoint) const;
  /// Returns whether the attempt's index still refers to the endpoint that the
  /// attempt was sent to.
  bool isCurrent(const SentAttempt &Attempt) const;

  /// Records an attempt with \p Uncached prompt tokens to process; the endpoint
  /// must be ready in its lane.
  SentAttempt send(EndpointIndex Endpoint, std::uint64_t Uncached,
                   base::TimePoint Now);
  /// Records that the first token arrived. The probe of an ejected endpoint
  /// counts as failed if its first token took too long.
  void firstToken(SentAttempt &Attempt, base::TimePoint Now);
  /// Ends an attempt that succeeded; \p TokenInterval is the mean time between
  /// generated tokens, 0 if unknown.
  void finished(const SentAttempt &Attempt, base::Duration TokenInterval,
                base::TimePoint Now);
  /// Ends an attempt that failed.
  void failed(const SentAttempt &Attempt, FailureKind Kind,
              base::TimePoint Now);

  /// Updates the state that changes with time alone: probes, slow starts, caps
  /// after refusals, and the ejection of silent and slow endpoints. Does
  /// nothing before nextSweep().
  void sweep(base::TimePoint Now);
  base::TimePoint nextSweep() const { return NextSweep_; }

  /// Sets the ejection and probe counts in \p Totals.
  void count(Counters &Totals) const;
  std::vector<PoolStatus> status(base::TimePoint Now) const;

private:
  struct PoolState {
    base::PoolId Pool_;
    Ejector Ejector_;
    std::vector<EndpointIndex> Members_;
  };
  struct EndpointState {
    EndpointTraits Traits_;
    LoadView Load_;
    PoolState *Pool_ = nullptr;
    std::vector<Lane *> Lanes_;
    std::uint32_t Epoch_ = 0;
    base::TimePoint AddedAt_{};
    bool Present_ = false;
    bool Reachable_ = true;
    bool Leaving_ = false;
    /// Requests allowed by load, without the limits of slow start and refusals.
    std::uint32_t FairWindow_ = 0;
    /// Requests allowed after the endpoint refused one; grows by one per sweep.
    std::uint32_t RefusalCap_ = 0;
  };

  void update(EndpointIndex Index, const EndpointTraits &Traits,
              base::TimePoint Now);
  PoolState &pool(const base::PoolId &Id);
  EndpointIndex claimIndex();
  void join(EndpointIndex Index, Lane &Target);
  bool serving(const EndpointState &State) const;
  /// Returns whether a serving endpoint was added longer ago than the slow
  /// start takes.
  bool hasWarmMember(const PoolState &Pool, base::TimePoint Now) const;
  std::uint32_t maxWindow(const EndpointState &State) const;
  void setWindow(EndpointIndex Index, base::TimePoint Now);
  /// Recomputes the endpoint's window and its readiness in all its lanes.
  void refresh(EndpointIndex Index, base::TimePoint Now);
  /// Recomputes whether a lane has serving and non-ejected members, then
  /// refreshes all its members.
  void refreshLane(Lane &Target, base::TimePoint Now);
  void refreshServing(EndpointIndex Index, base::TimePoint Now);
  void recordEjection(EndpointIndex Index, EjectionReason Reason,
                      base::TimePoint Now);
  /// Returns whether the first token of a probe took too long.
  bool tooSlow(const SentAttempt &Attempt, base::TimePoint Now) const;
  void ejectSlowAndSilent(PoolState &Pool, base::TimePoint Now);

  EjectorOptions Options_;
  base::Random Random_;
  std::vector<std::unique_ptr<EndpointState>> Endpoints_;
  std::vector<EndpointIndex> FreeIndices_;
  std::unordered_map<base::EndpointId, EndpointIndex> IndexById_;
  std::vector<std::unique_ptr<PoolState>> Pools_;
  std::vector<std::unique_ptr<Lane>> Lanes_;
  struct LaneKey {
    base::PoolId Pool_;
    ServedModel Model_;
    friend bool operator==(const LaneKey &, const LaneKey &) = default;
  };
  struct LaneKeyHash {
    std::size_t operator()(const LaneKey &Key) const;
  };
  std::unordered_map<LaneKey, Lane *, LaneKeyHash> LaneByKey_;
  Windows Windows_;
  base::TimePoint NextSweep_{};
  std::array<std::uint64_t, EjectionReasonCount> Ejections_{};
  std::uint64_t Probes_ = 0;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_DIRECTORY_H
