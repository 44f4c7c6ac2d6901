#ifndef CAMPHORWIND_ROUTING_DRAIN_RATE_H
#define CAMPHORWIND_ROUTING_DRAIN_RATE_H

#include "camphorwind/base/time.h"

#include <optional>

namespace camphorwind::routing {

/// Measures the rate at which a queue's work is dispatched while requests wait.
class DrainRate {
public:
  /// Sets whether requests are waiting from \p Now on.
  void setBacklogged(bool Backlogged, base::TimePoint Now);
  /// Ends the backlog, such as when the queue runs empty. The time since the
  /// last call does not count.
  void stop() { Backlogged_ = false; }
  /// Records dispatched work in the caller's unit of cost.
  void dispatched(double Cost, base::TimePoint Now);
  /// Returns the cost dispatched per second, or nothing until requests have
  /// been waiting for long enough to measure it.
  std::optional<double> perSecond() const;

private:
  void advance(base::TimePoint Now);

  bool Backlogged_ = false;
  base::TimePoint LastUpdate_{};
  /// Cost dispatched during backlogs; older cost counts for less.
  double DecayedCost_ = 0;
  /// Duration of backlogs; older time counts for less.
  double DecayedSeconds_ = 0;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_DRAIN_RATE_H
