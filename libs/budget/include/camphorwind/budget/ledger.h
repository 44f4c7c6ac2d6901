#ifndef CAMPHORWIND_BUDGET_LEDGER_H
#define CAMPHORWIND_BUDGET_LEDGER_H

#include "camphorwind/base/reasons.h"
#include "camphorwind/base/result.h"
#include "camphorwind/base/table.h"
#include "camphorwind/base/time.h"
#include "camphorwind/budget/counters.h"
#include "camphorwind/budget/policy.h"
#include "camphorwind/budget/rows.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorwind::budget {

struct LedgerSettings {
  base::RouterId Router_;
  base::Incarnation Incarnation_;
  /// Mean time between transactions. Zero for no limit.
  base::Duration WriteInterval_ = std::chrono::seconds(2);
  /// Maximum number of transactions in a burst. At least 1.
  std::size_t WriteBurst_ = 4;
  /// Time after which billed tokens are due to be written to the slice row.
  base::Duration SettleInterval_ = std::chrono::seconds(4);
  /// Time between writes of the lease row when nothing else is written.
  base::Duration RenewInterval_ = std::chrono::seconds(10);
  /// Time between reads of the row of a budget of which less than a fifth is
  /// not granted to slices.
  base::Duration RefreshInterval_ = std::chrono::seconds(2);
  /// Time that a reservation waits for other routers to return tokens. It waits
  /// longer while the budget row could cover it.
  base::Duration MaxWait_ = std::chrono::seconds(5);
  /// Delay after the first table failure. Doubles with each further failure, up
  /// to `MaxRetryDelay_`.
  base::Duration InitialRetryDelay_ = std::chrono::milliseconds(250);
  base::Duration MaxRetryDelay_ = std::chrono::seconds(4);
};

enum class LedgerError { EmptyRouter, EmptyIncarnation, BadSetting };

/// Why a reservation was refused.
enum class ReserveError {
  UnknownBudget,
  /// The attempt already has a reservation or waits for one.
  DuplicateAttempt,
  /// The bound exceeds the largest one that the budget's policy allows.
  BoundTooLarge,
  /// This reservation, or recently one with no larger bound, waited for tokens
  /// without success.
  BudgetSpent,
  /// The slice does not cover the bound and the table cannot be reached.
  NoSliceTableUnreachable,
  /// The incarnation is revoked.
  Sealed,
  /// The ledger is closing.
  ShuttingDown,
};

/// Returns the name used in logs and metrics, such as "budget_spent".
std::string_view toString(ReserveError Error);
/// Returns the refusal reason reported to the caller.
base::RefusalReason refusalReason(ReserveError Error);

enum class ReserveOutcome {
  Reserved,
  Waiting, ///< Waits for tokens; a ReserveEnded action reports the outcome.
};

/// Asks the caller to run a transaction and pass its result to onTransaction().
/// Only one transaction runs at a time.
struct Transact {
  base::Transaction Change_;
};

/// Asks the caller to read the row with this key and pass it to onRead().
struct ReadRow {
  std::string Key_;
};

/// A waiting reservation was made or, if `Error_` is set, refused.
struct ReserveEnded {
  base::AttemptId Attempt_;
  std::optional<ReserveError> Error_;
};

/// The witness list in the table changed; see Ledger::isUsableWitness().
struct WitnessesChanged {};

/// The incarnation is revoked, and with it all its slices and reservations. The
/// caller needs a new ledger with a new incarnation.
struct Revoked {};

/// close() is complete: all slices are returned and the lease row is deleted.
struct Closed {};

using LedgerAction = std::variant<Transact, ReadRow, ReserveEnded,
                                  WitnessesChanged, Revoked, Closed>;

