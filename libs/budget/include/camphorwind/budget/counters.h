#ifndef CAMPHORWIND_BUDGET_COUNTERS_H
#define CAMPHORWIND_BUDGET_COUNTERS_H

#include "camphorwind/base/tokens.h"

#include <cstdint>

/// Counters and gauges that the daemons publish as metrics. Counters only grow.
namespace camphorwind::budget {

struct LedgerCounters {
  std::uint64_t Transactions_ = 0;
  std::uint64_t Conflicts_ = 0;
  /// Transactions whose reply was lost, so that their result is unknown.
  std::uint64_t RepliesLost_ = 0;
  /// Draws from a budget into a slice that took effect.
  std::uint64_t Grants_ = 0;
  /// Returns from a slice to its budget that took effect.
  std::uint64_t Returns_ = 0;
  /// Budget rows that could not be decoded.
  std::uint64_t BadRows_ = 0;
  std::uint64_t RefusedBudgetSpent_ = 0;
  std::uint64_t RefusedTableUnreachable_ = 0;
  std::uint64_t RefusedBoundTooLarge_ = 0;
  std::uint64_t RefusedSealed_ = 0;
  std::uint64_t RefusedShuttingDown_ = 0;
  /// Tokens generated for attempts that were never committed.
  base::Tokens Wasted_;
  /// Tokens billed through this router.
  base::Tokens Billed_;
};

/// Sums over all slices of a router, in tokens.
struct LedgerGauges {
  base::Tokens Granted_;
  /// Tokens granted and not yet billed.
  base::Tokens Held_;
  base::Tokens Reserved_;
  /// Part of `Reserved_` whose commit no witness has confirmed in time.
  base::Tokens Unconfirmed_;
  /// Tokens billed and not yet written to the table.
  base::Tokens Unsettled_;
};

struct CommitterCounters {
  std::uint64_t Commits_ = 0;
  /// Commits sent again because no reply arrived.
  std::uint64_t Repeats_ = 0;
  /// Fallback witnesses asked, summed over all commits.
  std::uint64_t FallbackCommits_ = 0;
  /// Commits whose caller's last event was withheld.
  std::uint64_t Withheld_ = 0;
  std::uint64_t RefusedSealed_ = 0;
};

struct WitnessCounters {
  std::uint64_t Commits_ = 0;
  /// Requests whose commit was recorded already.
  std::uint64_t Repeats_ = 0;
  std::uint64_t FallbackCommits_ = 0;
  std::uint64_t RefusedSealed_ = 0;
  std::uint64_t RefusedUnknown_ = 0;
  std::uint64_t RefusedOverBound_ = 0;
  std::uint64_t SealedRouters_ = 0;
};

struct ReclaimerCounters {
  std::uint64_t Started_ = 0;
  /// Reclaims that ended because the router is alive.
  std::uint64_t StillAlive_ = 0;
  /// Leases revoked.
  std::uint64_t Revoked_ = 0;
  std::uint64_t SlicesReturned_ = 0;
  base::Tokens TokensReturned_;
  /// Gauge: tokens held by slices whose return waits for an unreachable
  /// witness.
  base::Tokens Stranded_;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_COUNTERS_H
