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
  /// How long to wait for witnesses to say whether they hear the router.
  base::Duration LivenessTimeout_ = std::chrono::seconds(2);
  /// First time between two asks of a witness that has not answered; doubles
  /// up to `MaxRetryDelay_`.
  base::Duration RetryDelay_ = std::chrono::seconds(1);
  base::Duration MaxRetryDelay_ = std::chrono::seconds(30);
  /// Pause after the table failed.
  base::Duration TableRetryDelay_ = std::chrono::seconds(1);
};

/// Send to the agent at this address.
struct AskLiveness {
  WitnessEntry Witness_;
  LivenessRequest Request_;
};

struct AskSeal {
  WitnessEntry Witness_;
  SealRequest Request_;
};

/// Read all rows whose key starts with the prefix.
struct ScanRows {
  std::string Prefix_;
};

enum class ReclaimOutcome {
  StillAlive, ///< A witness hears the router; it keeps its slices.
  Reclaimed,  ///< Every slice is returned, the lease row deleted.
  NoLease,    ///< Someone else was faster, or the router closed in order.
};

struct ReclaimEnded {
  base::Incarnation Router_;
  ReclaimOutcome Outcome_ = ReclaimOutcome::NoLease;
};

std::string_view toString(ReclaimOutcome Outcome);

using ReclaimerAction = std::variant<Transact, ReadRow, ScanRows, AskLiveness,
                                     AskSeal, ReclaimEnded>;

/// Takes back what one dead or paused router incarnation holds, without any
/// agreement on clocks: asks the witnesses, revokes the lease row, seals the
/// incarnation at every witness, settles what they counted and returns the
/// rest. Any number of reclaimers may work on the same incarnation.
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
  /// Witnesses that hold up the return, once the lease is revoked.
  const std::vector<WitnessEntry> &unsealedWitnesses() const {
    return Lease_.Witnesses_;
  }
  /// Tokens held by the slices that wait.
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
    base::Row Found_;
    SliceRow Row_;
    bool Changed_ = false;
  };

  void enter(Stage Next, base::TimePoint Now);
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
  /// Whether `Stage_` is to be entered again once `PauseUntil_` has passed.
  bool Paused_ = false;
  base::TimePoint PauseUntil_{};
  base::TimePoint AskedAt_{};
  base::Duration RetryDelay_{};
  /// The lease row as last read.
  LeaseRow Lease_;
  base::RowVersion LeaseVersion_ = 0;
  std::set<base::Incarnation> NotHeard_;
  std::map<base::Incarnation, SealReply> Sealed_;
  std::vector<Slice> Slices_;
  base::Tokens Stranded_;
  base::Tokens Returning_;
  std::vector<ReclaimerAction> Actions_;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_RECLAIMER_H
