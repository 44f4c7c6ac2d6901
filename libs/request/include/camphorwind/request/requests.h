#ifndef CAMPHORWIND_REQUEST_REQUESTS_H
#define CAMPHORWIND_REQUEST_REQUESTS_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/reasons.h"
#include "camphorwind/base/table.h"
#include "camphorwind/base/time.h"
#include "camphorwind/request/claims.h"
#include "camphorwind/request/messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

/// The requests of one router, from a caller's call to its one answer.
namespace camphorwind::request {

/// Limits of one router.
struct RequestsSettings {
  /// Attempts per request, the first one included.
  std::size_t MaxAttempts_ = 4;
  /// How long a claim holder may take before it counts as silent.
  base::Duration ClaimTimeout_ = std::chrono::milliseconds(250);
  /// Pause before asking again for a claim whose holder has no attempt yet.
  base::Duration ClaimRetryDelay_ = std::chrono::milliseconds(250);
  /// How often a claim without an attempt is asked for again.
  std::size_t MaxClaimRetries_ = 2;
  /// Silence of an attempt after which its agent is asked about it.
  base::Duration SilenceBeforeQuery_ = std::chrono::seconds(1);
  /// Least time between two questions about one attempt.
  base::Duration MinQueryInterval_ = std::chrono::milliseconds(100);
  /// How long a lost link may stay down before work moves elsewhere.
  base::Duration LinkResumeTimeout_ = std::chrono::seconds(2);
  /// Pause before a failed table operation is repeated.
  base::Duration TableRetryDelay_ = std::chrono::milliseconds(200);
  /// Failed table operations before a call that may not run twice is refused.
  std::size_t MaxTableFailures_ = 3;
};

/// A caller's request, after authentication and before anything is reserved.
struct Submission {
  base::RequestId Request_;
  base::AccountId Account_;
  /// Empty when the caller gave none.
  std::string IdempotencyKey_;
  /// Hash of everything that the answer depends on.
  std::uint64_t Fingerprint_ = 0;
  bool NonIdempotent_ = false;
  /// The answer is delivered as it arrives; else only whole.
  bool Streaming_ = false;
  /// Time until the caller's deadline.
  base::Duration Timeout_{0};
  EndpointCall Call_;
};

/// Where the next attempt may run and which slice pays for it.
struct PreparedAttempt {
  base::EndpointId Endpoint_;
  base::Incarnation Agent_;
  Ticket Ticket_;
  base::BudgetId Budget_;
  base::SliceId Slice_;
  base::Tokens Bound_;
};

/// Asks for an endpoint and, at the first attempt, for a reservation. Answered
/// by onPrepared or onNotPrepared.
struct PrepareAttempt {
  base::RequestId Request_;
  /// The id that the attempt will have; also names its reservation.
  base::AttemptId Attempt_;
  /// Endpoints that this request has already tried.
  std::vector<base::EndpointId> Tried_;
  /// Absent for the first attempt.
  std::optional<base::RetryReason> Retry_;
};

/// Sends a message to an agent incarnation. A StartAttempt that could not be
/// handed to a connection must be answered by onNotSent; other messages may
/// be lost.
struct SendToAgent {
  base::Incarnation Agent_;
  ToAgent Message_;
};

/// Runs a transaction. Answered by onWriteResult.
struct WriteTable {
  base::RequestId Request_;
  base::Transaction Change_;
};

/// Reads one row. Answered by onReadResult.
struct ReadTable {
  base::RequestId Request_;
  std::string Key_;
};

/// Runs a transaction whose result doesn't matter. Not answered.
struct CleanUpTable {
  base::Transaction Change_;
};

/// Bills an attempt of this router. Answered by onCommit.
struct CommitAttempt {
  base::RequestId Request_;
  AttemptRef Attempt_;
  Usage Usage_;
  /// Bytes that the caller got or, when it is still there, will get.
  std::uint64_t Delivered_ = 0;
};

/// How billing an attempt ended.
enum class CommitStatus {
  Committed,   ///< Billed, by this call or before.
  Refused,     ///< Not billed and never will be.
  Unconfirmed, ///< May have been billed.
};

/// Hands the caller part of its answer.
struct Deliver {
  base::RequestId Request_;
  /// Present in the first part.
  std::optional<AnswerHead> Head_;
  std::string Bytes_;
};

/// The whole answer was delivered and billed; ends the request.
struct FinishRequest {
  base::RequestId Request_;
  AttemptRef Attempt_;
  Usage Usage_;
};

/// Ends the request without a whole answer.
struct FailRequest {
  base::RequestId Request_;
  base::RefusalReason Reason_ = base::RefusalReason::Internal;
  base::Ran Ran_ = base::Ran::Unknown;
  /// Part of an answer was already delivered.
  bool Truncated_ = false;
};

/// How an attempt of this router ended, for the choice of endpoints.
enum class AttemptResult { Answered, Refused, Failed, Lost, GivenUp };

/// An attempt of this router is over; every prepared attempt gets one.
struct AttemptClosed {
  base::RequestId Request_;
  base::EndpointId Endpoint_;
  AttemptRef Attempt_;
  AttemptResult Result_ = AttemptResult::GivenUp;
};

using RouterAction =
    std::variant<PrepareAttempt, SendToAgent, WriteTable, ReadTable,
                 CleanUpTable, CommitAttempt, Deliver, FinishRequest,
                 FailRequest, AttemptClosed>;

/// Why a message from an agent was dropped.
enum class DropReason { NotCurrent, Repeated, OutOfOrder };

/// What a router has counted since its start.
struct RequestCounters {
  std::uint64_t Answered_ = 0;
  std::uint64_t Attached_ = 0;
  std::uint64_t BillRowWrites_ = 0;
  std::array<std::uint64_t, 3> Ran_{};      ///< Failures by base::Ran.
  std::array<std::uint64_t, 3> Dropped_{};  ///< Messages by DropReason.
  std::array<std::uint64_t, 12> Retries_{}; ///< By base::RetryReason.
};

namespace detail {
struct RequestRecord;
struct TriedAttempt;
} // namespace detail

/// Decides about every request of one router.
///
/// Events go in through the on... functions, actions come out of takeActions.
/// Each submission ends in exactly one FinishRequest or FailRequest.
class Requests {
public:
  Requests(base::Incarnation Router, RequestsSettings Settings);
  ~Requests();
  Requests(const Requests &) = delete;
  Requests &operator=(const Requests &) = delete;

