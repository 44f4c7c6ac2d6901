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
  /// Age from which a retry also asks a fallback witness. Once the agent that
  /// ran the attempt is gone, a retry does so at any age.
  base::Duration FallbackAfter_ = std::chrono::milliseconds(1000);
  /// Age at which an unconfirmed commit makes the router withhold the caller's
  /// last event. The commit is retried until a witness answers or all the
  /// witnesses asked are gone.
  base::Duration WithholdAfter_ = std::chrono::seconds(4);
};

/// Send `Request_` to the agent that ran the attempt.
struct SendCommit {
  base::Incarnation Agent_;
  CommitRequest Request_;
};

/// Send `Request_` to a fallback witness.
struct SendFallbackCommit {
  base::Incarnation Agent_;
  FallbackCommitRequest Request_;
};

enum class CommitOutcome {
  Billed,   ///< A witness recorded the commit; deliver the last event.
  Withheld, ///< No witness replied in time; end as `ran: unknown`.
  /// The router is sealed, the attempt has no reservation, or the agent that
  /// ran it refused the commit; end as `ran: unknown`.
  Refused,
};

/// Outcome to report to the caller of the attempt; produced once per attempt.
struct CommitEnded {
  base::AttemptId Attempt_;
  CommitOutcome Outcome_ = CommitOutcome::Refused;
};

using CommitterAction =
    std::variant<SendCommit, SendFallbackCommit, CommitEnded>;

/// Has every answer recorded by a witness before its last event is delivered.
///
/// The id of an attempt is acknowledged to the agent that ran it only if no
/// fallback witness was asked. Otherwise that agent keeps listing the id, so
/// that a commit listed by both is counted once when the reports are merged by
/// id.
class Committer {
public:
  /// \p BudgetLedger must outlive the committer; commits are billed or released
  /// there.
  Committer(CommitterSettings Settings, Ledger &BudgetLedger)
      : Settings_(Settings), Ledger_(&BudgetLedger) {}

  /// Starts to commit an attempt that ran at \p Agent and used \p Used tokens.
  /// The ledger keeps the reservation until the commit is billed or given up,
  /// which may be after the outcome was reported.
  void commit(const base::AttemptId &Attempt, const base::Incarnation &Agent,
              base::Tokens Used, base::TimePoint Now);
  /// Handles a reply to a CommitRequest or FallbackCommitRequest.
  void onReply(const CommitReply &Reply, base::TimePoint Now);
  /// Handles a report that did not come in a reply, such as on a resumed link.
  void onReport(const WitnessReport &Report);
  /// Notes that the agent incarnation has ended and will never reply.
  void onAgentGone(const base::Incarnation &Agent, base::TimePoint Now);
  /// Whether any commit waits for a reply of the agent that ran it.
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
    bool OutcomeReported_ = false;
    /// Fallback witnesses asked so far, in order.
    std::vector<base::Incarnation> FallbackWitnesses_;
  };
  using PendingMap = std::unordered_map<base::AttemptId, Pending>;

  void sendCommit(const base::AttemptId &Attempt, Pending &Commit,
                  base::TimePoint Now);
  void sendFallbackCommits(const base::AttemptId &Attempt, Pending &Commit,
                           base::TimePoint Now);
  void addFallbackWitness(const base::AttemptId &Attempt, Pending &Commit);
  void reportOutcome(const base::AttemptId &Attempt, Pending &Commit,
                     CommitOutcome Outcome);
  void acknowledge(const WitnessReport &Report);
  bool allFallbacksGone(const Pending &Commit) const;

  CommitterSettings Settings_;
  Ledger *Ledger_;
  PendingMap Pending_;
  /// Attempts sent to a fallback witness; their ids are never acknowledged to
  /// the agent that ran them.
  std::set<base::AttemptId> FallbackAttempts_;
  std::set<base::Incarnation> GoneAgents_;
  /// Ids to acknowledge to each agent with the next commit sent there.
  std::map<base::Incarnation, std::set<base::AttemptId>> Acknowledged_;
  std::vector<CommitterAction> Actions_;
  CommitterCounters Counters_;
};

} // namespace camphorwind::budget

#endif // CAMPHORWIND_BUDGET_COMMITTER_H
