#ifndef CAMPHORWIND_CONFIG_ACCEPTANCE_H
#define CAMPHORWIND_CONFIG_ACCEPTANCE_H

#include "camphorwind/base/result.h"
#include "camphorwind/base/table.h"
#include "camphorwind/base/time.h"
#include "camphorwind/config/diff.h"
#include "camphorwind/config/fault.h"
#include "camphorwind/config/revision.h"

#include <optional>
#include <string>
#include <variant>

/// Accepts a configuration by compare-and-swap from the version that its
/// operator saw. The texts are stored first, under names that contain version
/// and hash, so that whoever reads the row finds them; a lost race leaves only
/// an object that no row names.
namespace camphorwind::config {

/// What an operator wants to put in force.
struct Proposal {
  std::string Text_;
  /// Only names the file in faults.
  std::string FileName_;
  /// The revision that the operator edited; version 0 if there was none.
  Revision Seen_;
  std::string Operator_;
  /// By the operator's clock.
  std::chrono::sys_seconds At_{};
  /// Unique for ever; see base::uniqueText.
  std::string Nonce_;
  /// How long to try while the platform does not answer.
  base::Duration Patience_ = std::chrono::seconds(30);
};

/// What the driver has to do next; exactly one event answers each action.
struct ReadRow {
  std::string Key_;
};
struct GetObject {
  std::string Name_;
};
struct PutObject {
  std::string Name_;
  std::string Bytes_;
};
struct Transact {
  base::Transaction Transaction_;
};
/// Call Acceptance::onTimer at this time.
struct WaitUntil {
  base::TimePoint At_;
};
using AcceptanceAction =
    std::variant<ReadRow, GetObject, PutObject, Transact, WaitUntil>;

/// The proposal is in force, or was until a later one followed.
struct Accepted {
  RevisionRecord Record_;
};
/// Another revision than the one seen is in force; nothing was changed.
struct Conflict {
  /// Who won.
  RevisionRecord Winner_;
  /// What changed since the revision seen; empty if a text is gone.
  std::string SeenText_;
  Patch Change_;
};
/// The platform did not answer; nothing was changed, and nothing will be.
struct NotAccepted {};
/// The platform did not answer, and a write may have taken effect or still do.
struct Undecided {
  /// The revision to look for with `config history`.
  Revision Proposed_;
};
using AcceptanceOutcome =
    std::variant<Accepted, Conflict, NotAccepted, Undecided>;

/// One acceptance, from the check of the text to its outcome.
class Acceptance {
public:
  /// Checks the text; fails with every fault, before anything is written.
  static base::Result<Acceptance, Faults> create(Proposal Wanted);

  /// Begins. Every function returns what to do next; nothing once there is an
  /// outcome.
  std::optional<AcceptanceAction> start(base::TimePoint Now);
  std::optional<AcceptanceAction> onRow(base::TimePoint Now,
                                        const base::ReadResult &Read);
  /// \p Bytes is empty if the object could not be had.
  std::optional<AcceptanceAction> onObject(base::TimePoint Now,
                                           std::optional<std::string> Bytes);
  std::optional<AcceptanceAction> onStored(base::TimePoint Now, bool Stored);
  std::optional<AcceptanceAction>
  onTransaction(base::TimePoint Now, const base::TransactionResult &Result);
  std::optional<AcceptanceAction> onTimer(base::TimePoint Now);

  const std::optional<AcceptanceOutcome> &outcome() const { return Outcome_; }

private:
  enum class Step {
    ReadCurrent,
    GetSeenText,
    PutText,
    PutPatch,
    Commit,
    ReadBack,
    ReadHistory,
    GetWinnerText,
  };

  Acceptance(Proposal Wanted, RevisionRecord Record);
  std::optional<AcceptanceAction> enter(Step Next);
  std::optional<AcceptanceAction> retry(base::TimePoint Now, Step Next);
  std::optional<AcceptanceAction> end(AcceptanceOutcome Outcome);
  std::optional<AcceptanceAction> judgeCurrent(base::TimePoint Now,
                                               const base::Row &Current);
  std::optional<AcceptanceAction> judgeReadBack(base::TimePoint Now,
                                                const base::Row &Current);
  std::optional<AcceptanceAction> judgeHistory(const base::ReadResult &Read);
  std::optional<AcceptanceAction> lose(const RevisionRecord &Winner);
  base::Transaction transaction() const;

  Proposal Wanted_;
  RevisionRecord Record_;
  Step Step_ = Step::ReadCurrent;
  base::TimePoint Deadline_{};
  /// Version of the row that named the revision seen.
  base::RowVersion SeenRow_ = 0;
  std::string SeenText_;
  /// Whether a transaction was sent whose end is not known.
  bool InDoubt_ = false;
  std::optional<RevisionRecord> Winner_;
  std::optional<AcceptanceOutcome> Outcome_;
};

} // namespace camphorwind::config

#endif // CAMPHORWIND_CONFIG_ACCEPTANCE_H
