#include "camphorwind/request/detail/record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace camphorwind::request {

using detail::Evidence;
using detail::Phase;

namespace detail {

std::string intentRowKey(const ClaimKey &Key) {
  return "intent/" + Key.Account_.str() + '/' + Key.Key_;
}

std::string billRowKey(const ClaimKey &Key) {
  return "bill/" + Key.Account_.str() + '/' + Key.Key_;
}

std::string encodeAttemptRow(const AttemptRef &Attempt) {
  return nlohmann::json{{"attempt", Attempt.Attempt_.str()},
                        {"agent", Attempt.Agent_.str()},
                        {"ticketed_at_us", Attempt.TicketGrantedAt_.count()}}
      .dump();
}

std::optional<AttemptRef> decodeAttemptRow(const std::string &Value) {
  auto Parsed = nlohmann::json::parse(Value, nullptr, false);
  if (!Parsed.is_object())
    return std::nullopt;
  auto Attempt = Parsed.find("attempt");
  auto Agent = Parsed.find("agent");
  auto TicketedAt = Parsed.find("ticketed_at_us");
  if (Attempt == Parsed.end() || !Attempt->is_string() ||
      Agent == Parsed.end() || !Agent->is_string() ||
      TicketedAt == Parsed.end() || !TicketedAt->is_number_integer())
    return std::nullopt;
  return AttemptRef{base::AttemptId(Attempt->get<std::string>()),
                    base::Incarnation(Agent->get<std::string>()),
                    std::chrono::microseconds(TicketedAt->get<std::int64_t>())};
}

} // namespace detail

void Requests::writeIntent(Record &R) {
  R.Phase_ = Phase::WritingIntent;
  std::string Key = detail::intentRowKey(R.Key_);
  Actions_.emplace_back(
      WriteTable{R.Submitted_.Request_,
                 {{{Key, R.IntentVersion_}},
                  {{Key, detail::encodeAttemptRow(R.PreparedRef_)}}}});
}

void Requests::writeBill(Record &R) {
  R.Phase_ = Phase::WritingBill;
  ++Counters_.BillRowWrites_;
  std::string Key = detail::billRowKey(R.Key_);
  Actions_.emplace_back(WriteTable{
      R.Submitted_.Request_,
      {{{Key, 0}}, {{Key, detail::encodeAttemptRow(R.current().Ref_)}}}});
}

void Requests::readRow(Record &R) {
  bool Intent =
      R.Phase_ == Phase::WritingIntent || R.Phase_ == Phase::ReadingIntent;
  R.Phase_ = Intent ? Phase::ReadingIntent : Phase::ReadingBill;
  Actions_.emplace_back(
      ReadTable{R.Submitted_.Request_, Intent ? detail::intentRowKey(R.Key_)
                                              : detail::billRowKey(R.Key_)});
}

void Requests::onWriteResult(const base::RequestId &Request,
                             const base::TransactionResult &Result,
                             base::TimePoint Now) {
  Record *R = find(Request);
  if (R == nullptr)
    return;
  bool Intent = R->Phase_ == Phase::WritingIntent;
  if (!Intent && R->Phase_ != Phase::WritingBill)
    return;
  switch (Result.Status_) {
  case base::TransactionStatus::Committed:
    if (!Intent)
      return commit(*R, Now);
    R->IntentVersion_ = Result.Version_;
    R->IntentWritten_ = true;
    return dispatch(*R, Now);
  case base::TransactionStatus::Conflict:
    ++Counters_
          .Retries_[static_cast<std::size_t>(base::RetryReason::TableConflict)];
    if (Result.Current_.empty())
      return readRow(*R);
    return onCurrentRow(*R, Result.Current_.front(), Now);
  case base::TransactionStatus::NotSent:
  case base::TransactionStatus::Unavailable:
    return scheduleTableRetry(*R, base::RetryReason::TableUnavailable, Now);
  case base::TransactionStatus::Unknown:
    ++Counters_
          .Retries_[static_cast<std::size_t>(base::RetryReason::ReplyLost)];
    return readRow(*R);
  }
}

void Requests::onReadResult(const base::RequestId &Request,
                            const base::ReadResult &Result,
                            base::TimePoint Now) {
  Record *R = find(Request);
  if (R == nullptr ||
      (R->Phase_ != Phase::ReadingIntent && R->Phase_ != Phase::ReadingBill))
    return;
  if (Result.Status_ == base::ReadStatus::Unavailable)
    return scheduleTableRetry(*R, base::RetryReason::TableUnavailable, Now);
  onCurrentRow(*R, Result.Rows_.empty() ? base::Row{} : Result.Rows_.front(),
               Now);
}

void Requests::onCurrentRow(Record &R, const base::Row &Found,
                            base::TimePoint Now) {
  bool Intent =
      R.Phase_ == Phase::WritingIntent || R.Phase_ == Phase::ReadingIntent;
  if (Found.Version_ == 0) {
    R.IntentVersion_ = 0;
    return Intent ? writeIntent(R) : writeBill(R);
  }
  auto Named = detail::decodeAttemptRow(Found.Value_);
  if (!Named)
    return fail(R, base::RefusalReason::Internal, Now);
  if (Intent)
    return onIntentRow(R, *Named, Found.Version_, Now);
  if (*Named == R.current().Ref_)
    return commit(R, Now);
  switchToWinner(R, *Named, Now);
}

void Requests::onIntentRow(Record &R, const AttemptRef &Named,
                           base::RowVersion Version, base::TimePoint Now) {
  R.IntentVersion_ = Version;
  if (Named == R.PreparedRef_) {
    R.IntentWritten_ = true;
    return dispatch(R, Now);
  }
  bool ProvedNotRun =
      std::any_of(R.Tried_.begin(), R.Tried_.end(), [&](const Tried &A) {
        return A.Ref_ == Named && A.Evidence_ == Evidence::NeverRan;
      });
  if (ProvedNotRun)
    return writeIntent(R);
  // Another request with this key wrote the row first, and its attempt may have
  // run.
  R.EarlierMayHaveRun_ = true;
  R.IntentWritten_ = false;
  releasePrepared(R);
  followAttempt(R, Named, false, Now);
}

void Requests::scheduleTableRetry(Record &R, base::RetryReason Reason,
                                  base::TimePoint Now) {
  ++Counters_.Retries_[static_cast<std::size_t>(Reason)];
  bool Intent =
      R.Phase_ == Phase::WritingIntent || R.Phase_ == Phase::ReadingIntent;
  if (Intent && ++R.TableFailures_ >= Settings_.MaxTableFailures_)
    return fail(R, base::RefusalReason::IntentTableUnreachable, Now);
  R.PhaseEndsAt_ = Now + Settings_.TableRetryDelay_;
  wakeAt(R, R.PhaseEndsAt_);
}

void Requests::retryTable(Record &R) {
  switch (R.Phase_) {
  case Phase::WritingIntent:
    return writeIntent(R);
  case Phase::WritingBill:
    return writeBill(R);
  case Phase::ReadingIntent:
  case Phase::ReadingBill:
    return readRow(R);
  default:
    return;
  }
}

} // namespace camphorwind::request
