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

/// Tracks the requests of one router from submission to their final result.
namespace camphorwind::request {

/// Limits and timeouts for the requests of one router.
struct RequestsSettings {
  /// Maximum attempts per request, including the first one.
  std::size_t MaxAttempts_ = 4;
  /// Time to wait for the replies of claim holders and for a JoinCommitReply.
  base::Duration ClaimTimeout_ = std::chrono::milliseconds(250);
  /// Delay before claim requests are sent again, because too few holders
  /// recorded the claim or another request holds it without an attempt.
  base::Duration ClaimRetryDelay_ = std::chrono::milliseconds(250);
  /// Maximum number of times that claim requests are sent again.
  std::size_t MaxClaimRetries_ = 2;
  /// Time without a message about an attempt before its agent is queried.
  base::Duration SilenceBeforeQuery_ = std::chrono::seconds(1);
  /// Minimum time between the query of an attempt and a further query because
  /// part of its answer is missing.
  base::Duration MinQueryInterval_ = std::chrono::milliseconds(100);
  /// Time that a link may be down before a request leaves its attempt there. A
  /// request stays with an attempt that it started and must not repeat.
  base::Duration LinkResumeTimeout_ = std::chrono::seconds(2);
  /// Delay before a failed table operation is repeated. Also the interval at
  /// which an attempt is checked after its link was down for
  /// LinkResumeTimeout_.
  base::Duration TableRetryDelay_ = std::chrono::milliseconds(200);
  /// Failed operations on the intent row after which a non-idempotent request
  /// is refused.
  std::size_t MaxTableFailures_ = 3;
};

/// An authenticated request of a caller; no tokens are reserved for it yet.
struct Submission {
  base::RequestId Request_;
  base::AccountId Account_;
  /// Empty when the caller sent no Idempotency-Key.
  std::string IdempotencyKey_;
  /// Hash of the request content that determines the answer.
  std::uint64_t Fingerprint_ = 0;
  bool NonIdempotent_ = false;
  /// Deliver the answer as it arrives instead of all at once.
  bool Streaming_ = false;
  /// Time until the caller's deadline.
  base::Duration Timeout_{0};
  EndpointCall Call_;
};

/// The endpoint for the next attempt and the slice that its tokens are
/// reserved from.
struct PreparedAttempt {
  base::EndpointId Endpoint_;
  base::Incarnation Agent_;
  Ticket Ticket_;
  base::BudgetId Budget_;
  base::SliceId Slice_;
  /// Maximum tokens that the attempt may cost, including the prompt.
  base::Tokens Bound_;
};

/// Requests an endpoint and, for the first attempt, a token reservation.
/// Answered by onPrepared or onNotPrepared.
struct PrepareAttempt {
  base::RequestId Request_;
  /// Id of the attempt and of its reservation.
  base::AttemptId Attempt_;
  /// Endpoints to which this request already sent an attempt.
  std::vector<base::EndpointId> Tried_;
  /// Absent for the first attempt.
  std::optional<base::RetryReason> Retry_;
};

/// Sends a message to an agent incarnation. A StartAttempt that could not be
/// passed to a connection must be answered by onNotSent; messages of every
/// other type may be lost.
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

/// Runs a transaction that removes obsolete rows. Its result is ignored.
struct CleanUpTable {
  base::Transaction Change_;
};

/// Bills an attempt that this request started. Answered by onCommit.
struct CommitAttempt {
  base::RequestId Request_;
  AttemptRef Attempt_;
  Usage Usage_;
  /// Answer bytes delivered to the caller, plus those still to be delivered if
  /// the caller is connected.
  std::uint64_t Delivered_ = 0;
};

/// Result of billing an attempt.
enum class CommitStatus {
  Committed,   ///< Billed now or earlier.
  Refused,     ///< Not billed and can never be billed.
  Unconfirmed, ///< May have been billed.
};

/// Delivers part of the answer to the caller.
struct Deliver {
  base::RequestId Request_;
  /// Present only in the first part.
  std::optional<AnswerHead> Head_;
  std::string Bytes_;
};

/// Ends the request after its answer was billed and passed on for delivery.
struct FinishRequest {
  base::RequestId Request_;
  AttemptRef Attempt_;
  Usage Usage_;
};

/// Ends the request with an error.
struct FailRequest {
  base::RequestId Request_;
  base::RefusalReason Reason_ = base::RefusalReason::Internal;
  base::Ran Ran_ = base::Ran::Unknown;
  /// Part of an answer was already delivered.
  bool Truncated_ = false;
};

/// Result of an attempt, as feedback for endpoint selection.
enum class AttemptResult {
  Answered, ///< Billed, with a complete answer or after the caller left.
  Refused,  ///< It never ran.
  Failed,   ///< The endpoint failed or stalled, or the attempt was cancelled.
  Lost,     ///< Its agent, its link or the kept answer was lost.
  GivenUp,  ///< The router stopped waiting for its result.
};

/// An attempt prepared by this router has ended. Emitted once for every
/// onPrepared.
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
enum class DropReason {
  NotCurrent, ///< No request is waiting for this attempt.
  Repeated,   ///< All its bytes were received before.
  OutOfOrder, ///< Earlier bytes of the answer are missing.
};

/// Counters of one router since its start.
struct RequestCounters {
  /// Requests that ended with a complete, billed answer.
  std::uint64_t Answered_ = 0;
  /// Times that a request followed an attempt of another request.
  std::uint64_t Attached_ = 0;
  /// Writes of bill rows, which decide when not all claim holders confirmed
  /// the attempt to bill.
  std::uint64_t BillRowWrites_ = 0;
  std::array<std::uint64_t, 3> Ran_{};      ///< Failures by base::Ran.
  std::array<std::uint64_t, 3> Dropped_{};  ///< Messages by DropReason.
  std::array<std::uint64_t, 12> Retries_{}; ///< By base::RetryReason.
};

namespace detail {
struct RequestRecord;
struct TriedAttempt;
} // namespace detail

/// State machine for the requests of one router; performs no I/O.
///
/// The caller passes in events through the on... functions and performs the
/// actions that takeActions returns. Each submission ends with exactly one
/// FinishRequest or FailRequest.
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
  /// The StartAttempt of this attempt was not sent.
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

  /// The link to the agent works, for the first time or again.
  void onLinkUp(const base::Incarnation &Agent, base::TimePoint Now);
  /// The link to the agent is down.
  void onLinkDown(const base::Incarnation &Agent, base::TimePoint Now);
  /// The agent incarnation has ended and will not return.
  void onAgentGone(const base::Incarnation &Agent, base::TimePoint Now);
  void onClaimView(const ClaimView &View, base::TimePoint Now);

  void onTick(base::TimePoint Now);
  /// Returns when onTick must be called next, if a timer is set.
  std::optional<base::TimePoint> nextTimer() const;

  std::vector<RouterAction> takeActions();

  /// Returns the number of requests that have not ended.
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

  // Request records: timers, end and lookup.
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
  /// A multimap, because several requests may follow one attempt.
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
