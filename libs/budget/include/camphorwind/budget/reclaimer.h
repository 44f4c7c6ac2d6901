#ifndef CAMPHORWIND_BUDGET_RECLAIMER_H
#define CAMPHORWIND_BUDGET_RECLAIMER_H

#include "camphorwind/base/table.h"
#include "camphorwind/base/time.h"
#include "camphorwind/budget/counters.h"
#include "camphorwind/budget/ledger.h"
#include "camphorwind/budget/messages.h"
#include "camphorwind/budget/rows.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorwind::budget {

struct ReclaimerSettings {
  /// Time to wait for the witnesses' liveness replies before the lease is
  /// revoked.
  base::Duration LivenessTimeout_ = std::chrono::seconds(2);
  /// Initial delay before a witness that has not sealed the router is asked
  /// again; doubles up to `MaxRetryDelay_`.
  base::Duration RetryDelay_ = std::chrono::seconds(1);
  base::Duration MaxRetryDelay_ = std::chrono::seconds(30);
  /// Delay before a failed table operation is retried.
  base::Duration TableRetryDelay_ = std::chrono::seconds(1);
};

/// Send `Request_` to the agent at `Witness_.Address_`.
struct AskLiveness {
  WitnessEntry Witness_;
  LivenessRequest Request_;
};

/// Send `Request_` to the agent at `Witness_.Address_`.
struct AskSeal {
  WitnessEntry Witness_;
  SealRequest Request_;
};

/// Read all rows whose key starts with the prefix.
struct ScanRows {
  std::string Prefix_;
};

enum class ReclaimOutcome {
  /// A witness hears the router, or the router has written its lease row since
  /// the reclaimer read it; the router keeps its slices.
  StillAlive,
  /// Every slice is returned and the lease row is deleted.
  Reclaimed,
  /// There is no lease row: another reclaimer has finished, or the router has
  /// shut down cleanly.
  NoLease,
};

/// The reclaimer has ended; no further action follows.
struct ReclaimEnded {
  base::Incarnation Router_;
  ReclaimOutcome Outcome_ = ReclaimOutcome::NoLease;
};

std::string_view toString(ReclaimOutcome Outcome);

using ReclaimerAction = std::variant<Transact, ReadRow, ScanRows, AskLiveness,
                                     AskSeal, ReclaimEnded>;

/// Returns the tokens that one dead or paused router incarnation holds to their
/// budgets, without relying on synchronized clocks: asks the witnesses whether
/// the router is alive, revokes its lease row, seals the incarnation at every
/// witness, settles the commits they recorded and returns the remaining tokens.
/// Any number of reclaimers may work on the same incarnation.
class Reclaimer {
public:
  Reclaimer(ReclaimerSettings Settings, base::Incarnation Router,
            ReclaimerCounters &Counters);

  void start(base::TimePoint Now);
  /// Call every 100 ms, then take the actions.
  void tick(base::TimePoint Now);
  void onTransaction(const base::TransactionResult &Result,
                     base::TimePoint Now);
  /// Answers ReadRow and ScanRows.
  void onRead(const base::ReadResult &Result, base::TimePoint Now);
  void onLivenessReply(const LivenessReply &Reply, base::TimePoint Now);
  void onSealReply(const SealReply &Reply, base::TimePoint Now);
  std::vector<ReclaimerAction> takeActions();

  const base::Incarnation &router() const { return Router_; }
  bool ended() const { return Stage_ == Stage::Ended; }
  /// Witnesses on the lease row as last read. Once the lease is revoked, the
  /// return of the slices waits for them.
  const std::vector<WitnessEntry> &pendingWitnesses() const {
    return Lease_.Witnesses_;
  }
  /// Tokens held by slices that are not returned yet.
  base::Tokens stranded() const { return Stranded_; }

private:
  enum class Stage {
    Idle,
    ReadLease,
    AskWitnesses,
    Revoke,
    Seal,
    ScanSlices,
    Settle,
    ReadBudget,
    Return,
    Unlist,
    DeleteLease,
    Ended,
  };
  struct Slice {
    base::Row TableRow_;
    /// `TableRow_` decoded, with the reports of the sealed witnesses merged.
    SliceRow Row_;
    bool Changed_ = false;
  };

  void enter(Stage Next, base::TimePoint Now);
  /// Enters the current stage again after `TableRetryDelay_`.
  void pause(base::TimePoint Now);
  void end(ReclaimOutcome Outcome);
  void onLease(const std::vector<base::Row> &Rows, base::TimePoint Now);
  void onSlices(const std::vector<base::Row> &Rows, base::TimePoint Now);
  void onBudget(const std::vector<base::Row> &Rows, base::TimePoint Now);
  void mergeReports(Slice &Target) const;
  void writeLease(LeaseState State, std::vector<WitnessEntry> Witnesses);
  void settle();
  bool allSealed() const;

  ReclaimerSettings Settings_;
  base::Incarnation Router_;
  ReclaimerCounters *Counters_;
  Stage Stage_ = Stage::Idle;
  /// Whether `Stage_` is to be entered again at `PauseUntil_`.
  bool Paused_ = false;
  base::TimePoint PauseUntil_{};
  base::TimePoint AskedAt_{};
  base::Duration RetryDelay_{};
  /// The lease row as last read.
  LeaseRow Lease_;
  base::RowVersion LeaseVersion_ = 0;
  /// Witnesses that replied that they do not hear the router.
  std::set<base::Incarnation> NotHeard_;
  /// Final replies of the witnesses that have sealed the router.
  std::map<base::Incarnation, SealReply> Sealed_;
  std::vector<Slice> Slices_;
  base::Tokens Stranded_;
  /// Tokens that the transaction in flight returns.
  base::Tokens Returning_;
  std::vector<ReclaimerAction> Actions_;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_RECLAIMER_H
