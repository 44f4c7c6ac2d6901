#ifndef CAMPHORWIND_REQUEST_TICKETS_H
#define CAMPHORWIND_REQUEST_TICKETS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/reasons.h"
#include "camphorwind/base/time.h"
#include "camphorwind/request/messages.h"

#include <chrono>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace camphorwind::request {

/// Time for which a ticket permits starts, by the agent's clock.
inline constexpr base::Duration TicketLifetime = std::chrono::seconds(2);

/// Converts \p Now to the representation used in tickets, rounded down to
/// microseconds.
std::chrono::microseconds ticketTime(base::TimePoint Now);

/// The tickets that one agent incarnation has granted.
///
/// A start is accepted only with a ticket granted less than TicketLifetime ago.
/// A router that receives nothing from the agent therefore stops starting
/// attempts there, and a start delayed by the network is refused without having
/// run. A leaving agent grants no tickets, so the last one lapses within
/// TicketLifetime. Sealing a router voids its tickets immediately.
class Tickets {
public:
  explicit Tickets(base::Incarnation Agent) : Agent_(std::move(Agent)) {}

  /// Answers a heartbeat. The reply carries a ticket unless the agent is
  /// leaving or the router is sealed.
  HeartbeatReply onHeartbeat(const Heartbeat &Received, base::TimePoint Now);

  /// Returns the reason to refuse the start of \p Attempt by \p Router, or
  /// nothing if the start is permitted.
  std::optional<base::RefusalReason> check(const base::Incarnation &Router,
                                           const AttemptRef &Attempt,
                                           base::TimePoint Now) const;

  /// Stops granting tickets to any router. Granted tickets stay valid.
  void leave() { Leaving_ = true; }
  bool leaving() const { return Leaving_; }

  /// Voids the tickets of \p Router and never grants it another one.
  void seal(const base::Incarnation &Router) { Sealed_.insert(Router); }
  bool sealed(const base::Incarnation &Router) const {
    return Sealed_.contains(Router);
  }

  /// Returns whether any granted ticket may still be valid. Ignores seals.
  bool anyValid(base::TimePoint Now) const;

  /// Returns when the last heartbeat of \p Router arrived, or nothing if the
  /// router is unknown or was removed by forgetSilentRouters().
  std::optional<base::TimePoint>
  lastHeard(const base::Incarnation &Router) const;

  /// Removes the last heartbeat times that are older than \p MaxSilence. Seals
  /// are kept.
  void forgetSilentRouters(base::Duration MaxSilence, base::TimePoint Now);

private:
  base::Incarnation Agent_;
  bool Leaving_ = false;
  std::optional<base::TimePoint> LastGrant_;
  std::unordered_map<base::Incarnation, base::TimePoint> LastHeard_;
  std::unordered_set<base::Incarnation> Sealed_;
};

} // namespace camphorwind::request

#endif // CAMPHORWIND_REQUEST_TICKETS_H
