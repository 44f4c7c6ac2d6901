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
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Prepaid budgets, shared by routers that meter their own requests.
///
/// A router draws a slice of each account's budget from the table and spends
/// from it without further table access. About once a second it writes a
/// checkpoint: the tokens spent so far and a ceiling on what it may spend until
/// the next checkpoint. The ceiling is a burst plus a rate, enforced with the
/// router's own steady clock. When a router process ends, the next process on
/// the same host recovers the part of the slice above that ceiling.
namespace camphorwind::budget {

struct EscrowSettings {
  /// Name of the host's router, the same for successive processes.
  base::RouterId Router_;
  base::Incarnation Incarnation_;
  /// Address published to other routers in this router's heartbeat row. Empty
  /// if other routers cannot reach this one.
  std::string PeerAddress_;
  /// Address at which other routers can ask this one for loans, published in
  /// the same row. Empty if it lends nothing.
  std::string LoanAddress_;
  /// Start of this process. The previous process on the host has ended by
  /// then.
  base::TimePoint StartedAt_{};
  /// Minimum time between two routine checkpoints of an account that spends
  /// tokens. A refused request that the slice covers, but not the ceiling,
  /// causes a checkpoint earlier. A killed router strands what its ceiling
  /// allowed since the last checkpoint.
  base::Duration CheckpointInterval_ = std::chrono::milliseconds(500);
  /// Maximum checkpoint transactions per second of all routers together.
  double CheckpointsPerSecond_ = 100;
  /// Minimum time between two transactions of this router.
  base::Duration MinTransactionInterval_ = std::chrono::milliseconds(20);
  /// Lower bound of the number of routers, used until their heartbeats are
  /// read. At least 1.
  std::size_t ExpectedRouters_ = 1;
  /// Delay before the next transaction after one failed or got no reply.
  base::Duration RetryDelay_ = std::chrono::milliseconds(300);
};

enum class EscrowError { EmptyRouter, EmptyIncarnation, BadSetting };

/// Why tokens could not be reserved.
enum class EscrowRefusal {
  /// The unspent tokens of all routers and the table do not cover the bound.
  Spent,
  /// The bound exceeds what this router may spend now, but a transaction may
  /// draw enough tokens from the table or raise the ceiling. Retry after it.
  NotYetDrawn,
  /// The table cannot add enough tokens to this router's slice, but other
  /// routers hold some, or this escrow is closing. Retry after a few seconds,
  /// when other routers may have returned tokens.
  HeldByOthers,
  /// Only the reserve for urgent requests would cover the bound.
  KeptForUrgent,
  /// The table has not been read yet.
  NotLoaded,
  /// The bound exceeds what this router may spend now, and the table cannot be
  /// reached or is slow to answer.
  TableUnreachable,
};

/// Returns the name used in logs and metrics, such as "spent".
std::string_view toString(EscrowRefusal Refusal);

/// Token counts of one account, for logs and tests.
struct EscrowStatus {
  base::Tokens Prepaid_;
  /// Granted to all routers, as last read from the table.
  base::Tokens GrantedToAll_;
  /// Granted to this router.
  base::Tokens Granted_;
  /// Spent by this router, including what counts as spent by previous
  /// processes on the host.
  base::Tokens Used_;
  /// Reserved for requests in progress.
  base::Tokens Reserved_;
  /// Largest bound that reserve() would accept now.
  base::Tokens Available_;
  /// Demand per second at this router, which its target follows.
  base::Tokens Demand_;
  /// Demand per second at all routers, as far as this one has read it.
  base::Tokens DemandOfAll_;
};

/// Counts of the transactions that draw or return tokens.
struct EscrowGrantCounters {
  std::uint64_t Committed_ = 0;
  /// Had no effect, since another router changed a row first.
  std::uint64_t Conflicted_ = 0;
  /// Conflicts since the last that was committed.
  std::uint64_t ConflictsInARow_ = 0;
};

/// A router that may lend tokens of an account.
struct LenderCandidate {
  /// See EscrowSettings::LoanAddress_.
  std::string Address_;
  /// Estimate of what the router may spend now.
  base::Tokens Available_;
};

/// Progress after the table was restored from a copy.
enum class EscrowRecovery {
  /// The table was not restored, or all is written again.
  None,
  /// This router's slices are not in the table yet.
  Restating,
  /// Other routers' slices are not in the table yet; nothing can be drawn.
  AwaitingOthers,
};

/// Returns the name used in logs, such as "restating".
std::string_view toString(EscrowRecovery Recovery);

/// A slice taken over from the previous process on the same host.
struct EscrowTakeover {
  base::AccountId Account_;
  base::Tokens Granted_;
  /// Spent or reserved by the previous process as of its last checkpoint.
  base::Tokens Checkpointed_;
  /// Counted as spent by the previous process: the maximum that its checkpoint
  /// allowed. The tokens above `Checkpointed_` may not have been spent.
  base::Tokens CountedAsSpent_;
  /// Tokens among `Checkpointed_` that were only reserved.
  base::Tokens Reserved_;
  /// Tokens among `CountedAsSpent_` that the checkpoint allowed at once, as far
  /// as the slice covers them.
  base::Tokens Burst_;
  /// Time from the last checkpoint of the previous process to the start of this
  /// one.
  std::chrono::milliseconds CheckpointAge_{0};
};

/// The slices of one router process. Does no I/O: the caller reads the table
/// and runs transactions.
///
/// A table that is restored from a copy, as its era shows, has lost the latest
/// draws. Routers go on spending from the slices that they hold, write them
/// again, and draw nothing before all routers that ran at the restore have done
/// so. If one of them does not, what was undrawn in the copy counts as spent by
/// it. If none of them is left, half of what the copy shows as unspent counts
/// as spent.
class Escrow {
public:
  /// Key prefix of the rows with one router's slice of one account's budget.
  static constexpr std::string_view SlicePrefix = "slice/";
  /// Key prefix of the rows with the tokens granted to all routers, by account.
  static constexpr std::string_view TotalPrefix = "total/";
  /// Key prefix of the heartbeat rows of routers.
  static constexpr std::string_view RouterPrefix = "router/";

