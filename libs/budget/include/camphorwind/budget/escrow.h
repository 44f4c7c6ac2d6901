#ifndef CAMPHORWIND_BUDGET_ESCROW_H
#define CAMPHORWIND_BUDGET_ESCROW_H

#include "camphorwind/base/ids.h"
#include "camphorwind/base/result.h"
#include "camphorwind/base/table.h"
#include "camphorwind/base/time.h"
#include "camphorwind/base/tokens.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Prepaid budgets of routers that meter their own requests.
///
/// A router draws slices of each account's budget from the table and spends
/// from them without asking. About once a second it writes down what it has
/// spent (a checkpoint) together with a ceiling on what it may spend until the
/// next one: a burst, and a rate that its own steady clock enforces. When its
/// process is gone, its successor on the same host gets back what the ceiling
/// rules out to have been spent.
namespace camphorwind::budget {

struct EscrowSettings {
  /// Name of the host's router; processes that follow each other share it.
  base::RouterId Router_;
  base::Incarnation Incarnation_;
  /// Published with this router's sign of life; empty for none.
  std::string PeerAddress_;
  /// When this process started: the one before it was gone by then.
  base::TimePoint StartedAt_{};
  /// Shortest time between two checkpoints while anything is spent. A killed
  /// router strands what it might have spent since the last one.
  base::Duration CheckpointInterval_ = std::chrono::milliseconds(500);
  /// Transactions a second that all routers' checkpoints may take together.
  double CheckpointsPerSecond_ = 100;
  /// Shortest time between two transactions.
  base::Duration MinTransactionInterval_ = std::chrono::milliseconds(20);
  /// Routers that are there at least, before they have been heard of.
  std::size_t ExpectedRouters_ = 1;
  /// Pause after the table failed.
  base::Duration RetryDelay_ = std::chrono::milliseconds(300);
};

enum class EscrowError { EmptyRouter, EmptyIncarnation, BadSetting };

/// Why tokens could not be set aside.
enum class EscrowRefusal {
  Spent,         ///< What all routers hold and the rest do not cover the bound.
  NotYetDrawn,   ///< The table has enough; worth another try in a moment.
  HeldByOthers,  ///< Only others hold enough; worth another try in seconds.
  KeptForUrgent, ///< What is left is kept for urgent requests.
  NotLoaded,     ///< The table has not been read yet.
  TableUnreachable, ///< The slice is used up and the table can't be reached.
};

/// Returns the name used in logs and metrics, such as "spent".
std::string_view toString(EscrowRefusal Refusal);

/// One account's figures for logs and tests, in tokens.
struct EscrowStatus {
  base::Tokens Prepaid_;
  /// Granted to all routers, as last seen.
  base::Tokens GrantedToAll_;
  /// Granted to this router.
  base::Tokens Granted_;
  /// Spent by this router, and set aside for requests in progress.
  base::Tokens Used_;
  base::Tokens Reserved_;
  /// What reserve() could set aside at once.
  base::Tokens Available_;
};

/// A slice taken over from the process before this one on the same host.
struct EscrowTakeover {
  base::AccountId Account_;
  base::Tokens Granted_;
  /// Spent by that process's last checkpoint.
  base::Tokens Checkpointed_;
  /// What counts as spent by it; the difference may never have been.
  base::Tokens CountedAsSpent_;
  /// From its last checkpoint to the start of this process.
  std::chrono::milliseconds CheckpointAge_{0};
};

/// The slices of one router process. No call does I/O.
class Escrow {
public:
  /// Prefixes of the rows that escrows keep.
  static constexpr std::string_view SlicePrefix = "slice/";
  static constexpr std::string_view TotalPrefix = "total/";
  static constexpr std::string_view RouterPrefix = "router/";

  static base::Result<Escrow, EscrowError> create(EscrowSettings Settings);
  Escrow(Escrow &&) noexcept;
  Escrow &operator=(Escrow &&) noexcept;
  ~Escrow();

  /// Makes an account's budget known, or changes it.
  void setBudget(const base::AccountId &Account, base::Tokens Prepaid);

  /// Sets tokens aside for one request; every reservation ends with settle().
  /// The last part of a budget is kept for requests that are \p Urgent.
  base::Result<void, EscrowRefusal> reserve(const base::AccountId &Account,
                                            base::Tokens Bound, bool Urgent,
                                            base::TimePoint Now);
  /// Ends a reservation of \p Bound, of which \p Spent was used.
  void settle(const base::AccountId &Account, base::Tokens Bound,
              base::Tokens Spent, base::TimePoint Now);

  /// Whether all rows should be read now; answer with onRows().
  bool needsRows(base::TimePoint Now) const;
  /// Takes every row of the table; \p AskedAt is when the read was sent and
  /// \p Now when its answer arrived.
  void onRows(const base::ReadResult &Read, base::TimePoint AskedAt,
              base::TimePoint Now);
  /// Returns the transaction to run now, if any; answer with onTransaction().
  std::optional<base::Transaction> nextTransaction(base::TimePoint Now);
  void onTransaction(const base::TransactionResult &Result,
                     base::TimePoint Now);

  /// Slices taken over since the last call.
  std::vector<EscrowTakeover> takeTakeovers();

  /// Draws no more; returns everything once nothing is set aside.
  void close();
  /// Everything was returned, or there was nothing to return.
  bool closed() const;

  bool loaded() const;
  /// Published addresses of other routers that wrote lately. Each router gets
  /// them in another order.
  const std::vector<std::string> &peers() const;
  /// Routers that wrote lately, this one included; at least 1.
  std::size_t routerCount() const;
  EscrowStatus status(const base::AccountId &Account,
                      base::TimePoint Now) const;

private:
  struct Impl;
  explicit Escrow(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> Impl_;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_ESCROW_H
