#include "camphorwind/request/tickets.h"

#include <algorithm>

namespace camphorwind::request {

std::chrono::microseconds ticketTime(base::TimePoint Now) {
  return std::chrono::floor<std::chrono::microseconds>(Now.time_since_epoch());
}

HeartbeatReply Tickets::onHeartbeat(const Heartbeat &Beat,
                                    base::TimePoint Now) {
  LastHeard_[Beat.Router_] = Now;
  HeartbeatReply Reply{Agent_, Beat.Sequence_, std::nullopt, Leaving_};
  if (Leaving_ || sealed(Beat.Router_))
    return Reply;
  Reply.Ticket_ = Ticket{Agent_, ticketTime(Now)};
  LastGrant_ = Now;
  return Reply;
}

std::optional<base::RefusalReason>
Tickets::check(const base::Incarnation &Router, const AttemptRef &Attempt,
               base::TimePoint Now) const {
  if (sealed(Router))
    return base::RefusalReason::RouterSealed;
  bool Good = Attempt.Agent_ == Agent_ &&
              ticketTime(Now) - Attempt.TicketGrantedAt_ < TicketLifetime;
  if (Good)
    return std::nullopt;
  return Leaving_ ? base::RefusalReason::AgentLeaving
                  : base::RefusalReason::TicketLapsed;
}

bool Tickets::anyValid(base::TimePoint Now) const {
  return LastGrant_ && Now - *LastGrant_ <= TicketLifetime;
}

std::optional<base::TimePoint>
Tickets::lastHeard(const base::Incarnation &Router) const {
  auto Found = LastHeard_.find(Router);
  if (Found == LastHeard_.end())
    return std::nullopt;
  return Found->second;
}

void Tickets::forgetSilentRouters(base::Duration Silence, base::TimePoint Now) {
  std::erase_if(LastHeard_, [&](const auto &Entry) {
    return Now - Entry.second > Silence;
  });
}

} // namespace camphorwind::request