  /// Fails on an empty router or incarnation, and on a checkpoint interval,
  /// checkpoint rate or router count that is not positive.
  static base::Result<Escrow, EscrowError> create(EscrowSettings Settings);
  Escrow(Escrow &&) noexcept;
  Escrow &operator=(Escrow &&) noexcept;
  ~Escrow();

  /// Sets the prepaid tokens of a new or known account.
  void setBudget(const base::AccountId &Account, base::Tokens Prepaid);

  /// Reserves \p Bound tokens for one request. Every reservation must end with
  /// settle(). The last part of a budget is only drawn for \p Urgent requests.
  base::Result<void, EscrowRefusal> reserve(const base::AccountId &Account,
                                            base::Tokens Bound, bool Urgent,
                                            base::TimePoint Now);
  /// Counts a request that was refused for lack of tokens as demand of this
  /// router, so that its slice grows. Call it once for each request that other
  /// routers or the table may have had tokens for.
  void addRefused(const base::AccountId &Account, base::Tokens Bound,
                  base::TimePoint Now);
  /// Ends a reservation of \p Bound tokens, of which \p Spent were spent.
  void settle(const base::AccountId &Account, base::Tokens Bound,
              base::Tokens Spent, base::TimePoint Now);

  /// Reserves \p Bound tokens for a request of another router, which counts as
  /// that router's demand. Every loan must end with settleLent(). If only the
  /// ceiling is too low, the next transaction raises it, for a later request.
  bool lend(const base::AccountId &Account, base::Tokens Bound,
            base::TimePoint Now);
  void settleLent(const base::AccountId &Account, base::Tokens Bound,
                  base::Tokens Spent);
  /// Counts \p Bound tokens that another router has lent as demand of this one,
  /// so that its slice grows. Every loan must end with settleBorrowed().
  void addBorrowed(const base::AccountId &Account, base::Tokens Bound,
                   base::TimePoint Now);
  void settleBorrowed(const base::AccountId &Account, base::Tokens Bound,
                      base::Tokens Spent, base::TimePoint Now);

