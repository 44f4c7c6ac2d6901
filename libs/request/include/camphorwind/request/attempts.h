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

/// The attempts that an agent runs, or has recently run, at its endpoint.
namespace camphorwind::request {

/// Limits of one agent.
struct AttemptsSettings {
  /// Maximum number of concurrent attempts. Further attempts are refused as
  /// overloaded.
  std::size_t MaxRunning_ = 1024;
  /// Maximum size of an answer, in bytes. An attempt with a longer answer is
  /// stopped and reported as EndpointFailed.
  std::size_t MaxAnswerBytes_ = 8UL * 1024 * 1024;
  /// Maximum total size of the finished answers kept for replay, in bytes.
  /// Protected answers may exceed it; see UncommittedRetention_.
  std::size_t MaxKeptBytes_ = 8UL * 1024 * 1024;
  /// Total size of running and kept answers, in bytes, from which on new
  /// attempts are refused as overloaded.
  std::size_t MaxHeldBytes_ = 16UL * 1024 * 1024;
  /// Maximum time for which a finished answer is kept for replay.
  base::Duration AnswerRetention_ = std::chrono::minutes(10);
  /// Time for which an answer that is finished but not yet billed is protected
  /// from eviction.
  base::Duration UncommittedRetention_ = std::chrono::seconds(60);
  /// Time for which the id of an attempt is remembered after the attempt ended
  /// or was refused. Must be longer than TicketLifetime, so that a repeated
  /// start never runs.
  base::Duration IdRetention_ = std::chrono::minutes(10);
};

/// Sends a message to a router incarnation, if that router is connected.
struct SendToRouter {
  base::Incarnation Router_;
  ToRouter Message_;
};

/// Runs the call at the endpoint. The caller reports its progress through the
/// Attempts::onEndpoint... functions.
struct RunAtEndpoint {
  base::AttemptId Attempt_;
  EndpointCall Call_;
  /// Maximum number of tokens that the attempt may cost, prompt included.
  base::Tokens Bound_;
  /// Time until the caller's deadline.
  base::Duration TimeLeft_{0};
};

/// Stops the call at the endpoint; no more events are expected for it.
struct StopAtEndpoint {
  base::AttemptId Attempt_;
};

using AgentAction = std::variant<SendToRouter, RunAtEndpoint, StopAtEndpoint>;

/// How a call at the endpoint ended.
enum class EndpointEnd {
  Complete,   ///< The endpoint sent its whole answer.
  NotReached, ///< No byte of the call reached the endpoint.
  Failed,     ///< The call failed; it may have run.
  Stalled,    ///< The endpoint sent nothing for the stall limit.
};

/// What an agent needs to bill a running or ended attempt.
struct BillingInfo {
  base::Incarnation Router_;
  base::AccountId Account_;
  base::BudgetId Budget_;
  base::SliceId Slice_;
  Usage Usage_;
  bool NonIdempotent_ = false;
  /// The attempt has ended, for whatever reason.
  bool Finished_ = false;
  /// The attempt ended with the endpoint's whole answer.
  bool Complete_ = false;
  /// The attempt has been billed.
  bool Committed_ = false;
};

/// Decides which attempts one agent runs, and keeps their answers.
///
/// An attempt id is accepted at most once, and a refused id is never accepted
/// later. An accepted attempt that does not reach the endpoint becomes refused.
/// A query for an unknown id refuses that id, unless its ticket is so old that
/// the id may have been forgotten. Ids are remembered for longer than
/// TicketLifetime, so a repeated start never runs the attempt again.
///
/// The class does no I/O: the event functions queue actions, which the caller
/// takes with takeActions() and carries out.
class Attempts {
public:
  Attempts(base::Incarnation Agent, AttemptsSettings Settings)
      : Agent_(std::move(Agent)), Settings_(Settings) {}

  /// Accepts or refuses an attempt, or repeats the decision on a known one.
  /// Ignores a start for another agent incarnation. \p GrantedTickets are the
  /// tickets that this agent has granted.
  void onStart(const StartAttempt &Start, const Tickets &GrantedTickets,
               base::TimePoint Now);
  /// Stops sending the answer to the router, and stops the attempt if no other
  /// router reads it.
  void onCancel(const Cancel &Cancelled, base::TimePoint Now);
  /// Reports the state of an attempt and sends its answer from the requested
  /// offset on. Adds the router to the readers of a running attempt, and sends
  /// Finished for an ended one. Ignores a query to another agent incarnation.
  void onQuery(const QueryAttempt &Query, base::TimePoint Now);

