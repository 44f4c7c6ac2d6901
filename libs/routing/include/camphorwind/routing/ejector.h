#ifndef CAMPHORWIND_ROUTING_EJECTOR_H
#define CAMPHORWIND_ROUTING_EJECTOR_H

#include "camphorwind/base/time.h"
#include "camphorwind/routing/prefix-view.h"
#include "camphorwind/routing/types.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace camphorwind::routing {

/// When endpoints are ejected and how they are restored.
struct EjectorOptions {
  /// Number of failures in a row that ejects an endpoint.
  unsigned ConsecutiveFailureLimit_ = 3;
  /// Smoothed share of failed attempts above which an endpoint is ejected.
  double FailureRateLimit_ = 0.5;
  /// Minimum number of attempts before the failure rate is checked.
  unsigned MinAttempts_ = 10;
  /// Maximum share of a pool's serving endpoints that may be ejected.
  double MaxEjectedShare_ = 0.5;
  /// Duration of the first ejection; doubles with each further one in a row.
  base::Duration FirstEjectionTime_ = std::chrono::seconds(2);
  /// Maximum duration of an ejection. After a longer time in service, the next
  /// ejection lasts FirstEjectionTime_ again.
  base::Duration MaxEjectionTime_ = std::chrono::seconds(60);
  /// Time over which the window of a new or recovered endpoint grows to its
  /// full size; 0 gives the full window at once.
  base::Duration SlowStartTime_ = std::chrono::seconds(5);
};

/// Outlier ejection for the endpoints of one pool: failing and slow endpoints
/// get no requests for a while. At most a share of the serving endpoints is
/// ejected, and never the last healthy one. After the ejection time an endpoint
/// gets one probe request at a time; a successful probe restores it with a slow
/// start.
class Ejector {
public:
  explicit Ejector(EjectorOptions Options = {}) : Options_(Options) {}

  void setSlowStart(base::Duration Duration) {
    Options_.SlowStartTime_ = Duration;
  }

  /// Adds an endpoint that is not serving yet, or resets a known one.
  void add(EndpointIndex Endpoint, base::TimePoint Now, bool SlowStart);
  void remove(EndpointIndex Endpoint);
  /// Sets whether the endpoint can serve at all: reachable and not leaving.
  void setServing(EndpointIndex Endpoint, bool Serving);

  /// Reports a sent attempt; for an ejected endpoint it is the probe.
  void sent(EndpointIndex Endpoint);
  /// Reports an attempt which shows that the endpoint works.
  void succeeded(EndpointIndex Endpoint, base::TimePoint Now);
  /// Reports a failed attempt. Returns the reason if it ejects the endpoint.
  std::optional<EjectionReason> failed(EndpointIndex Endpoint, FailureKind Kind,
                                       base::TimePoint Now);
  /// Ejects an endpoint, such as a slow or silent one. Returns false if it is
  /// unknown or already ejected, or if the pool's ejection limit is reached.
  bool eject(EndpointIndex Endpoint, EjectionReason Reason,
             base::TimePoint Now);

  bool ejected(EndpointIndex Endpoint) const;
  /// Whether the endpoint may get a request at \p Now; for an ejected endpoint,
  /// whether a probe is due.
  bool admits(EndpointIndex Endpoint, base::TimePoint Now) const;
  /// Share of the endpoint's window that it may use; 1 after its slow start.
  double slowStartShare(EndpointIndex Endpoint, base::TimePoint Now) const;
  /// Why the endpoint is ejected; nothing if it is not.
  std::optional<EjectionReason> reason(EndpointIndex Endpoint) const;
  /// Earliest time of the next probe; meaningful only while ejected.
  base::TimePoint probeAt(EndpointIndex Endpoint) const;
  std::size_t servingCount() const { return ServingCount_; }
  /// Serving endpoints that are not ejected.
  std::size_t healthyCount() const {
    return ServingCount_ - EjectedServingCount_;
  }
  /// Number of ejections prevented by the pool's ejection limit.
  std::uint64_t preventedEjections() const { return PreventedEjections_; }

private:
  struct EndpointHealth {
    bool Known_ = false;
    bool Serving_ = false;
    std::optional<EjectionReason> EjectionReason_;
    base::TimePoint ProbeAt_{};
    /// A probe is in flight.
    bool Probing_ = false;
    unsigned ConsecutiveEjections_ = 0;
    unsigned ConsecutiveFailures_ = 0;
    unsigned Attempts_ = 0;
    double FailureRate_ = 0;
    /// When the endpoint was added or last restored.
    base::TimePoint InServiceSince_{};
    bool SlowStart_ = false;
  };

  bool canEjectOne() const;
  base::Duration ejectionTime(unsigned ConsecutiveEjections) const;
  void recordAttempt(EndpointHealth &Health, bool Failed);

  EjectorOptions Options_;
  std::vector<EndpointHealth> Endpoints_;
  std::size_t ServingCount_ = 0;
  std::size_t EjectedServingCount_ = 0;
  std::uint64_t PreventedEjections_ = 0;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_EJECTOR_H
