#ifndef CAMPHORWIND_ROUTING_DRAIN_RATE_H
#define CAMPHORWIND_ROUTING_DRAIN_RATE_H

#include "camphorwind/base/time.h"

#include <optional>

namespace camphorwind::routing {

/// Measures how fast a queue's work is dispatched while there is a backlog.
class DrainRate {
public:
  /// Says whether requests were left waiting from \p Now on.
  void setBacklogged(bool Backlogged, base::TimePoint Now);
  /// The backlog has gone in another way; counts no time since the last call.
  void stop() { Backlogged_ = false; }
  /// This much work was dispatched.
  void dispatched(double Cost, base::TimePoint Now);
  /// Work per second, or nothing while too little has been seen.
  std::optional<double> perSecond() const;

private:
  void advance(base::TimePoint Now);

  bool Backlogged_ = false;
  base::TimePoint LastUpdate_{};
  double DecayedCost_ = 0;
  double DecayedSeconds_ = 0;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_DRAIN_RATE_H