  /// Handles the status and content type of the endpoint's answer.
  void onEndpointHead(const base::AttemptId &Attempt, AnswerHead Head);
  /// Handles the next bytes of the endpoint's answer.
  void onEndpointBytes(const base::AttemptId &Attempt, const std::string &Bytes,
                       base::TimePoint Now);
  /// Stores the number of tokens that the endpoint reports as used so far.
  void onEndpointUsage(const base::AttemptId &Attempt, Usage Used);
  /// Handles the end of the call at the endpoint.
  void onEndpointEnd(const base::AttemptId &Attempt, EndpointEnd End,
                     base::TimePoint Now);

  /// Marks the attempt as billed.
  void onCommitted(const base::AttemptId &Attempt);
  /// Stops an attempt that must not be billed because its router was sealed,
  /// and drops its answer. Has no effect on a billed attempt.
  void onDropped(const base::AttemptId &Attempt, base::TimePoint Now);

  /// Stops attempts past their deadline, and drops answers and ids whose
  /// retention is over.
  void onTick(base::TimePoint Now);
  /// Returns when onTick() must be called next, if at all.
  std::optional<base::TimePoint> nextTimer() const;

  /// Returns the billing information of \p Attempt, or nothing if the attempt
  /// is unknown or was refused.
  std::optional<BillingInfo> billingInfo(const base::AttemptId &Attempt) const;
  /// Returns the unbilled attempts started by \p Router that are running or
  /// have a kept complete answer, sorted by id.
  std::vector<base::AttemptId>
  openAttempts(const base::Incarnation &Router) const;

  /// Returns the number of running attempts.
  std::size_t running() const { return Running_; }
  /// Returns the total size of the kept finished answers, in bytes.
  std::size_t keptBytes() const { return KeptBytes_; }

  /// Returns the queued actions and clears the queue.
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
    /// Routers that receive the answer while the attempt runs.
    std::vector<base::Incarnation> Readers_;
    base::TimePoint Deadline_;
    base::TimePoint EndedAt_;
  };
  using Records = std::unordered_map<base::AttemptId, Record>;

  AttemptRef makeRef(const base::AttemptId &Attempt, const Record &Entry) const;
  std::optional<base::RefusalReason>
  reasonToRefuse(const StartAttempt &Start, const Tickets &GrantedTickets,
                 base::TimePoint Now) const;
  void accept(const StartAttempt &Start, base::TimePoint Now);
  void refuse(const base::AttemptId &Attempt, base::RefusalReason Reason,
              base::TimePoint Now);
  void answerRepeat(const StartAttempt &Start, const Record &Entry);
  void send(const base::Incarnation &Router, ToRouter Message);
  void sendStatus(const QueryAttempt &Query, AttemptState State);
  void sendAnswer(const QueryAttempt &Query, const Record &Entry);
  Finished makeFinished(const base::AttemptId &Attempt,
                        const Record &Entry) const;
  void end(const base::AttemptId &Attempt, Record &Entry, AttemptEnd End,
           base::TimePoint Now);
  void stop(const base::AttemptId &Attempt, Record &Entry, AttemptEnd End,
            base::TimePoint Now);
  void dropAnswer(Record &Entry);
  void evictAnswers(base::TimePoint Now);
  void forgetOldIds(base::TimePoint Now);
  Record *findRunning(const base::AttemptId &Attempt);

  struct EndedAttempt {
    base::AttemptId Attempt_;
    base::TimePoint EndedAt_;
  };

  base::Incarnation Agent_;
  AttemptsSettings Settings_;
  Records Records_;
  std::multimap<base::TimePoint, base::AttemptId> Deadlines_;
  std::deque<EndedAttempt> EndedAttempts_;
  std::deque<EndedAttempt> KeptAnswers_;
  std::size_t Running_ = 0;
  std::size_t RunningBytes_ = 0;
  std::size_t KeptBytes_ = 0;
  std::vector<AgentAction> Actions_;
};

} // namespace camphorwind::request

#endif // CAMPHORWIND_REQUEST_ATTEMPTS_H
