#ifndef CAMPHORWIND_REQUEST_DETAIL_RECORD_H
#define CAMPHORWIND_REQUEST_DETAIL_RECORD_H

#include "camphorwind/request/requests.h"

namespace camphorwind::request::detail {

/// What a request is waiting for.
enum class Phase {
  Claiming,            ///< The claim holders.
  WaitingToRetryClaim, ///< Time, before asking the claim holders again.
  Preparing,           ///< An endpoint and a reservation.
  WritingIntent,       ///< The intent row.
  ReadingIntent,       ///< The intent row, after a lost reply.
  Running,             ///< The attempt.
  Confirming,  ///< The claim holders' word that the attempt may be billed.
  WritingBill, ///< The bill row.
  ReadingBill, ///< The bill row, after a lost reply.
  Committing,  ///< The attempt being billed.
  Releasing,   ///< The claim holders' word that no other request asked.
};

/// What is known about one attempt's effect.
enum class Evidence { NeverRan, MayHaveRun, Ran };

/// An attempt that this request started or followed.
struct TriedAttempt {
  AttemptRef Ref_;
  base::EndpointId Endpoint_;
  bool StartedByRequest_ = false;
  bool Closed_ = false;
  Evidence Evidence_ = Evidence::MayHaveRun;
};

/// A claim holder and its answers to the question now open.
struct Vote {
  base::Incarnation Holder_;
  std::optional<ClaimState> Claim_;
  std::optional<AttemptRef> Attempt_;
  bool Confirmed_ = false;
  std::optional<bool> Released_;
  /// No answer is expected any more.
  bool Silent_ = false;
};

/// Everything known about one request.
struct RequestRecord {
  std::uint64_t RecordNumber_ = 0;
  Submission Submitted_;
  ClaimKey Key_;
  base::TimePoint Deadline_;
  /// When the phase's own wait ends.
  base::TimePoint PhaseEndsAt_ = base::TimePoint::max();
  /// Earliest timer that is set for this record.
  base::TimePoint TimerAt_ = base::TimePoint::max();

  /// The state of the views from which the holders were taken.
  std::uint64_t ViewGeneration_ = 0;
  std::vector<Holders> HolderSets_;
  std::vector<Vote> Votes_;
  std::size_t ClaimRetries_ = 0;

  std::optional<PreparedAttempt> Prepared_;
  std::vector<TriedAttempt> Tried_;
  /// Index in Tried_; meaningful while Running and later.
  std::size_t Current_ = 0;
  std::size_t AttemptsStarted_ = 0;
  std::size_t AttemptSwitches_ = 0;
  /// Id of the attempt that is being prepared or was prepared last.
  base::AttemptId NextAttempt_;
  AttemptRef PreparedRef_;

  std::optional<AnswerHead> Head_;
  std::string Undelivered_;
  std::uint64_t Received_ = 0;
  std::uint64_t Delivered_ = 0;
  Usage Usage_;
  base::TimePoint LastHeard_;
  base::TimePoint LastQuery_;
  std::optional<base::TimePoint> LinkDownSince_;

  base::RowVersion IntentVersion_ = 0;
  std::size_t TableFailures_ = 0;

  Phase Phase_ = Phase::Preparing;
  base::RefusalReason FailReason_ = base::RefusalReason::Internal;

  /// An earlier request with this key may have run.
  bool EarlierMayHaveRun_ = false;
  bool FollowsConfirmed_ = false;
  bool HeadDelivered_ = false;
  /// Holds the answer back until it is certain which attempt is billed.
  bool BufferAnswer_ = false;
  bool CallerGone_ = false;
  bool IntentWritten_ = false;

  bool keyed() const { return !Submitted_.IdempotencyKey_.empty(); }
  bool nonIdempotent() const { return Submitted_.NonIdempotent_; }
  bool deliveryStarted() const { return HeadDelivered_ || Delivered_ > 0; }
  TriedAttempt &current() { return Tried_[Current_]; }
};

/// Returns the table key of the row that names the only attempt which may run.
std::string intentRowKey(const ClaimKey &Key);
/// Returns the table key of the row that names the only attempt to be billed.
std::string billRowKey(const ClaimKey &Key);

/// The value of both kinds of row.
std::string encodeAttemptRow(const AttemptRef &Attempt);
/// Returns nothing when \p Value is no such row.
std::optional<AttemptRef> decodeAttemptRow(const std::string &Value);

} // namespace camphorwind::request::detail

#endif // CAMPHORWIND_REQUEST_DETAIL_RECORD_H
