#include "camphorwind/config/acceptance.h"

#include "camphorwind/config/parse.h"

#include <algorithm>
#include <utility>

namespace camphorwind::config {

namespace {

constexpr base::Duration RetryDelay = std::chrono::milliseconds(200);

/// Returns the row \p Key of a read, as not existing if it was not found.
base::Row rowOf(const base::ReadResult &Read, std::string_view Key) {
  for (const base::Row &Found : Read.Rows_)
    if (Found.Key_ == Key)
      return Found;
  return {std::string(Key), 0, {}};
}

/// Returns the record of a row, or one of version 0 if there is no row.
base::Result<RevisionRecord, RecordError> recordOf(const base::Row &Found) {
  if (Found.Version_ == 0)
    return RevisionRecord();
  return decodeRecord(Found.Value_);
}

} // namespace

base::Result<Acceptance, Faults> Acceptance::create(Proposal Wanted) {
  auto Parsed = parse(Wanted.Text_, Wanted.FileName_);
  if (!Parsed)
    return base::failure(std::move(Parsed).error());
  RevisionRecord Record;
  Record.Revision_.Version_ = Wanted.Seen_.Version_ + 1;
  Record.Revision_.Hash_ = hashOfText(Wanted.Text_);
  Record.Operator_ = Wanted.Operator_;
  Record.AcceptedAt_ = Wanted.At_;
  Record.Nonce_ = Wanted.Nonce_;
  return Acceptance(std::move(Wanted), std::move(Record));
}

Acceptance::Acceptance(Proposal Wanted, RevisionRecord Record)
    : Wanted_(std::move(Wanted)), Record_(std::move(Record)) {}

std::optional<AcceptanceAction> Acceptance::start(base::TimePoint Now) {
  Deadline_ = Now + Wanted_.Patience_;
  return enter(Step::ReadCurrent);
}

std::optional<AcceptanceAction> Acceptance::enter(Step Next) {
  Step_ = Next;
  switch (Next) {
  case Step::ReadCurrent:
  case Step::ReadBack:
    return ReadRow{std::string(CurrentKey)};
  case Step::GetSeenText:
    return GetObject{textObject(Wanted_.Seen_)};
  case Step::PutText:
    return PutObject{textObject(Record_.Revision_), Wanted_.Text_};
  case Step::PutPatch:
    return PutObject{patchObject(Record_.Revision_),
                     base::pack(makePatch(SeenText_, Wanted_.Text_))};
  case Step::Commit:
    return Transact{transaction()};
  case Step::ReadHistory:
    return ReadRow{historyKey(Record_.Revision_.Version_)};
  case Step::GetWinnerText:
    return GetObject{textObject(Winner_->Revision_)};
  }
  return std::nullopt;
}

std::optional<AcceptanceAction> Acceptance::retry(base::TimePoint Now,
                                                  Step Next) {
  if (Now + RetryDelay > Deadline_) {
    if (InDoubt_)
      return end(Undecided{Record_.Revision_});
    return end(NotAccepted());
  }
  Step_ = Next;
  return WaitUntil{Now + RetryDelay};
}

std::optional<AcceptanceAction> Acceptance::end(AcceptanceOutcome Outcome) {
  Outcome_ = std::move(Outcome);
  return std::nullopt;
}

std::optional<AcceptanceAction> Acceptance::onTimer(base::TimePoint) {
  return enter(Step_);
}

std::optional<AcceptanceAction>
Acceptance::onRow(base::TimePoint Now, const base::ReadResult &Read) {
  if (Read.Status_ != base::ReadStatus::Ok)
    return retry(Now, Step_);
  switch (Step_) {
  case Step::ReadCurrent:
    return judgeCurrent(Now, rowOf(Read, CurrentKey));
  case Step::ReadBack:
    return judgeReadBack(Now, rowOf(Read, CurrentKey));
  default:
    return judgeHistory(Read);
  }
}

std::optional<AcceptanceAction>
Acceptance::judgeCurrent(base::TimePoint Now, const base::Row &Current) {
  auto Record = recordOf(Current);
  if (!Record)
    return retry(Now, Step_);
  if (Record.value().Revision_ != Wanted_.Seen_)
    return lose(Record.value());
  SeenRow_ = Current.Version_;
  return enter(Wanted_.Seen_.Version_ == 0 ? Step::PutText : Step::GetSeenText);
}

std::optional<AcceptanceAction>
Acceptance::onObject(base::TimePoint Now, std::optional<std::string> Bytes) {
  if (Step_ == Step::GetSeenText) {
    // Without the text seen there is no patch; readers then take the whole.
    if (!Bytes && Now + RetryDelay <= Deadline_)
      return retry(Now, Step_);
    SeenText_ = std::move(Bytes).value_or(std::string());
    return enter(Winner_ ? Step::GetWinnerText : Step::PutText);
  }
  Conflict Lost{*Winner_, std::move(SeenText_), {}};
  if (Bytes && !Lost.SeenText_.empty())
    Lost.Change_ = makePatch(Lost.SeenText_, *Bytes);
  return end(std::move(Lost));
}

std::optional<AcceptanceAction> Acceptance::onStored(base::TimePoint Now,
                                                     bool Stored) {
  if (!Stored)
    return retry(Now, Step_);
  bool HasPatch = Step_ == Step::PutText && !SeenText_.empty();
  return enter(HasPatch ? Step::PutPatch : Step::Commit);
}

base::Transaction Acceptance::transaction() const {
  std::string Row = encode(Record_);
  std::uint64_t Version = Record_.Revision_.Version_;
  base::Transaction Change;
  Change.Conditions_ = {{std::string(CurrentKey), SeenRow_}};
  Change.Writes_ = {{std::string(CurrentKey), Row}, {historyKey(Version), Row}};
  if (Version > HistoryLength)
    Change.Writes_.push_back({historyKey(Version - HistoryLength), {}});
  return Change;
}

std::optional<AcceptanceAction>
Acceptance::onTransaction(base::TimePoint Now,
                          const base::TransactionResult &Result) {
  switch (Result.Status_) {
  case base::TransactionStatus::Committed:
    return end(Accepted{Record_});
  case base::TransactionStatus::Conflict:
    return enter(Step::ReadBack);
  case base::TransactionStatus::NotSent:
  case base::TransactionStatus::Unavailable:
    return retry(Now, Step::Commit);
  case base::TransactionStatus::Unknown:
    InDoubt_ = true;
    return retry(Now, Step::ReadBack);
  }
  return std::nullopt;
}

std::optional<AcceptanceAction>
Acceptance::judgeReadBack(base::TimePoint Now, const base::Row &Current) {
  // The same row version: sending again is safe, since of all copies of the
  // transaction at most one finds its condition true.
  if (Current.Version_ == SeenRow_)
    return InDoubt_ ? enter(Step::Commit) : retry(Now, Step::Commit);
  auto Record = recordOf(Current);
  if (!Record)
    return retry(Now, Step_);
  if (Record.value().Nonce_ == Record_.Nonce_)
    return end(Accepted{Record_});
  // The row has moved on: no copy of the transaction can take effect now, but
  // one may have done so before the row's present writer.
  Winner_ = Record.value();
  if (InDoubt_)
    return enter(Step::ReadHistory);
  return lose(Record.value());
}

std::optional<AcceptanceAction>
Acceptance::judgeHistory(const base::ReadResult &Read) {
  auto Record = recordOf(rowOf(Read, historyKey(Record_.Revision_.Version_)));
  if (Record && Record.value().Nonce_ == Record_.Nonce_)
    return end(Accepted{Record_});
  return lose(Record && Record.value().Revision_.Version_ != 0 ? Record.value()
                                                               : *Winner_);
}

std::optional<AcceptanceAction> Acceptance::lose(const RevisionRecord &Winner) {
  Winner_ = Winner;
  InDoubt_ = false;
  bool Comparable =
      Wanted_.Seen_.Version_ != 0 && Winner.Revision_.Version_ != 0;
  if (!Comparable)
    return end(Conflict{Winner, {}, {}});
  return enter(SeenText_.empty() ? Step::GetSeenText : Step::GetWinnerText);
}

} // namespace camphorwind::config
