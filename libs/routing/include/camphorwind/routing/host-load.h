#ifndef CAMPHORWIND_ROUTING_HOST_LOAD_H
#define CAMPHORWIND_ROUTING_HOST_LOAD_H

#include "camphorwind/base/time.h"
#include "camphorwind/routing/request-limits.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace camphorwind::routing {

/// What a request needs of the host that takes it.
struct RequestNeeds {
  /// Time for which it has already waited to be read.
  base::Duration Waited_{0};
  base::Duration FirstByteObjective_{0};
  /// 0 is the most urgent.
  int Priority_ = 0;
};

/// Load shedding and readiness of a router on a host that is too small for its
/// callers at times.
///
/// The measure is the lag of the router: how long requests wait to be read, and
/// how late turns of its loop are. A request that misses its objective here for
/// that alone is refused at once, so that its caller tries another router in
/// time; less urgent ones are refused at half of the lag. Serving all of them
/// late would only add to the lag.
///
/// Lasting lag withdraws readiness, so that the load balancer gives new callers
/// to other routers. At most a third of the fleet's routers do so at once, in
/// turns, and each for a limited share of the time. No call does I/O.
class HostLoad {
public:
  /// Time in which the lag halves without further observations.
  static constexpr std::chrono::milliseconds LagHalfLife{250};
  /// Lag from which the host counts as overloaded, and below which it has
  /// recovered.
  static constexpr std::chrono::milliseconds OverloadLag{300};
  static constexpr std::chrono::milliseconds RecoveredLag{100};
  /// Duration of an overload after which readiness is withdrawn. The load
  /// balancer asks every second.
  static constexpr std::chrono::milliseconds SustainedTime{2000};
  static constexpr std::chrono::milliseconds MinUnreadyTime{3000};
  /// Share of the time for which readiness may be withdrawn. Routers have to be
  /// ready for seven eighths of it.
  static constexpr double MaxUnreadyShare = 0.1;
  /// Longest time without readiness at once.
  static constexpr std::chrono::milliseconds MaxUnreadyTime{6000};
  /// Routers may withdraw readiness in turns of this time, one in
  /// `TurnsPerRound` of them at once.
  static constexpr std::chrono::milliseconds TurnTime{8000};
  static constexpr std::size_t TurnsPerRound = 3;

  explicit HostLoad(base::TimePoint Start) : CreditAt_(Start) {}

  /// Records how long something waited for the router.
  void observe(base::Duration Lag, base::TimePoint Now);
  base::Duration lag(base::TimePoint Now) const;
  /// Whether the request should be refused because of the lag.
  bool mustRefuse(const RequestNeeds &Request, base::TimePoint Now) const;

  /// Updates overload and readiness; call about every 50 ms.
  void tick(FleetPlace Place, FleetTime Time, base::TimePoint Now);
  bool overloaded() const { return OverloadedSince_.has_value(); }
  /// Whether the router should say that it is ready.
  bool ready() const { return !UnreadySince_; }

private:
  /// Returns what is left of this router's turn; 0 if it has none now.
  static base::Duration turnLeft(FleetPlace Place, FleetTime Time);

  base::Duration Lag_{0};
  base::TimePoint LagAt_{};
  std::optional<base::TimePoint> OverloadedSince_;
  std::optional<base::TimePoint> UnreadySince_;
  /// Time for which readiness may be withdrawn, as of CreditAt_.
  base::Duration Credit_{0};
  base::TimePoint CreditAt_;
};

} // namespace camphorwind::routing

#endif // CAMPHORWIND_ROUTING_HOST_LOAD_H
