#ifndef CAMPHORWIND_ROUTING_REQUEST_LIMITS_H
#define CAMPHORWIND_ROUTING_REQUEST_LIMITS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/time.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorwind::routing {

/// Time on a clock that all routers of a fleet share to within some 100 ms.
using FleetTime = std::chrono::nanoseconds;

/// A router's place among those that share request limits.
struct FleetPlace {
  /// Number of routers, including this one; at least 1.
  std::size_t Routers_ = 1;
  /// From 0 to Routers_ - 1, different on each router.
  std::size_t Index_ = 0;

  friend bool operator==(const FleetPlace &, const FleetPlace &) = default;
};

/// One router's turns to send to one endpoint: the turns of all routers are
/// spread evenly over time, so that their sum keeps a common rate without
/// messages between them, however many routers there are.
///
/// A router with a bucket of tokens instead would save up at least one, and
/// hundreds of routers could spend theirs together.
class TurnSchedule {
public:
  /// How long an unused turn can still be taken, since requests do not arrive
  /// at the moment of a turn. Adds less than half to what all routers send
  /// within any 4 s.
  static constexpr std::chrono::milliseconds TurnLifetime{1000};

  /// Sets the common rate, above 0, and this router's place. \p Phase, from 0
  /// to 1, shifts the turns of all routers alike. Turns before a change are
  /// void, and the next one keeps half of the usual distance to the last one
  /// that was taken.
  void set(double PerSecond, FleetPlace Place, double Phase, FleetTime Now);

  /// Returns the time until a turn can be taken; 0 for now.
  base::Duration wait(FleetTime Now) const;
  /// Takes the oldest turn that has not been taken. Without one, the next turn
  /// counts as taken.
  void take(FleetTime Now);

private:
  /// Returns the start of the oldest turn that can still be taken at \p Now or
  /// later.
  double nextTurn(FleetTime Now) const;

  double PerSecond_ = 0;
  FleetPlace Place_;
  double Phase_ = 0;
  /// Time between two turns of this router, in seconds.
  double Period_ = 1;
  /// Start of the turn that was taken last, in seconds.
  std::optional<double> LastTaken_;
  /// Turns up to this time, in seconds, are taken or void.
  double DoneUntil_ = 0;
};

/// The limits that endpoints have stated on the requests that they take from
/// all routers together.
///
/// Each router has an equal part of the limit, whatever it knows of the others.
/// Routers with requests for the endpoint share half of the turns of those that
/// have none, as far as they know of each other: callers may sit at few
/// routers. The other half is left for routers that get requests before the
/// others know.
///
/// No call does I/O. Endpoints without a limit are admitted always.
class RequestLimits {
public:
  /// Part of other routers' unused turns that is used.
  static constexpr double AdoptedShare = 0.5;
  /// Time after the last request that could have gone to an endpoint for which
  /// this router wants to send there.
  static constexpr std::chrono::milliseconds WantTime{5000};
  /// Rate that counts where an endpoint takes less: without any request, its
  /// answers would never show that the limit has ended.
  static constexpr double MinPerSecond = 0.1;

  /// Sets the place of this router, and what to add to its clock for the
  /// clock of the fleet, which must not be set back.
  void setPlace(FleetPlace Place, FleetTime ClockOffset, base::TimePoint Now);

  /// Records that the endpoint takes \p PerSecond requests. Returns whether
  /// that is news.
  bool state(const base::EndpointId &Endpoint, double PerSecond,
             base::TimePoint Now);
  /// Records an answer without a limit to a request that was sent at \p SentAt.
  /// It ends the limit unless that was stated later: answers on different
  /// connections overtake each other. Returns whether it did.
  bool end(const base::EndpointId &Endpoint, base::TimePoint SentAt);
  /// Forgets the limit of an endpoint that has started again.
  void forget(const base::EndpointId &Endpoint) { Limits_.erase(Endpoint); }

  /// Records a request that could go to the endpoint.
  void want(const base::EndpointId &Endpoint, base::TimePoint Now);
  /// Returns the endpoints with limits.
  std::vector<base::EndpointId> limited() const;
  /// Whether this router wants to send to the endpoint, which has a limit.
  bool isWanted(const base::EndpointId &Endpoint, base::TimePoint Now) const;
  /// Sets the place of this router among those that want to send to the
  /// endpoint and know of each other; nothing if they do not.
  void setClaimants(const base::EndpointId &Endpoint,
                    std::optional<FleetPlace> Claimants, base::TimePoint Now);

  /// Returns the time until this router may send to the endpoint; 0 for now.
  base::Duration wait(const base::EndpointId &Endpoint,
                      base::TimePoint Now) const;
  /// Counts a request that was sent to the endpoint.
  void sent(const base::EndpointId &Endpoint, base::TimePoint Now);

private:
  struct Limit {
    double PerSecond_ = 0;
    base::TimePoint StatedAt_{};
    std::optional<base::TimePoint> WantedAt_;
    std::optional<FleetPlace> Claimants_;
    TurnSchedule Turns_;
    /// Turns of routers that do not use theirs; only while IsAdopting_.
    TurnSchedule Adopted_;
    bool IsAdopting_ = false;
  };

  void schedule(const base::EndpointId &Endpoint, Limit &Stated,
                base::TimePoint Now) const;
  FleetTime fleetTime(base::TimePoint Now) const {
    return Now.time_since_epoch() + ClockOffset_;
  }

  FleetPlace Place_;
  FleetTime ClockOffset_{0};
  std::unordered_map<base::EndpointId, Limit> Limits_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_REQUEST_LIMITS_H
