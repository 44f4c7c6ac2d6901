#ifndef CAMPHORWIND_REQUEST_DETAIL_RECORD_H
#define CAMPHORWIND_REQUEST_DETAIL_RECORD_H

#include "camphorwind/request/requests.h"

namespace camphorwind::request::detail {

/// The step of processing that a request is in.
enum class Phase {
  Claiming,            ///< Waits for ClaimReply messages.
  WaitingToRetryClaim, ///< Waits before it sends ClaimRequest again.
  Preparing,           ///< Waits for an endpoint and a reservation.
  WritingIntent,       ///< Waits for the write of the intent row.
  ReadingIntent,       ///< Reads the intent row after a conflict or lost reply.
  Running,             ///< Waits for the answer of the current attempt.
  Confirming,          ///< Waits for ClaimConfirmReply messages.
  WritingBill,         ///< Waits for the write of the bill row.
  ReadingBill,         ///< Reads the bill row after a conflict or lost reply.
  Committing,          ///< Waits until the current attempt is billed.
  Releasing,           ///< Waits for ClaimReleaseReply messages.
};

/// Whether an attempt reached its endpoint, as far as is known.
enum class Evidence { NeverRan, MayHaveRun, Ran };

/// An attempt that this request started or followed.
struct TriedAttempt {
  AttemptRef Ref_;
  base::EndpointId Endpoint_;
  /// This request started the attempt; otherwise it follows the attempt of
  /// another request.
  bool StartedByRequest_ = false;
  bool Closed_ = false;
  Evidence Evidence_ = Evidence::MayHaveRun;
};

/// A claim holder and its replies in the current phase.
struct Vote {
  base::Incarnation Holder_;
  std::optional<ClaimState> Claim_;
  std::optional<AttemptRef> Attempt_;
  bool Confirmed_ = false;
  /// Whether the holder removed the claim; absent before its ClaimReleaseReply.
  std::optional<bool> Released_;
  /// No usable reply is expected from the holder in the current phase.
  bool Silent_ = false;
};

/// State of one request.
struct RequestRecord {
  std::uint64_t RecordNumber_ = 0;
  Submission Submitted_;
  ClaimKey Key_;
  base::TimePoint Deadline_;
  /// When the timeout or delay of the current phase ends.
  base::TimePoint PhaseEndsAt_ = base::TimePoint::max();
  /// Time of the earliest timer that is set for this record.
  base::TimePoint TimerAt_ = base::TimePoint::max();

  /// ClaimViews::generation() at the time HolderSets_ was computed.
  std::uint64_t ViewGeneration_ = 0;
  std::vector<Holders> HolderSets_;
  std::vector<Vote> Votes_;
  std::size_t ClaimRetries_ = 0;

  std::optional<PreparedAttempt> Prepared_;
  std::vector<TriedAttempt> Tried_;
  /// Index in Tried_ of the current attempt; valid from phase Running on.
  std::size_t Current_ = 0;
  std::size_t AttemptsStarted_ = 0;
  /// How often the request switched to the attempt that is to be billed.
  std::size_t AttemptSwitches_ = 0;
  /// Id of the attempt being prepared or, otherwise, last prepared.
  base::AttemptId NextAttempt_;
  /// The attempt in Prepared_ or, after its dispatch, the last one sent.
  AttemptRef PreparedRef_;

  std::optional<AnswerHead> Head_;
  std::string Undelivered_;
  /// Bytes of the answer received, without repetitions.
  std::uint64_t Received_ = 0;
  std::uint64_t Delivered_ = 0;
  Usage Usage_;
  base::TimePoint LastHeard_;
  base::TimePoint LastQuery_;
  std::optional<base::TimePoint> LinkDownSince_;

  /// Version that the next write of the intent row expects; 0 if no row exists.
  base::RowVersion IntentVersion_ = 0;
  std::size_t TableFailures_ = 0;

  Phase Phase_ = Phase::Preparing;
  base::RefusalReason FailReason_ = base::RefusalReason::Internal;

  /// Another request with the same key may have run.
  bool EarlierMayHaveRun_ = false;
  /// The current attempt is the confirmed one of another request, so this
  /// request must not start an attempt of its own.
  bool FollowsConfirmed_ = false;
  bool HeadDelivered_ = false;
  /// Deliver nothing before it is certain which attempt is billed.
  bool BufferAnswer_ = false;
  bool CallerGone_ = false;
  bool IntentWritten_ = false;

  bool keyed() const { return !Submitted_.IdempotencyKey_.empty(); }
  bool nonIdempotent() const { return Submitted_.NonIdempotent_; }
  bool deliveryStarted() const { return HeadDelivered_ || Delivered_ > 0; }
  TriedAttempt &current() { return Tried_[Current_]; }
};

/// Returns the table key of the intent row, which names the only attempt that
/// may run.
std::string intentRowKey(const ClaimKey &Key);
/// Returns the table key of the bill row, which names the only attempt to be
/// billed.
std::string billRowKey(const ClaimKey &Key);

/// Returns the JSON value of an intent row or bill row.
std::string encodeAttemptRow(const AttemptRef &Attempt);
/// Returns nothing when \p Value is not a valid intent or bill row.
std::optional<AttemptRef> decodeAttemptRow(const std::string &Value);

} // namespace camphorwind::request::detail

#endif // CAMPHORWIND_REQUEST_DETAIL_RECORD_H
