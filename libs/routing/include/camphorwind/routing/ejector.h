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

/// When endpoints are ejected and how they come back.
struct EjectorOptions {
  unsigned ConsecutiveFailureLimit_ = 3;
  /// Smoothed share of failed attempts.
  double FailureRateLimit_ = 0.5;
  /// Attempts seen before the failure rate counts.
  unsigned MinAttempts_ = 10;
  /// Largest share of a pool's serving endpoints that may be out.
  double MaxEjectedShare_ = 0.5;
  /// First ejection; each further one in a row is twice as long.
  base::Duration FirstEjectionTime_ = std::chrono::seconds(2);
  base::Duration MaxEjectionTime_ = std::chrono::seconds(60);
  /// Time in which a new or recovered endpoint's window grows to full size.
  base::Duration SlowStartTime_ = std::chrono::seconds(5);
};

/// Keeps failing and slow endpoints of one pool from ordinary work. It never
/// takes more than a share of the serving endpoints and never the last one.
/// After its time an ejected endpoint gets one probe at a time; a good one
/// brings it back with a slow start.
class Ejector {
public:
  explicit Ejector(EjectorOptions Options = {}) : Options_(Options) {}

  void setSlowStart(base::Duration Duration) {
    Options_.SlowStartTime_ = Duration;
  }

  void add(EndpointIndex Endpoint, base::TimePoint Now, bool SlowStart);
  void remove(EndpointIndex Endpoint);
  /// Says whether the endpoint could work at all: linked and not leaving.
  void setServing(EndpointIndex Endpoint, bool Serving);

  /// An attempt was sent; while ejected this is the probe.
  void sent(EndpointIndex Endpoint);
  /// An attempt showed that the endpoint works.
  void succeeded(EndpointIndex Endpoint, base::TimePoint Now);
  /// An attempt failed. Returns why the endpoint was ejected, if it was.
  std::optional<EjectionReason> failed(EndpointIndex Endpoint, FailureKind Kind,
                                       base::TimePoint Now);
  /// Ejects for slowness or silence, unless the pool can't spare the endpoint.
  bool eject(EndpointIndex Endpoint, EjectionReason Reason,
             base::TimePoint Now);

  bool ejected(EndpointIndex Endpoint) const;
  /// Whether the endpoint may get a request at \p Now, a probe included.
  bool admits(EndpointIndex Endpoint, base::TimePoint Now) const;
  /// Share of its window that the endpoint may use; 1 after its slow start.
  double slowStartShare(EndpointIndex Endpoint, base::TimePoint Now) const;
  std::optional<EjectionReason> reason(EndpointIndex Endpoint) const;
  base::TimePoint probeAt(EndpointIndex Endpoint) const;
  std::size_t servingCount() const { return ServingCount_; }
  /// Serving endpoints that are not ejected.
  std::size_t healthyCount() const {
    return ServingCount_ - EjectedServingCount_;
  }
  /// Times that an endpoint was kept because the pool could not spare it.
  std::uint64_t preventedEjections() const { return PreventedEjections_; }

private:
  struct EndpointHealth {
    bool Known_ = false;
    bool Serving_ = false;
    std::optional<EjectionReason> EjectionReason_;
    base::TimePoint ProbeAt_{};
    bool Probing_ = false;
    unsigned ConsecutiveEjections_ = 0;
    unsigned ConsecutiveFailures_ = 0;
    unsigned Attempts_ = 0;
    double FailureRate_ = 0;
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
