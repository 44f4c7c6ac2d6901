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
  /// Mean time between transactions; bursts of `WriteBurst_` go at once.
  base::Duration WriteInterval_ = std::chrono::seconds(2);
  std::size_t WriteBurst_ = 4;
  /// Longest time a commit waits to be settled while the table answers.
  base::Duration SettleInterval_ = std::chrono::seconds(4);
  /// Time between lease writes when nothing else is written.
  base::Duration RenewInterval_ = std::chrono::seconds(10);
  /// Time between reads of a budget row that is nearly used up.
  base::Duration RefreshInterval_ = std::chrono::seconds(2);
  /// How long a reservation waits for others to return tokens.
  base::Duration MaxWait_ = std::chrono::seconds(5);
  /// First pause after the table failed; doubles up to `MaxRetryDelay_`.
  base::Duration InitialRetryDelay_ = std::chrono::milliseconds(250);
  base::Duration MaxRetryDelay_ = std::chrono::seconds(4);
};

enum class LedgerError { EmptyRouter, EmptyIncarnation, BadSetting };

/// Why a reservation was refused.
enum class ReserveError {
  UnknownBudget,
  DuplicateAttempt,
  BoundTooLarge,
  BudgetSpent,
  NoSliceTableUnreachable,
  Sealed,
  ShuttingDown,
};

std::string_view toString(ReserveError Error);
/// Returns the reason told to the caller.
base::RefusalReason refusalReason(ReserveError Error);

enum class ReserveOutcome {
  Reserved,
  Waiting, ///< A ReserveEnded action follows.
};

/// Run this transaction; answer with Ledger::onTransaction. One at a time.
struct Transact {
  base::Transaction Change_;
};

/// Read the row with this key; answer with Ledger::onRead.
struct ReadRow {
  std::string Key_;
};

/// A reservation that waited is made, or refused.
struct ReserveEnded {
  base::AttemptId Attempt_;
  std::optional<ReserveError> Error_;
};

/// The witness list in the table changed; see Ledger::isUsableWitness.
struct WitnessesChanged {};

/// The incarnation is revoked: everything it holds is void. A new ledger under
/// a new incarnation is needed.
struct Revoked {};

/// Orderly close is complete; nothing is held any more.
struct Closed {};

using LedgerAction = std::variant<Transact, ReadRow, ReserveEnded,
                                  WitnessesChanged, Revoked, Closed>;

/// What one router incarnation holds of each budget, and what it has promised
/// from it. Reserving and billing touch memory only; drawing, settling and
/// returning go through transactions, all written with the lease row so that a
/// revoked incarnation can write nothing.
class Ledger {
public:
  static base::Result<Ledger, LedgerError> create(LedgerSettings Settings);
  Ledger(Ledger &&) noexcept;
  Ledger &operator=(Ledger &&) noexcept;
  ~Ledger();

  /// Writes the lease row; reservations wait until it stands.
  void start(base::TimePoint Now);

  /// Makes a budget known or changes its policy.
  void addBudget(const base::BudgetId &Budget, Policy Sizing);
  /// Tells how many routers share the budgets.
  void setRouterCount(std::size_t Count);

  /// Sets aside \p Bound tokens for one attempt.
  base::Result<ReserveOutcome, ReserveError>
  reserve(const base::AttemptId &Attempt, const base::BudgetId &Budget,
          base::Tokens Bound, base::TimePoint Now);
  /// Lowers the bound of an attempt once more is known of it.
  void tighten(const base::AttemptId &Attempt, base::Tokens Bound);
  /// Ends a reservation or a wait for one; \p Generated tokens count as waste.
  /// The attempt must not be billed later: a non-idempotent one may be released
  /// only when its agent has dropped it or is gone for good, since sealing
  /// bills it once finished.
  void release(const base::AttemptId &Attempt, base::Tokens Generated);
  /// Ends a reservation whose commit \p Report contains.
  void bill(const base::AttemptId &Attempt, const WitnessReport &Report);
  /// Notes that no witness has confirmed the attempt's commit in time.
  void setUnconfirmed(const base::AttemptId &Attempt);
  /// Merges a report that ends no reservation. Reports of agents that are not
  /// in the witness list are ignored.
  void merge(const WitnessReport &Report);
  /// Forgets the id of an acknowledged commit.
  void forget(const base::SliceId &Slice, const base::AttemptId &Attempt);
  /// Returns the slice of an attempt's reservation, or nullptr.
  const base::SliceId *sliceOf(const base::AttemptId &Attempt) const;

  /// Asks for agents to be put on the witness list.
  void addWitness(WitnessEntry Agent);
  /// Takes an agent off the list once all it counted is settled. The caller
  /// vouches that no attempt of this router is open there.
  void retireWitness(const base::Incarnation &Agent);
  /// Whether the table lists the agent; only then may it get work.
  bool isUsableWitness(const base::Incarnation &Agent) const;
  const std::vector<WitnessEntry> &witnesses() const;

  /// Refuses new reservations and, once the last has ended, settles, returns
  /// every slice and deletes the lease row.
  void close();
  /// An agent refused work because the incarnation is sealed.
  void seal();

  /// Call every 100 ms, and after other events, then take the actions.
  void tick(base::TimePoint Now);
  void onTransaction(const base::TransactionResult &Result,
                     base::TimePoint Now);
  void onRead(const std::string &Key, const base::ReadResult &Result,
              base::TimePoint Now);
  std::vector<LedgerAction> takeActions();

  const base::Incarnation &incarnation() const;
  bool isSealed() const;
  /// Whether the last transaction or read failed to reach the table.
  bool tableUnreachable() const;
  /// Tokens that can be reserved of a budget without the table.
  base::Tokens available(const base::BudgetId &Budget) const;
  /// Sum of the bounds of the budget's open reservations.
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
