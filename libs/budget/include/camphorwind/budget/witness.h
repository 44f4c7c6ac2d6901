#ifndef CAMPHORWIND_BUDGET_WITNESS_H
#define CAMPHORWIND_BUDGET_WITNESS_H

#include "camphorwind/base/result.h"
#include "camphorwind/base/time.h"
#include "camphorwind/budget/counters.h"
#include "camphorwind/budget/messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace camphorwind::budget {

struct WitnessSettings {
  /// This run of the agent.
  base::Incarnation Agent_;
  /// A router heard within this time counts as alive.
  base::Duration LivenessWindow_ = std::chrono::seconds(6);
  /// Acknowledged attempt ids remembered against late repeats.
  std::size_t RememberedIds_ = 4096;
};

enum class WitnessError { EmptyIncarnation };

/// Why an attempt is not accepted; it has not run.
enum class OpenError { Sealed, DuplicateAttempt };

/// An attempt that a router sends to this agent.
struct OpenAttempt {
  base::AttemptId Attempt_;
  base::SliceId Slice_;
  base::Incarnation Router_;
  /// Most tokens that it may be billed.
  base::Tokens Bound_;
  /// Once finished it must be billed even if its router is sealed, since it
  /// can't be run again.
  bool NonIdempotent_ = false;
};

/// Counts, beside one endpoint, what each router incarnation commits, so that
/// the count outlives the router.
class Witness {
public:
  static base::Result<Witness, WitnessError> create(WitnessSettings Settings);

  /// A heartbeat or request of the router arrived.
  void recordContact(const base::Incarnation &Router, base::TimePoint Now);

  /// Accepts an attempt before it goes to the endpoint.
  base::Result<void, OpenError> open(const OpenAttempt &Attempt);
  /// Lowers the bound once the endpoint has reported the prompt's tokens.
  void tighten(const base::AttemptId &Attempt, base::Tokens Bound);
  /// The endpoint has answered the attempt in whole.
  void finish(const base::AttemptId &Attempt, base::Tokens Used);
  /// The attempt ended without an answer worth billing.
  void drop(const base::AttemptId &Attempt);

  CommitReply onCommit(const CommitRequest &Request);
  CommitReply onFallbackCommit(const FallbackCommitRequest &Request);
  LivenessReply onLivenessRequest(const LivenessRequest &Request,
                                  base::TimePoint Now) const;
  SealReply onSeal(const SealRequest &Request);

  bool isSealed(const base::Incarnation &Router) const;
  /// Returns one report for each slice of \p Router known here: for a resumed
  /// link.
  std::vector<WitnessReport> reports(const base::Incarnation &Router) const;
  /// Attempts to cancel at the endpoint because their router was sealed.
  std::vector<base::AttemptId> takeCancelled();
  /// Drops all that is known of a router whose lease row is gone.
  void forgetRouter(const base::Incarnation &Router);

  const WitnessCounters &counters() const { return Counters_; }

private:
  struct Running {
    base::SliceId Slice_;
    base::Incarnation Router_;
    base::Tokens Bound_;
    bool NonIdempotent_ = false;
    bool Finished_ = false;
    base::Tokens Used_;
  };
  struct SliceCount {
    Counter Counter_;
    std::map<base::AttemptId, base::Tokens> Unacknowledged_;
    std::map<base::AttemptId, base::Tokens> FallbackCommits_;
  };
  struct RouterState {
    std::map<base::SliceId, SliceCount> Slices_;
    std::set<base::AttemptId> Open_;
    base::TimePoint LastHeard_{};
    bool Heard_ = false;
    bool Sealed_ = false;
  };

  explicit Witness(WitnessSettings Settings) : Settings_(std::move(Settings)) {}
  CommitReply reply(const base::AttemptId &Attempt, const base::SliceId &Slice,
                    const base::Incarnation &Router, CommitStatus Status) const;
  WitnessReport report(const base::SliceId &Slice,
                       const SliceCount &Count) const;
  void count(const base::AttemptId &Attempt, base::Tokens Used);
  void close(const base::AttemptId &Attempt);
  void acknowledge(RouterState &Router, SliceCount &Count,
                   const std::vector<base::AttemptId> &Attempts);
  void remember(const base::AttemptId &Attempt);

  WitnessSettings Settings_;
  std::unordered_map<base::AttemptId, Running> Running_;
  std::map<base::Incarnation, RouterState> Routers_;
  std::deque<base::AttemptId> RememberedOrder_;
  std::unordered_set<base::AttemptId> Remembered_;
  std::vector<base::AttemptId> Cancelled_;
  WitnessCounters Counters_;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_WITNESS_H