  /// Returns the time until this router may spend \p Bound more tokens if the
  /// table stays unreachable and no request comes in between; nothing if its
  /// slice does not cover them.
  std::optional<std::chrono::milliseconds>
  timeUntilCovered(const base::AccountId &Account, base::Tokens Bound,
                   base::TimePoint Now) const;

  /// Whether it is worth waiting for the next transaction before asking others:
  /// only the ceiling keeps this router from spending \p Bound more tokens, and
  /// the table answers. Always false in small fleets, where ceilings are wide.
  bool awaitsCeiling(const base::AccountId &Account, base::Tokens Bound,
                     base::TimePoint Now) const;

  /// Whether the caller should read all rows now and pass them to onRows().
  bool needsRows(base::TimePoint Now) const;
  /// Takes the result of reading all rows. The read was sent at \p AskedAt and
  /// its answer arrived at \p Now.
  void onRows(const base::ReadResult &Read, base::TimePoint AskedAt,
              base::TimePoint Now);
  /// Returns the transaction to run now, if any. The caller passes its result
  /// to onTransaction(). A transaction with an unknown outcome is returned
  /// again until its outcome is known.
  std::optional<base::Transaction> nextTransaction(base::TimePoint Now);
  void onTransaction(const base::TransactionResult &Result,
                     base::TimePoint Now);

  /// Returns the slices taken over since the last call.
  std::vector<EscrowTakeover> takeTakeovers();

  /// Refuses further reservations and returns all tokens that are neither spent
  /// nor reserved.
  void close();
  /// Whether no unspent and unreserved tokens are left to return.
  bool closed() const;

  /// Whether the rows were read at least once.
  bool loaded() const;
  EscrowRecovery recovery() const;
  /// Era of the table, 0 if it states none.
  std::uint64_t era() const;
  /// Addresses of other routers with a recent heartbeat. The order differs
  /// between routers, so that they do not all prefer the same peer.
  const std::vector<std::string> &peers() const;
  /// Other routers that may be able to lend at least \p Bound tokens, as of the
  /// last read of the rows.
  std::vector<LenderCandidate> lenders(const base::AccountId &Account,
                                       base::Tokens Bound,
                                       base::TimePoint Now) const;
  /// Whether there are so many routers that an even part of a slice may be
  /// smaller than one request.
  bool isLargeFleet() const;
  /// Number of routers with a recent heartbeat, including this one; at least
  /// `EscrowSettings::ExpectedRouters_`. After a time without reads of the
  /// table, routers keep counting for as long as a heartbeat is awaited.
  std::size_t routerCount() const;
  /// Number of these routers whose name sorts before this one's.
  std::size_t routerIndex() const;
  /// When the rows were last read; unset before the first time.
  std::optional<base::TimePoint> countedAt() const;
  /// Sets a text that other routers read with this one's heartbeat. A change is
  /// written at once.
  void setNote(std::string Note);
  /// Texts of the counted routers by name, also of this one if its heartbeat is
  /// recent, as of the last read of the rows.
  const std::map<std::string, std::string> &notes() const;
  /// Lower bound of the table's clock, which never decreases.
  std::chrono::milliseconds tableTime(base::TimePoint Now) const;
  EscrowStatus status(const base::AccountId &Account,
                      base::TimePoint Now) const;
  const EscrowGrantCounters &grantCounters() const;

private:
  struct Impl;
  explicit Escrow(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> Impl_;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_ESCROW_H
