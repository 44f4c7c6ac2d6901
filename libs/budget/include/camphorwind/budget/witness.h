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
  /// Incarnation of this agent.
  base::Incarnation Agent_;
  /// A router heard from within this time counts as alive.
  base::Duration LivenessWindow_ = std::chrono::seconds(6);
  /// Maximum number of ids kept of acknowledged and unbilled attempts, to
  /// refuse late copies of the requests that opened them.
  std::size_t MaxEndedIds_ = 4096;
};

enum class WitnessError { EmptyIncarnation };

/// Why an attempt is refused; a refused attempt has not run.
enum class OpenError { Sealed, DuplicateAttempt };

/// An attempt that a router sends to this agent.
struct OpenAttempt {
  base::AttemptId Attempt_;
  base::SliceId Slice_;
  base::Incarnation Router_;
  /// Maximum number of tokens that the attempt may be billed.
  base::Tokens Bound_;
  /// A non-idempotent attempt that finishes is billed even if its router is
  /// sealed, since it cannot be run again.
  bool NonIdempotent_ = false;
};

/// Counts the tokens that each router incarnation commits at one endpoint's
/// agent, so that the count outlives the router.
class Witness {
public:
  static base::Result<Witness, WitnessError> create(WitnessSettings Settings);

  /// Records that a heartbeat or request of the router has arrived.
  void recordContact(const base::Incarnation &Router, base::TimePoint Now);

  /// Accepts an attempt before it goes to the endpoint.
  base::Result<void, OpenError> open(const OpenAttempt &Attempt);
  /// Lowers the bound once the endpoint has reported the prompt's tokens.
  void tighten(const base::AttemptId &Attempt, base::Tokens Bound);
  /// Records that the endpoint has answered the attempt in full, using \p Used
  /// tokens.
  void finish(const base::AttemptId &Attempt, base::Tokens Used);
  /// Ends an attempt that is not billed.
  void drop(const base::AttemptId &Attempt);

  CommitReply onCommit(const CommitRequest &Request);
  CommitReply onFallbackCommit(const FallbackCommitRequest &Request);
  LivenessReply onLivenessRequest(const LivenessRequest &Request,
                                  base::TimePoint Now) const;
  SealReply onSeal(const SealRequest &Request);

  bool isSealed(const base::Incarnation &Router) const;
  /// Returns one report for each slice of \p Router known to this agent, to
  /// send on a resumed link.
  std::vector<WitnessReport> reports(const base::Incarnation &Router) const;
  /// Returns and clears the attempts to cancel at the endpoint because their
  /// router was sealed.
  std::vector<base::AttemptId> takeCancelled();
  /// Drops all state of a router whose lease row is deleted.
  void forgetRouter(const base::Incarnation &Router);

  const WitnessCounters &counters() const { return Counters_; }

private:
  struct OpenState {
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
    std::set<base::AttemptId> OpenIds_;
    base::TimePoint LastHeard_{};
    bool Heard_ = false;
    bool Sealed_ = false;
  };

  explicit Witness(WitnessSettings Settings) : Settings_(std::move(Settings)) {}
  CommitReply reply(const base::AttemptId &Attempt, const base::SliceId &Slice,
                    const base::Incarnation &Router, CommitStatus Status) const;
  WitnessReport report(const base::SliceId &Slice,
                       const SliceCount &Count) const;
  void recordCommit(const base::AttemptId &Attempt, base::Tokens Used);
  void close(const base::AttemptId &Attempt);
  void acknowledge(RouterState &Router, SliceCount &Count,
                   const std::vector<base::AttemptId> &Attempts);
  void rememberEnded(const base::AttemptId &Attempt);

  WitnessSettings Settings_;
  /// Accepted attempts that are neither committed nor dropped.
  std::unordered_map<base::AttemptId, OpenState> OpenAttempts_;
  std::map<base::Incarnation, RouterState> Routers_;
  /// The ids in `EndedIds_`, oldest first.
  std::deque<base::AttemptId> EndedIdsInOrder_;
  std::unordered_set<base::AttemptId> EndedIds_;
  std::vector<base::AttemptId> Cancelled_;
  WitnessCounters Counters_;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_WITNESS_H