  void onSubmit(Submission Submitted, base::TimePoint Now);
  void onCallerGone(const base::RequestId &Request, base::TimePoint Now);

  void onPrepared(const base::RequestId &Request, PreparedAttempt Prepared,
                  base::TimePoint Now);
  void onNotPrepared(const base::RequestId &Request, base::RefusalReason Reason,
                     base::TimePoint Now);
  /// The StartAttempt of this attempt never left the router.
  void onNotSent(const AttemptRef &Attempt, base::TimePoint Now);

  void onMessage(const Accepted &Message, base::TimePoint Now);
  void onMessage(const Refused &Message, base::TimePoint Now);
  void onMessage(const Chunk &Message, base::TimePoint Now);
  void onMessage(const Finished &Message, base::TimePoint Now);
  void onMessage(const AttemptStatus &Message, base::TimePoint Now);
  void onMessage(const ClaimReply &Message, base::TimePoint Now);
  void onMessage(const ClaimConfirmReply &Message, base::TimePoint Now);
  void onMessage(const ClaimReleaseReply &Message, base::TimePoint Now);
  void onMessage(const JoinCommitReply &Message, base::TimePoint Now);

  void onWriteResult(const base::RequestId &Request,
                     const base::TransactionResult &Result,
                     base::TimePoint Now);
  void onReadResult(const base::RequestId &Request,
                    const base::ReadResult &Result, base::TimePoint Now);
  void onCommit(const base::RequestId &Request, const AttemptRef &Attempt,
                CommitStatus Status, base::TimePoint Now);

  /// A connection to the agent answers, for the first time or again.
  void onLinkUp(const base::Incarnation &Agent, base::TimePoint Now);
  /// No connection to the agent answers.
  void onLinkDown(const base::Incarnation &Agent, base::TimePoint Now);
  /// The agent incarnation has ended for good.
  void onAgentGone(const base::Incarnation &Agent, base::TimePoint Now);
  void onClaimView(const ClaimView &View, base::TimePoint Now);

  void onTick(base::TimePoint Now);
  /// Returns when onTick has work next.
  std::optional<base::TimePoint> nextTimer() const;

  std::vector<RouterAction> takeActions();

  /// Requests without an answer yet.
  std::size_t inFlight() const { return Records_.size(); }
  const RequestCounters &counters() const { return Counters_; }

private:
  using Record = detail::RequestRecord;
  using Tried = detail::TriedAttempt;

