#ifndef CAMPHORWIND_ROUTING_COLD_LIMITS_H
#define CAMPHORWIND_ROUTING_COLD_LIMITS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"
#include "camphorwind/routing/request-limits.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace camphorwind::routing {

/// When a router has counted the others by their rows in a common table.
class FleetCount {
public:
  /// Age of the last read from which the others may not count this router any
  /// more.
  static constexpr std::chrono::milliseconds MaxReadAge{2000};
  /// Time of regular reads after which all others count this router.
  static constexpr std::chrono::milliseconds EstablishTime{2500};

  /// Records a read; repeating the last one has no effect.
  void add(base::TimePoint CountedAt);
  /// Whether all others count this router now.
  bool isCounted(base::TimePoint Now) const;
  /// Whether all others counted this router at any time.
  bool wasCounted() const { return WasCounted_; }

private:
  std::optional<base::TimePoint> CountedAt_;
  /// First of the reads up to CountedAt_ that follow each other closely.
  base::TimePoint CountedSince_{};
  bool WasCounted_ = false;
};

/// This router's share of the requests that cold endpoints take from all
/// routers together within any one second.
///
/// Cold endpoints crash under more, so the sum must hold without messages:
/// whatever a router knows of the others, it may use only its own share.
/// Routers that read the common table regularly divide most of the limit by
/// their number. The rest is for those that have not read it for a while, which
/// the others soon stop to count. A router that has just started sends nothing
/// to cold endpoints until all others count it. Where a share would be less
/// than one request, routers take turns.
class ColdLimits {
public:
  /// Duration of one turn. A window of one second touches at most two turns,
  /// also by clocks that differ by 100 ms.
  static constexpr std::chrono::milliseconds TurnTime{1250};
  /// Part of the limit for routers that the others may no longer count.
  static constexpr double UncountedShare = 0.3;

  /// Sets how many requests a cold endpoint takes within one second, and how
  /// long it stays cold after its start; 0 requests for no limit.
  void setLimit(double Requests, base::Duration ColdTime);
  /// Takes over the place of this router among those that it has counted, and
  /// what to add to its clock for the clock of the fleet.
  void setPlace(FleetPlace Place, FleetTime ClockOffset,
                const FleetCount &Count);

  /// Records that the endpoint is cold until \p Until, as it states itself.
  void setColdUntil(const base::EndpointId &Endpoint, base::TimePoint Until);
  /// Records that the endpoint may have become cold at any time up to \p Since.
  void setUnknown(const base::EndpointId &Endpoint, base::TimePoint Since);
  void forget(const base::EndpointId &Endpoint) { Endpoints_.erase(Endpoint); }

  bool isCold(const base::EndpointId &Endpoint, base::TimePoint Now) const;
  /// Returns the time until this router may send to the endpoint; 0 for now.
  base::Duration wait(const base::EndpointId &Endpoint,
                      base::TimePoint Now) const;
  /// Counts a request that was sent to the endpoint.
  void sent(const base::EndpointId &Endpoint, base::TimePoint Now);
  /// Forgets endpoints that are no longer cold.
  void sweep(base::TimePoint Now);

private:
  struct ColdState {
    base::TimePoint ColdUntil_{};
    std::optional<base::TimePoint> UnknownSince_;
    /// When requests were sent within the last second.
    std::deque<base::TimePoint> Sent_;
  };

  base::Duration waitForTurn(const base::EndpointId &Id, std::size_t Part,
                             base::TimePoint Now) const;

  /// Requests that a cold endpoint takes within one second; 0 for no limit.
  std::size_t Limit_ = 0;
  base::Duration ColdTime_{0};
  FleetPlace Place_;
  FleetTime ClockOffset_{0};
  FleetCount Count_;
  std::unordered_map<base::EndpointId, ColdState> Endpoints_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_COLD_LIMITS_H
