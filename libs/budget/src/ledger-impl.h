#ifndef CAMPHORWIND_BUDGET_SRC_LEDGER_IMPL_H
#define CAMPHORWIND_BUDGET_SRC_LEDGER_IMPL_H

#include "camphorwind/budget/ledger.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace camphorwind::budget {
namespace detail {

/// A request for a reservation that waits for tokens.
struct Waiter {
  base::AttemptId Attempt_;
  base::Tokens Bound_;
  base::TimePoint Since_;
};

/// Exponentially smoothed rate of billed tokens.
class UseRate {
public:
  void add(base::Tokens Used, base::TimePoint Now);
  double perSecond(base::TimePoint Now) const;

private:
  double decayedSum(base::TimePoint Now) const;

  double Sum_ = 0;
  base::TimePoint FirstAt_{};
  base::TimePoint LastAt_{};
};

/// What this router knows and holds of one budget.
struct BudgetState {
  base::BudgetId Budget_;
  Policy Sizing_;
  base::SliceId Slice_;
  bool Active_ = false;

  /// The budget row as last read or written.
  std::optional<BudgetRow> Row_;
  base::RowVersion RowVersion_ = 0;
  base::TimePoint RowSeenAt_{};
  bool ReadInProgress_ = false;
  base::TimePoint ReadStartedAt_{};

  /// Version of the slice row; 0 if there is none.
  base::RowVersion SliceVersion_ = 0;
  base::Tokens Granted_;
  /// Billed tokens, including commits that are not yet settled.
  Tally Tally_;
  /// Billed tokens as last written to the slice row.
  base::Tokens Settled_;
  /// Whether billed tokens remain to be written to the slice row.
  bool Dirty_ = false;
  base::TimePoint DirtySince_{};

  /// Sum of the bounds of open reservations.
  base::Tokens Reserved_;
  /// Part of `Reserved_` whose commit no witness confirmed in time.
  base::Tokens Unconfirmed_;
  /// Tokens of returns that are sent or whose outcome is unknown. They are not
  /// available.
  base::Tokens Returning_;
  base::TimePoint LastUseAt_{};
  UseRate Rate_;

  std::deque<Waiter> Waiters_;
  /// Sum of the bounds in `Waiters_`.
  base::Tokens WaitingTokens_;
  /// Until this time, reservations of at least `RefusedBound_` tokens are
  /// refused at once if the slice does not cover them.
  base::TimePoint RefuseUntil_{};
  /// Bound of the last reservation that waited without success.
  base::Tokens RefusedBound_;

  /// Tokens of the slice that can be reserved now.
  base::Tokens available() const {
    return Granted_ - Tally_.total() - Reserved_ - Returning_;
  }
};

/// Tokens reserved for one attempt.
struct Reservation {
  BudgetState *Budget_ = nullptr;
  base::Tokens Bound_;
  bool Unconfirmed_ = false;
};

/// Changes that one transaction makes to one budget.
struct BudgetChange {
  BudgetState *Budget_ = nullptr;
  base::Tokens Draw_;
  base::Tokens Return_;
  /// Whether the transaction writes the billed tokens to the slice row.
  bool Settles_ = false;
  /// Whether the transaction deletes the slice row.
  bool Deletes_ = false;
  /// Billed tokens as of the written slice row.
  base::Tokens Total_;
  /// The budget row as written; empty if the transaction does not write it.
  std::optional<BudgetRow> Row_;

  bool empty() const {
    return Draw_ == base::Tokens() && Return_ == base::Tokens() && !Settles_ &&
           !Deletes_;
  }
};

/// A transaction that is planned or sent, or whose outcome is unknown. Each one
/// writes the lease row.
struct LeaseTransaction {
  std::uint64_t Number_ = 0;
  std::vector<BudgetChange> Changes_;
  std::vector<WitnessEntry> Witnesses_;
  bool DeletesLease_ = false;
};

/// How urgent a planned transaction is.
enum class Urgency {
  None,
  Due,    ///< Runs once the write interval has passed.
  Urgent, ///< Runs as soon as the write allowance permits.
};

} // namespace detail

struct Ledger::Impl {
  enum class Phase { Idle, Starting, Live, Closing, Closed, Sealed };

  LedgerSettings Settings_;
  Phase Phase_ = Phase::Idle;
  base::TimePoint Now_{};
  std::size_t Routers_ = 1;

  std::unordered_map<base::BudgetId, std::unique_ptr<detail::BudgetState>>
      Budgets_;
  std::unordered_map<base::SliceId, detail::BudgetState *> BudgetsBySlice_;
  std::unordered_map<std::string, detail::BudgetState *> BudgetsByRowKey_;
  std::vector<detail::BudgetState *> ActiveBudgets_;
  std::unordered_map<base::AttemptId, detail::Reservation> Reservations_;
  std::unordered_map<base::AttemptId, detail::BudgetState *> WaitingBudgets_;