  struct Timer {
    base::TimePoint At_;
    std::uint64_t Record_ = 0;
    friend bool operator>(const Timer &A, const Timer &B) {
      return A.At_ > B.At_;
    }
  };
  using Timers = std::priority_queue<Timer, std::vector<Timer>, std::greater<>>;

  // Claims.
  void requestClaims(Record &R, base::TimePoint Now);
  void evaluateClaims(Record &R, base::TimePoint Now);
  void scheduleClaimRetry(Record &R, base::TimePoint Now);
  void requestConfirmation(Record &R, base::TimePoint Now);
  void evaluateConfirmation(Record &R, base::TimePoint Now);
  void requestRelease(Record &R, base::TimePoint Now);
  void evaluateRelease(Record &R, base::TimePoint Now);
  void reportAttemptToHolders(const Record &R, const AttemptRef &Attempt);

  // Attempts.
  void requestAttempt(Record &R, std::optional<base::RetryReason> Retry);
  AttemptRef preparedRef(Record &R);
  void dispatch(Record &R, base::TimePoint Now);
  void followAttempt(Record &R, const AttemptRef &Attempt, bool Confirmed,
                     base::TimePoint Now);
  void watchAttempt(Record &R, const AttemptRef &Attempt, base::TimePoint Now);
  void queryCurrent(Record &R, base::TimePoint Now);
  void releasePrepared(Record &R);
  void closeCurrent(Record &R, AttemptResult Result);
  void cancelCurrent(Record &R);
  void onNeverRan(Record &R, Tried &Attempt, base::RefusalReason Reason,
                  base::TimePoint Now);
  void onAttemptFailed(Record &R, base::RefusalReason Reason,
                       base::RetryReason Retry, AttemptResult Result,
                       base::TimePoint Now);
  void checkSilence(Record &R, base::TimePoint Now);
  void onCurrentChunk(Record &R, const Chunk &Part, base::TimePoint Now);
  void onCurrentFinished(Record &R, const Finished &End, base::TimePoint Now);
  void onCurrentStatus(Record &R, AttemptState State, base::TimePoint Now);
  void onWholeAnswer(Record &R, bool Billed, base::TimePoint Now);
  void switchToWinner(Record &R, const AttemptRef &Winner, base::TimePoint Now);
  void commit(Record &R, base::TimePoint Now);
  void sendJoinCommit(Record &R, base::TimePoint Now);
  void deliver(Record &R, std::string Bytes);
  template <class Visit>
  void forEachRequestOf(const AttemptRef &Attempt, const Visit &Apply);
  void countDropped(DropReason Reason);

  // Table rows.
  void writeIntent(Record &R);
  void writeBill(Record &R);
  void readRow(Record &R);
  void onCurrentRow(Record &R, const base::Row &Found, base::TimePoint Now);
  void onIntentRow(Record &R, const AttemptRef &Named, base::RowVersion Version,
                   base::TimePoint Now);
  void scheduleTableRetry(Record &R, base::RetryReason Reason,
                          base::TimePoint Now);
  void retryTable(Record &R);

  // Life of a record.
  void finish(Record &R);
  void fail(Record &R, base::RefusalReason Reason, base::TimePoint Now);
  void failWith(Record &R, base::RefusalReason Reason, base::Ran Ran);
  void onDeadline(Record &R, base::TimePoint Now);
  void onTimer(Record &R, base::TimePoint Now);
  void wakeAt(Record &R, base::TimePoint At);
  void erase(Record &R);
  Record *find(const base::RequestId &Request);
  std::vector<std::uint64_t>
  recordsRunningAt(const base::Incarnation &Agent) const;

  base::Incarnation Router_;
  RequestsSettings Settings_;
  ClaimViews Views_;
  std::uint64_t NextRecord_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<Record>> Records_;
  std::unordered_map<base::RequestId, std::uint64_t> ByRequest_;
  /// Several requests may follow one attempt.
  std::unordered_multimap<base::AttemptId, std::uint64_t> ByAttempt_;
  std::unordered_map<base::Incarnation, std::unordered_set<std::uint64_t>>
      RunningByAgent_;
  std::unordered_set<base::Incarnation> Linked_;
  Timers Timers_;
  std::vector<RouterAction> Actions_;
  RequestCounters Counters_;
};

} // namespace camphorwind::request

#endif // CAMPHORWIND_REQUEST_REQUESTS_H
