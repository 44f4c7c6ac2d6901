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

/// An attempt as the directory accounts for it.
struct SentAttempt {
  EndpointIndex Endpoint_ = 0;
  /// Tells apart the endpoints that had the same index.
  std::uint32_t Epoch_ = 0;
  base::TimePoint SentAt_{};
  std::uint64_t UncachedTokens_ = 0;
  base::Duration ExpectedFirstToken_{0};
  bool Answered_ = false;
  base::TimePoint FirstTokenAt_{};
  /// Sent to an ejected endpoint to see whether it works again.
  bool IsProbe_ = false;
};

/// A router's endpoints by pool and model: their load, windows and health, and
/// which of them can take a request now.
class Directory {
public:
  Directory(EjectorOptions Options, std::uint64_t Seed);

  /// Time in which new and recovered endpoints reach their full window.
  void setSlowStart(base::Duration Time);
  void add(const EndpointTraits &Traits, base::TimePoint Now);
  void remove(const base::EndpointId &Endpoint, base::TimePoint Now);
  void setLeaving(const base::EndpointId &Endpoint, base::TimePoint Now);
  void setReachable(const base::EndpointId &Endpoint, bool Reachable,
                    base::TimePoint Now);
  void report(const LoadReport &Report, base::TimePoint Now);

  /// Returns the lane for a request, made if it is new.
  Lane &lane(const base::PoolId &Pool, const ServedModel &Model,
             base::TimePoint Now);
  const std::vector<std::unique_ptr<Lane>> &lanes() const { return Lanes_; }

  std::optional<EndpointIndex> find(const base::EndpointId &Endpoint) const;
  const EndpointTraits &traits(EndpointIndex Endpoint) const;
  const LoadView &load(EndpointIndex Endpoint) const;
  /// Whether the endpoint can serve: linked, not leaving, not ejected.
  bool usable(EndpointIndex Endpoint) const;
  /// Whether the index stands for the endpoint that the attempt was sent to.
  bool isCurrent(const SentAttempt &Attempt) const;

  /// Sends an attempt; the endpoint must be ready.
  SentAttempt send(EndpointIndex Endpoint, std::uint64_t Uncached,
                   base::TimePoint Now);
  void firstToken(SentAttempt &Attempt, base::TimePoint Now);
  void finished(const SentAttempt &Attempt, base::Duration TokenInterval,
                base::TimePoint Now);
  void failed(const SentAttempt &Attempt, FailureKind Kind,
              base::TimePoint Now);

  /// Follows what changes with time alone: probes, slow starts, silence and
  /// slowness. Does nothing until SweepInterval after the last sweep.
  void sweep(base::TimePoint Now);
  base::TimePoint nextSweep() const { return NextSweep_; }

  /// Adds ejection and probe counts.
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
    /// Room by load, before slow start.
    std::uint32_t FairWindow_ = 0;
    /// Attempts allowed after the endpoint refused one; grows back.
    std::uint32_t RefusalCap_ = 0;
  };

  void update(EndpointIndex Index, const EndpointTraits &Traits,
              base::TimePoint Now);
  PoolState &pool(const base::PoolId &Id);
  EndpointIndex claimIndex();
  void join(EndpointIndex Index, Lane &Target);
  bool serving(const EndpointState &State) const;
  bool hasWarmMember(const PoolState &Pool, base::TimePoint Now) const;
  std::uint32_t maxWindow(const EndpointState &State) const;
  void setWindow(EndpointIndex Index, base::TimePoint Now);
  /// Brings the endpoint's window and readiness in line with its state.
  void refresh(EndpointIndex Index, base::TimePoint Now);
  void refreshLane(Lane &Target, base::TimePoint Now);
  void refreshServing(EndpointIndex Index, base::TimePoint Now);
  void recordEjection(EndpointIndex Index, EjectionReason Reason,
                      base::TimePoint Now);
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
