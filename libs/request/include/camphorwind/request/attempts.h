#ifndef CAMPHORWIND_REQUEST_ATTEMPTS_H
#define CAMPHORWIND_REQUEST_ATTEMPTS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/reasons.h"
#include "camphorwind/base/time.h"
#include "camphorwind/request/messages.h"
#include "camphorwind/request/tickets.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

/// The attempts of one agent: what its endpoint runs and has run lately.
namespace camphorwind::request {

/// Limits of one agent.
struct AttemptsSettings {
  /// Attempts that may run at once; more are refused as overloaded.
  std::size_t MaxRunning_ = 1024;
  /// Largest answer kept for resuming and replay; a longer one fails.
  std::size_t MaxAnswerBytes_ = 8UL * 1024 * 1024;
  /// Bytes of finished answers kept for replay.
  std::size_t MaxKeptBytes_ = 8UL * 1024 * 1024;
  /// Bytes of all answers above which new attempts are refused.
  std::size_t MaxHeldBytes_ = 16UL * 1024 * 1024;
  /// Longest time a finished answer is kept for replay.
  base::Duration AnswerRetention_ = std::chrono::minutes(10);
  /// How long an uncommitted finished answer is protected from eviction.
  base::Duration UncommittedRetention_ = std::chrono::seconds(60);
  /// How long the id of an attempt is remembered; above TicketLifetime.
  base::Duration IdRetention_ = std::chrono::minutes(10);
};

/// Sends a message to a router incarnation, if it is linked.
struct SendToRouter {
  base::Incarnation Router_;
  ToRouter Message_;
};

/// Runs the call at the endpoint. Answered by the onEndpoint events.
struct RunAtEndpoint {
  base::AttemptId Attempt_;
  EndpointCall Call_;
  base::Tokens Bound_;
  base::Duration TimeLeft_{0};
};

/// Stops the call at the endpoint; no more events are expected for it.
struct StopAtEndpoint {
  base::AttemptId Attempt_;
};

using AgentAction = std::variant<SendToRouter, RunAtEndpoint, StopAtEndpoint>;

/// How a call at the endpoint ended.
enum class EndpointEnd {
  Complete,
  NotReached, ///< Proof that no byte of the call reached the endpoint.
  Failed,
  Stalled,
};

/// What an agent knows about a finished or running attempt, for billing.
struct BillingInfo {
  base::Incarnation Router_;
  base::AccountId Account_;
  base::BudgetId Budget_;
  base::SliceId Slice_;
  Usage Usage_;
  bool NonIdempotent_ = false;
  bool Finished_ = false;
  bool Complete_ = false;
  bool Committed_ = false;
};

/// Decides which attempts one agent runs, and keeps their answers.
///
/// Every id is answered once and for all: accepted, or refused and remembered
/// as refused, also when it was only asked about. Ids are remembered for
/// longer than any ticket lasts, so a repeated or late start never runs.
class Attempts {
public:
  Attempts(base::Incarnation Agent, AttemptsSettings Settings)
      : Agent_(std::move(Agent)), Settings_(Settings) {}

  /// Takes or refuses an attempt; \p Granted are this agent's tickets.
  void onStart(const StartAttempt &Start, const Tickets &Granted,
               base::TimePoint Now);
  void onCancel(const Cancel &Cancelled, base::TimePoint Now);
  void onQuery(const QueryAttempt &Query, base::TimePoint Now);

  /// The endpoint's answer begins.
  void onEndpointHead(const base::AttemptId &Attempt, AnswerHead Head);
  /// The endpoint's answer goes on.
  void onEndpointBytes(const base::AttemptId &Attempt, const std::string &Bytes,
                       base::TimePoint Now);
  /// The endpoint has said how many tokens the attempt used so far.
  void onEndpointUsage(const base::AttemptId &Attempt, Usage Used);
  void onEndpointEnd(const base::AttemptId &Attempt, EndpointEnd End,
                     base::TimePoint Now);

  /// The attempt has been billed here.
  void onCommitted(const base::AttemptId &Attempt);
  /// The attempt must not be billed any more: its router was sealed.
  void onDropped(const base::AttemptId &Attempt, base::TimePoint Now);

  /// Ends what is past its deadline and forgets what is old.
  void onTick(base::TimePoint Now);
  /// Returns when onTick has work next.
  std::optional<base::TimePoint> nextTimer() const;

  /// Returns what is needed to bill \p Attempt, while it is known.
  std::optional<BillingInfo> billingInfo(const base::AttemptId &Attempt) const;
  /// Returns the attempts of \p Router that are running or uncommitted.
  std::vector<base::AttemptId>
  openAttempts(const base::Incarnation &Router) const;

  std::size_t running() const { return Running_; }
  std::size_t keptBytes() const { return KeptBytes_; }

  std::vector<AgentAction> takeActions();

private:
  enum class RecordState { Refused, Running, Ended, Dropped };
  struct Record {
    RecordState State_ = RecordState::Refused;
    base::RefusalReason Reason_ = base::RefusalReason::Internal;
    std::chrono::microseconds TicketGrantedAt_{0};
    BillingInfo Billing_;
    AttemptEnd End_ = AttemptEnd::Complete;
    std::optional<AnswerHead> Head_;
    std::string Answer_;
    std::uint64_t Length_ = 0;
    std::vector<base::Incarnation> Readers_;
    base::TimePoint Deadline_;
    base::TimePoint EndedAt_;
  };
  using Records = std::unordered_map<base::AttemptId, Record>;

  AttemptRef ref(const base::AttemptId &Attempt, const Record &Found) const;
  std::optional<base::RefusalReason> reasonToRefuse(const StartAttempt &Start,
                                                    const Tickets &Granted,
                                                    base::TimePoint Now) const;
  void accept(const StartAttempt &Start, base::TimePoint Now);
  void refuse(const base::AttemptId &Attempt, base::RefusalReason Reason,
              base::TimePoint Now);
  void answerRepeat(const StartAttempt &Start, const Record &Found);
  void send(const base::Incarnation &Router, ToRouter Message);
  void sendStatus(const QueryAttempt &Query, AttemptState State);
  void sendAnswer(const QueryAttempt &Query, const Record &Found);
  Finished finished(const base::AttemptId &Attempt, const Record &Found) const;
  void end(const base::AttemptId &Attempt, Record &Found, AttemptEnd End,
           base::TimePoint Now);
  void stop(const base::AttemptId &Attempt, Record &Found, AttemptEnd End,
            base::TimePoint Now);
  void dropAnswer(Record &Found);
  void evict(base::TimePoint Now);
  void forget(base::TimePoint Now);
  Record *findRunning(const base::AttemptId &Attempt);

  struct Old {
    base::AttemptId Attempt_;
    base::TimePoint EndedAt_;
  };

  base::Incarnation Agent_;
  AttemptsSettings Settings_;
  Records Records_;
  std::multimap<base::TimePoint, base::AttemptId> Deadlines_;
  std::deque<Old> Ended_;
  std::deque<Old> Kept_;
  std::size_t Running_ = 0;
  std::size_t RunningBytes_ = 0;
  std::size_t KeptBytes_ = 0;
  std::vector<AgentAction> Actions_;
};

} // namespace camphorwind::request

#endif // CAMPHORWIND_REQUEST_ATTEMPTS_H
