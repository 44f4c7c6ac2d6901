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

/// How long a ticket permits starts, by the agent's clock.
inline constexpr base::Duration TicketLifetime = std::chrono::seconds(2);

/// Returns \p Now as tickets carry it.
std::chrono::microseconds ticketTime(base::TimePoint Now);

/// The tickets that one agent incarnation has granted.
///
/// A start is taken only under a ticket granted less than TicketLifetime ago. A
/// router that stops hearing the agent therefore stops starting work there, and
/// a start delayed by the network is refused as not run. Once leaving, no
/// ticket is granted and the last one lapses within TicketLifetime. A sealed
/// router's tickets are void at once.
class Tickets {
public:
  explicit Tickets(base::Incarnation Agent) : Agent_(std::move(Agent)) {}

  /// Answers a heartbeat, with a ticket unless leaving or sealed.
  HeartbeatReply onHeartbeat(const Heartbeat &Beat, base::TimePoint Now);

  /// Returns why a start by \p Router of \p Attempt must be refused, if so.
  std::optional<base::RefusalReason> check(const base::Incarnation &Router,
                                           const AttemptRef &Attempt,
                                           base::TimePoint Now) const;

  /// Grants no more tickets to anyone.
  void leave() { Leaving_ = true; }
  bool leaving() const { return Leaving_; }

  /// Voids the tickets of \p Router and grants it no more, for good.
  void seal(const base::Incarnation &Router) { Sealed_.insert(Router); }
  bool sealed(const base::Incarnation &Router) const {
    return Sealed_.contains(Router);
  }

  /// Returns whether any ticket is still good.
  bool anyValid(base::TimePoint Now) const;

  /// Returns when \p Router was last heard, if lately.
  std::optional<base::TimePoint>
  lastHeard(const base::Incarnation &Router) const;

  /// Forgets when routers silent for longer than \p Silence were heard.
  void forgetSilentRouters(base::Duration Silence, base::TimePoint Now);

private:
  base::Incarnation Agent_;
  bool Leaving_ = false;
  std::optional<base::TimePoint> LastGrant_;
  std::unordered_map<base::Incarnation, base::TimePoint> LastHeard_;
  std::unordered_set<base::Incarnation> Sealed_;
};

} // namespace camphorwind::request

#endif // CAMPHORWIND_REQUEST_TICKETS_H
