#ifndef CAMPHORWIND_BUDGET_SRC_LEDGER_IMPL_H
#define CAMPHORWIND_BUDGET_SRC_LEDGER_IMPL_H

#include "camphorwind/budget/ledger.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace camphorwind::budget {
namespace detail {

/// A reservation that waits for tokens.
struct Waiter {
  base::AttemptId Attempt_;
  base::Tokens Bound_;
  base::TimePoint Since_;
};

/// Exponentially smoothed rate of use.
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

  /// The budget row as last seen.
  std::optional<BudgetRow> Row_;
  base::RowVersion RowVersion_ = 0;
  base::TimePoint RowSeenAt_{};
  bool ReadInProgress_ = false;
  base::TimePoint ReadStartedAt_{};

  /// The slice, as the table has it, with commits not yet settled.
  base::RowVersion SliceVersion_ = 0;
  base::Tokens Granted_;
  Tally Tally_;
  base::Tokens Settled_;
  bool Dirty_ = false;
  base::TimePoint DirtySince_{};

  base::Tokens Reserved_;
  base::Tokens Unconfirmed_;
  /// Returns on their way or in doubt; not available.
  base::Tokens Returning_;
  base::TimePoint LastUseAt_{};
  UseRate Rate_;

  std::deque<Waiter> Waiters_;
  base::Tokens WaitingTokens_;
  /// A wait for at least `RefusedBound_` tokens ended in vain; until then
  /// further ones are refused at once.
  base::TimePoint RefuseUntil_{};
  base::Tokens RefusedBound_;

  base::Tokens available() const {
    return Granted_ - Tally_.total() - Reserved_ - Returning_;
  }
};

struct Reservation {
  BudgetState *Budget_ = nullptr;
  base::Tokens Bound_;
  bool Unconfirmed_ = false;
};

/// What one transaction does to one budget.
struct BudgetChange {
  BudgetState *Budget_ = nullptr;
  base::Tokens Draw_;
  base::Tokens Return_;
  bool Settles_ = false;
  bool Deletes_ = false;
  /// Billed total that the written slice row shows.
  base::Tokens Total_;
  /// The budget row as written, if the change writes it.
  std::optional<BudgetRow> Row_;

  bool empty() const {
    return Draw_ == base::Tokens() && Return_ == base::Tokens() && !Settles_ &&
           !Deletes_;
  }
};

/// A transaction that is sent or whose fate is unknown.
struct LeaseTransaction {
  std::uint64_t Number_ = 0;
  std::vector<BudgetChange> Changes_;
  std::vector<WitnessEntry> Witnesses_;
  bool DeletesLease_ = false;
};

/// How pressing a planned transaction is.
enum class Urgency {
  None,
  Due,    ///< Goes once the write interval has passed.
  Urgent, ///< A request waits for it.
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

  base::RowVersion LeaseVersion_ = 0;
  std::uint64_t LeaseNumber_ = 0;
  std::uint64_t NextNumber_ = 1;
  std::vector<WitnessEntry> ListedWitnesses_;
  std::unordered_set<base::Incarnation> ListedAgents_;
  std::vector<WitnessEntry> RequestedWitnesses_;
  /// Agents gone for good; never listed again.
  std::unordered_set<base::Incarnation> RetiredAgents_;

  std::optional<detail::LeaseTransaction> InFlight_;
  /// Transactions that no reply decided; the next one to commit rules them
  /// out, since all require the same version of the lease row.
  std::vector<detail::LeaseTransaction> Undecided_;
  bool MustReadLease_ = false;
  bool ReadingLease_ = false;

  double WriteAllowance_ = 0;
  base::TimePoint WriteAllowanceAt_{};
  base::TimePoint LastWriteAt_{};
  base::TimePoint LastScanAt_{};
  base::TimePoint PausedUntil_{};
  base::Duration RetryDelay_{};
  base::Duration ConflictBackoff_{};
  unsigned ConsecutiveFailures_ = 0;
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
  /// Whether the orderly close waits for nothing but the table.
  bool isFinishing() const;
  void markUnsettled(detail::BudgetState &Budget);
  std::vector<WitnessEntry> nextWitnesses(bool AllSettled) const;
  bool admitWrite(detail::Urgency Need);
  void send(detail::LeaseTransaction Next);
  void addSliceChange(detail::BudgetChange &Change, base::Transaction &Target);
  void apply(const detail::LeaseTransaction &Done, base::RowVersion Version);
  void discard(const detail::LeaseTransaction &Discarded);
  void onConflict(const base::TransactionResult &Result);
  /// Compares the lease row with what this ledger wrote.
  void onLease(const base::Row &Found);
  void onBudgetRow(detail::BudgetState &Budget, const base::Row &Found);
  void onTableFailure();
  void onTableSuccess();
  void seal();
  bool isUnreachable() const;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_SRC_LEDGER_IMPL_H
