#ifndef CAMPHORWIND_BUDGET_COMMITTER_H
#define CAMPHORWIND_BUDGET_COMMITTER_H

#include "camphorwind/base/time.h"
#include "camphorwind/budget/counters.h"
#include "camphorwind/budget/ledger.h"
#include "camphorwind/budget/messages.h"

#include <map>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace camphorwind::budget {

struct CommitterSettings {
  /// Time without a reply after which a commit is sent again.
  base::Duration RetryInterval_ = std::chrono::milliseconds(400);
  /// Time without a reply after which another witness is asked.
  base::Duration FallbackAfter_ = std::chrono::milliseconds(1000);
  /// Time after which the caller's last event is withheld. The commit itself
  /// goes on until some witness answers or all are gone.
  base::Duration WithholdAfter_ = std::chrono::seconds(4);
};

/// Send to an agent over the router's link.
struct SendCommit {
  base::Incarnation Agent_;
  CommitRequest Request_;
};

struct SendFallbackCommit {
  base::Incarnation Agent_;
  FallbackCommitRequest Request_;
};

enum class CommitOutcome {
  Billed,   ///< A witness has it: deliver the last event.
  Withheld, ///< No witness answered in time: end as `ran: unknown`.
  Refused,  ///< Sealed, or not known where it ran: end as `ran: unknown`.
};

/// What the caller of the attempt is to be told; comes once an attempt.
struct CommitEnded {
  base::AttemptId Attempt_;
  CommitOutcome Outcome_ = CommitOutcome::Refused;
};

using CommitterAction =
    std::variant<SendCommit, SendFallbackCommit, CommitEnded>;

/// Has every delivered answer recorded by a witness before its last event.
///
/// An attempt is either acknowledged at the agent that ran it or put to a
/// stand-in, never both: an agent keeps listing the id of any commit that a
/// stand-in may list too, so the union by id counts it once.
class Committer {
public:
  /// \p Money must outlive the committer; it is told of every commit.
  Committer(CommitterSettings Settings, Ledger &Money)
      : Settings_(Settings), Ledger_(&Money) {}

  /// Starts to commit an attempt that ran at \p Agent and used \p Used tokens.
  /// Its reservation is ended by the ledger, late if need be.
  void commit(const base::AttemptId &Attempt, const base::Incarnation &Agent,
              base::Tokens Used, base::TimePoint Now);
  /// Handles a reply to a commit or stand-in request.
  void onReply(const CommitReply &Reply, base::TimePoint Now);
  /// Handles a report outside a reply, as on a resumed link.
  void onReport(const WitnessReport &Report);
  /// The incarnation is gone for good and will answer nothing.
  void onAgentGone(const base::Incarnation &Agent, base::TimePoint Now);
  /// Whether commits wait for this agent.
  bool hasPendingCommits(const base::Incarnation &Agent) const;

  /// Call every 100 ms, then take the actions.
  void tick(base::TimePoint Now);
  std::vector<CommitterAction> takeActions();
  const CommitterCounters &counters() const { return Counters_; }

private:
  struct Pending {
    base::SliceId Slice_;
    base::Incarnation Agent_;
    base::Tokens Used_;
    base::TimePoint Started_;
    base::TimePoint LastSent_;
    bool AgentGone_ = false;
    bool Told_ = false;
    /// Witnesses that were asked to stand in, in order.
    std::vector<base::Incarnation> FallbackWitnesses_;
  };
  using PendingMap = std::unordered_map<base::AttemptId, Pending>;

  void sendCommit(const base::AttemptId &Attempt, Pending &Commit,
                  base::TimePoint Now);
  void sendFallbackCommits(const base::AttemptId &Attempt, Pending &Commit,
                           base::TimePoint Now);
  void addFallbackWitness(const base::AttemptId &Attempt, Pending &Commit);
  void tell(const base::AttemptId &Attempt, Pending &Commit,
            CommitOutcome Outcome);
  void acknowledge(const WitnessReport &Report);
  bool allGone(const Pending &Commit) const;

  CommitterSettings Settings_;
  Ledger *Ledger_;
  PendingMap Pending_;
  /// Attempts put to a stand-in; never acknowledged where they ran.
  std::set<base::AttemptId> FallbackAttempts_;
  std::set<base::Incarnation> Gone_;
  std::map<base::Incarnation, std::set<base::AttemptId>> Acknowledged_;
  std::vector<CommitterAction> Actions_;
  CommitterCounters Counters_;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_COMMITTER_H