  /// Version of the lease row; 0 until the first write is confirmed.
  base::RowVersion LeaseVersion_ = 0;
  /// Number of the last transaction known to be committed.
  std::uint64_t LastCommittedNumber_ = 0;
  std::uint64_t NextNumber_ = 1;
  /// Witness list in the lease row.
  std::vector<WitnessEntry> ListedWitnesses_;
  /// Agents in `ListedWitnesses_`.
  std::unordered_set<base::Incarnation> ListedAgents_;
  /// Witnesses that the next transaction lists.
  std::vector<WitnessEntry> RequestedWitnesses_;
  /// Agents passed to retireWitness(). They are never listed again.
  std::unordered_set<base::Incarnation> RetiredAgents_;

  std::optional<detail::LeaseTransaction> InFlight_;
  /// Transactions with an unknown outcome. They all require the same version of
  /// the lease row, so once a transaction commits, the others cannot.
  std::vector<detail::LeaseTransaction> Undecided_;
  /// Whether the lease row must be read before the next transaction, to learn
  /// the outcome of the last one.
  bool MustReadLease_ = false;
  bool ReadingLease_ = false;

  /// Transactions that may be sent now, at most `WriteBurst_`; grows by one per
  /// `WriteInterval_`.
  double WriteAllowance_ = 0;
  base::TimePoint WriteAllowanceAt_{};
  base::TimePoint LastWriteAt_{};
  base::TimePoint LastScanAt_{};
  /// No transaction or read is started before this time.
  base::TimePoint PausedUntil_{};
  /// Delay after the last table failure; zero after a success.
  base::Duration RetryDelay_{};
  /// Upper bound of the pause after the last conflict; zero after a commit.
  base::Duration ConflictBackoff_{};
  unsigned ConsecutiveFailures_ = 0;
  /// Whether the next tick() scans without waiting for the scan interval.
  bool ScanRequested_ = false;

  std::vector<LedgerAction> Actions_;
  LedgerCounters Counters_;

  // Reservations.
  detail::BudgetState *find(const base::BudgetId &Budget);
  void activate(detail::BudgetState &Budget);
  void reserveNow(detail::BudgetState &Budget, const base::AttemptId &Attempt,
                  base::Tokens Bound);
  void endReservation(const base::AttemptId &Attempt);
  void endWait(const detail::Waiter &Waiter, std::optional<ReserveError> Error);
  bool isOverdue(const detail::BudgetState &Budget,
                 const detail::Waiter &Waiter) const;
  void serveWaiters(detail::BudgetState &Budget);
  void refuseWaiters(detail::BudgetState &Budget, ReserveError Error);
  void countRefusal(ReserveError Error);
  void mergeInto(detail::BudgetState &Budget, const WitnessReport &Report);
  /// Returns the input of the sizing policy.
  SizingInput sizingInput(const detail::BudgetState &Budget) const;

  // Transactions.
  void scan();
  void refreshRow(detail::BudgetState &Budget);
  bool needsRead(const detail::BudgetState &Budget) const;
  void plan();
  detail::Urgency planBudget(detail::BudgetState &Budget,
                             detail::BudgetChange &Change);
  detail::Urgency planBudgets(detail::LeaseTransaction &Next, bool &AllSettled);
  detail::Urgency planDraw(const detail::BudgetState &Budget,
                           const SizingInput &Input,
                           detail::BudgetChange &Change);
  detail::Urgency planReturn(const detail::BudgetState &Budget,
                             const SizingInput &Input,
                             detail::BudgetChange &Change);
  /// Whether the ledger is closing and has no reservations left.
  bool isFinishing() const;
  /// Marks the budget dirty if billed tokens are not yet settled.
  void markUnsettled(detail::BudgetState &Budget);
  /// Returns the witness list to write. Retired agents stay listed unless the
  /// transaction settles all commits.
  std::vector<WitnessEntry> nextWitnesses(bool AllSettled) const;
  /// Refills the write allowance and returns whether a transaction of this
  /// urgency may be sent now.
  bool admitWrite(detail::Urgency Need);
  void send(detail::LeaseTransaction Next);
  /// Adds the conditions and writes of \p Change to \p Target.
  void addSliceChange(detail::BudgetChange &Change, base::Transaction &Target);
  /// Applies a committed transaction to the local state.
  void apply(const detail::LeaseTransaction &Done, base::RowVersion Version);
  /// Undoes the local effects of a transaction that did not commit.
  void discard(const detail::LeaseTransaction &Discarded);
  void onConflict(const base::TransactionResult &Result);
  /// Compares the lease row with what this ledger wrote, to decide transactions
  /// with an unknown outcome and to detect a revoked incarnation.
  void onLease(const base::Row &Found);
  void onBudgetRow(detail::BudgetState &Budget, const base::Row &Found);
  void onTableFailure();
  void onTableSuccess();
  void seal();
  /// Whether the table counts as unreachable.
  bool isUnreachable() const;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_SRC_LEDGER_IMPL_H
