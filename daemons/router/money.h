#ifndef CAMPHORWIND_DAEMONS_ROUTER_MONEY_H
#define CAMPHORWIND_DAEMONS_ROUTER_MONEY_H

#include "camphorwind/budget/committer.h"
#include "camphorwind/budget/ledger.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/observe/metrics.h"
#include "camphorwind/platform/platform-client.h"
#include "camphorwind/wire/protocol.h"

#include <functional>
#include <memory>
#include <optional>

namespace camphorwind::router {

struct MoneyEvents {
  /// A reservation that waited is made, or refused.
  std::function<void(const base::AttemptId &,
                     std::optional<budget::ReserveError>)>
      OnReserveEnded_;
  std::function<void(const base::AttemptId &, budget::CommitOutcome)>
      OnCommitEnded_;
  /// Sends a commit to an agent; it may be lost.
  std::function<void(const base::Incarnation &, const wire::ToAgent &)> Send_;
  /// The set of agents that may be used has changed.
  std::function<void()> OnWitnessesChanged_;
  /// The incarnation is revoked: the router has to start anew.
  std::function<void()> OnRevoked_;
  std::function<void()> OnClosed_;
};

/// Returns the policy for slices that should cover the use of \p Cover while
/// the table is unreachable: `careful` below a minute, else `generous`.
budget::Policy sizingPolicy(base::Duration Cover);

/// Connects the ledger and the committer to the platform's table.
class Money {
public:
  Money(net::Loop &Owner, platform::PlatformClient &Platform,
        budget::Ledger Held, MoneyEvents Events);

  budget::Ledger &ledger() { return Ledger_; }

  void start();
  void commit(const base::AttemptId &Attempt, const base::Incarnation &Agent,
              base::Tokens Used);
  void onReply(const budget::CommitReply &Reply);
  void onReport(const budget::WitnessReport &Report);
  void onAgentGone(const base::Incarnation &Agent);
  void tick();
  /// Performs what the ledger and the committer want done.
  void pump();
  void publish(observe::Metrics &Target);

private:
  void perform(const budget::Transact &Action);
  void perform(const budget::ReadRow &Action);
  void perform(const budget::ReserveEnded &Action);
  void perform(const budget::WitnessesChanged &Action);
  void perform(const budget::Revoked &Action);
  void perform(const budget::Closed &Action);
  void perform(const budget::SendCommit &Action);
  void perform(const budget::SendFallbackCommit &Action);
  void perform(const budget::CommitEnded &Action);

  net::Loop &Owner_;
  platform::PlatformClient &Platform_;
  budget::Ledger Ledger_;
  budget::Committer Committer_;
  MoneyEvents Events_;
};

} // namespace camphorwind::router

#endif // CAMPHORWIND_DAEMONS_ROUTER_MONEY_H
