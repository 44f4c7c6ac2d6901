#include "camphorwind/routing/drain-rate.h"

#include <cmath>

namespace camphorwind::routing {

namespace {

using Seconds = std::chrono::duration<double>;

/// Backlogged time in which the weight of an observation falls to 1/e.
constexpr Seconds DecayTime{4};
/// perSecond() returns nothing until this much backlogged time has been
/// observed; older time counts for less.
constexpr Seconds MinBackloggedTime{0.5};

} // namespace

void DrainRate::advance(base::TimePoint Now) {
  Seconds Elapsed = Now - LastUpdate_;
  LastUpdate_ = Now;
  if (!Backlogged_)
    return;
  double Decay = std::exp(-Elapsed / DecayTime);
  DecayedCost_ *= Decay;
  DecayedSeconds_ = DecayedSeconds_ * Decay + Elapsed.count();
}

void DrainRate::setBacklogged(bool Backlogged, base::TimePoint Now) {
  advance(Now);
  Backlogged_ = Backlogged;
}

void DrainRate::dispatched(double Cost, base::TimePoint Now) {
  advance(Now);
  if (Backlogged_)
    DecayedCost_ += Cost;
}

std::optional<double> DrainRate::perSecond() const {
  if (DecayedSeconds_ < MinBackloggedTime.count())
    return std::nullopt;
  return DecayedCost_ / DecayedSeconds_;
}

} // namespace camphorwind::routing
