#include "camphorwind/routing/host-load.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorwind::routing {

namespace {

using Seconds = std::chrono::duration<double>;

/// Multiple of the lag for requests that are not among the most urgent.
constexpr int LessUrgentFactor = 2;

} // namespace

void HostLoad::observe(base::Duration Lag, base::TimePoint Now) {
  Lag_ = std::max(lag(Now), Lag);
  LagAt_ = Now;
  // At once: after a pause, requests are read before the next tick.
  if (!OverloadedSince_ && Lag_ >= OverloadLag)
    OverloadedSince_ = Now;
}

base::Duration HostLoad::lag(base::TimePoint Now) const {
  double Left = std::exp2(-Seconds(Now - LagAt_) / Seconds(LagHalfLife));
  return std::chrono::duration_cast<base::Duration>(Seconds(Lag_) * Left);
}

bool HostLoad::mustRefuse(const RequestNeeds &Request,
                          base::TimePoint Now) const {
  if (!OverloadedSince_)
    return false;
  base::Duration Expected = std::max(Request.Waited_, lag(Now));
  return Expected * (Request.Priority_ > 0 ? LessUrgentFactor : 1) >=
         Request.FirstByteObjective_;
}

base::Duration HostLoad::turnLeft(FleetPlace Place, FleetTime Time) {
  auto Turn = static_cast<std::size_t>(Time / FleetTime(TurnTime));
  // Of fewer routers, one would be more than its share.
  bool IsOwn = Place.Routers_ >= TurnsPerRound &&
               (Place.Index_ + Turn) % TurnsPerRound == 0;
  return IsOwn ? FleetTime(TurnTime) - Time % FleetTime(TurnTime)
               : base::Duration::zero();
}

void HostLoad::tick(FleetPlace Place, FleetTime Time, base::TimePoint Now) {
  base::Duration Lag = lag(Now);
  if (OverloadedSince_ && Lag < RecoveredLag)
    OverloadedSince_.reset();

  base::Duration Elapsed = Now - std::exchange(CreditAt_, Now);
  if (UnreadySince_) {
    Credit_ -= Elapsed;
    base::Duration Unready = Now - *UnreadySince_;
    if (Credit_ <= base::Duration::zero() ||
        turnLeft(Place, Time) == base::Duration::zero() ||
        (Unready >= MinUnreadyTime && !OverloadedSince_))
      UnreadySince_.reset();
    return;
  }
  Credit_ = std::min<base::Duration>(
      MaxUnreadyTime, Credit_ + std::chrono::duration_cast<base::Duration>(
                                    MaxUnreadyShare * Seconds(Elapsed)));
  if (OverloadedSince_ && Now - *OverloadedSince_ >= SustainedTime &&
      Credit_ >= MinUnreadyTime && turnLeft(Place, Time) >= MinUnreadyTime)
    UnreadySince_ = Now;
}

} // namespace camphorwind::routing