/// Slices and reservations of one router incarnation.
///
/// Reserving and billing change memory only. Drawing, settling and returning
/// tokens are transactions. Each of them also writes the lease row, so that a
/// revoked incarnation cannot write anything.
class Ledger {
public:
  /// Fails on an empty router or incarnation, a negative write or settle
  /// interval, a retry delay that is not positive, and a write burst of 0.
  static base::Result<Ledger, LedgerError> create(LedgerSettings Settings);
  Ledger(Ledger &&) noexcept;
  Ledger &operator=(Ledger &&) noexcept;
  ~Ledger();

  /// Starts writing the lease row. Reservations wait until it is committed.
  void start(base::TimePoint Now);

  /// Adds a budget, or changes the policy of a known one.
  void addBudget(const base::BudgetId &Budget, Policy Sizing);
  /// Sets the number of routers that share the budgets, at least 1.
  void setRouterCount(std::size_t Count);

  /// Reserves \p Bound tokens for one attempt.
  base::Result<ReserveOutcome, ReserveError>
  reserve(const base::AttemptId &Attempt, const base::BudgetId &Budget,
          base::Tokens Bound, base::TimePoint Now);
  /// Lowers the bound of a reservation. A higher bound is ignored.
  void tighten(const base::AttemptId &Attempt, base::Tokens Bound);
  /// Ends a reservation or the wait for one without billing it. \p Generated
  /// tokens are counted as wasted. The attempt must not be billed later. A
  /// non-idempotent attempt may be released only when its agent has dropped it
  /// or is gone for good, because sealing bills it if it has finished.
  void release(const base::AttemptId &Attempt, base::Tokens Generated);
  /// Ends the reservation of an attempt whose commit is in \p Report, and bills
  /// the report. Without a reservation, only merges the report.
  void bill(const base::AttemptId &Attempt, const WitnessReport &Report);
  /// Records that no witness confirmed the attempt's commit in time.
  void setUnconfirmed(const base::AttemptId &Attempt);
  /// Bills a report without ending a reservation. Ignores reports of agents
  /// that are not on the witness list.
  void merge(const WitnessReport &Report);
  /// Drops the attempt id of an acknowledged commit from the slice.
  void forget(const base::SliceId &Slice, const base::AttemptId &Attempt);
  /// Returns the slice of an attempt's reservation, or nullptr if it has none.
  const base::SliceId *sliceOf(const base::AttemptId &Attempt) const;

  /// Requests that an agent be put on the witness list, unless it was retired.
  void addWitness(WitnessEntry Agent);
  /// Removes an agent from the witness list once all commits that it counted
  /// are settled. The caller guarantees that no attempt of this router is open
  /// at the agent.
  void retireWitness(const base::Incarnation &Agent);
  /// Whether the agent is on the witness list in the table and not retired.
  /// Attempts may be sent only to such agents.
  bool isUsableWitness(const base::Incarnation &Agent) const;
  /// Returns the witness list as last written to the table.
  const std::vector<WitnessEntry> &witnesses() const;

  /// Refuses new reservations. Once the last reservation has ended, settles and
  /// returns every slice and deletes the lease row.
  void close();
  /// Call when an agent refused work because the incarnation is sealed. Refuses
  /// all waiting and later reservations.
  void seal();

  /// Call every 100 ms and after other events, then call takeActions().
  void tick(base::TimePoint Now);
  void onTransaction(const base::TransactionResult &Result,
                     base::TimePoint Now);
  void onRead(const std::string &Key, const base::ReadResult &Result,
              base::TimePoint Now);
  /// Returns the actions that are due since the last call.
  std::vector<LedgerAction> takeActions();

  const base::Incarnation &incarnation() const;
  bool isSealed() const;
  /// Whether at least two transactions or reads in a row failed to reach the
  /// table.
  bool tableUnreachable() const;
  /// Tokens of a budget that can be reserved without table access.
  base::Tokens available(const base::BudgetId &Budget) const;
  /// Sum of the bounds of a budget's open reservations.
  base::Tokens reserved(const base::BudgetId &Budget) const;
  const LedgerCounters &counters() const;
  LedgerGauges gauges() const;

private:
  struct Impl;
  explicit Ledger(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> Impl_;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_LEDGER_H
