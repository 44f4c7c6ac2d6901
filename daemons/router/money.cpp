#include "money.h"

#include <utility>

namespace camphorwind::router {

budget::Policy sizingPolicy(base::Duration Cover) {
  constexpr base::Duration ShortestGenerous = std::chrono::minutes(1);
  if (Cover < ShortestGenerous)
    return budget::SmallSlicePolicy();
  return budget::LargeSlicePolicy();
}

Money::Money(net::Loop &Owner, platform::PlatformClient &Platform,
             budget::Ledger Held, MoneyEvents Events)
    : Owner_(Owner), Platform_(Platform), Ledger_(std::move(Held)),
      Committer_({}, Ledger_), Events_(std::move(Events)) {}

void Money::start() {
  Ledger_.start(Owner_.now());
  pump();
}

void Money::commit(const base::AttemptId &Attempt,
                   const base::Incarnation &Agent, base::Tokens Used) {
  Committer_.commit(Attempt, Agent, Used, Owner_.now());
}

void Money::onReply(const budget::CommitReply &Reply) {
  Committer_.onReply(Reply, Owner_.now());
}

void Money::onReport(const budget::WitnessReport &Report) {
  Committer_.onReport(Report);
}

void Money::onAgentGone(const base::Incarnation &Agent) {
  Committer_.onAgentGone(Agent, Owner_.now());
}

void Money::tick() {
  Ledger_.tick(Owner_.now());
  Committer_.tick(Owner_.now());
  pump();
}

void Money::pump() {
  for (;;) {
    auto FromLedger = Ledger_.takeActions();
    auto FromCommitter = Committer_.takeActions();
    if (FromLedger.empty() && FromCommitter.empty())
      return;
    for (const budget::LedgerAction &Action : FromLedger)
      std::visit([&](const auto &Value) { perform(Value); }, Action);
    for (const budget::CommitterAction &Action : FromCommitter)
      std::visit([&](const auto &Value) { perform(Value); }, Action);
  }
}

void Money::publish(observe::Metrics &Target) {
  const budget::LedgerCounters &Counted = Ledger_.counters();
  budget::LedgerGauges Sums = Ledger_.gauges();
  const auto Show = [&](const char *Name, base::Tokens Value) {
    Target.gauge(Name, static_cast<double>(Value.count()));
  };
  Show("tokens_granted", Sums.Granted_);
  Show("tokens_held", Sums.Held_);
  Show("tokens_reserved", Sums.Reserved_);
  Show("tokens_unconfirmed", Sums.Unconfirmed_);
  Show("tokens_unsettled", Sums.Unsettled_);
  Show("tokens_billed", Counted.Billed_);
  Show("tokens_wasted", Counted.Wasted_);
  Target.gauge("table_transactions",
               static_cast<double>(Counted.Transactions_));
  Target.gauge("table_conflicts", static_cast<double>(Counted.Conflicts_));
  Target.gauge("table_replies_lost", static_cast<double>(Counted.RepliesLost_));
}

void Money::perform(const budget::Transact &Action) {
  Platform_.transact(Action.Change_, [this](base::TransactionResult Result) {
    Ledger_.onTransaction(Result, Owner_.now());
    pump();
  });
}

void Money::perform(const budget::ReadRow &Action) {
  Platform_.read(Action.Key_,
                 [this, Key = Action.Key_](base::ReadResult Result) {
                   Ledger_.onRead(Key, Result, Owner_.now());
                   pump();
                 });
}

void Money::perform(const budget::ReserveEnded &Action) {
  Events_.OnReserveEnded_(Action.Attempt_, Action.Error_);
}

void Money::perform(const budget::WitnessesChanged &) {
  Events_.OnWitnessesChanged_();
}

void Money::perform(const budget::Revoked &) { Events_.OnRevoked_(); }

void Money::perform(const budget::Closed &) { Events_.OnClosed_(); }

void Money::perform(const budget::SendCommit &Action) {
  Events_.Send_(Action.Agent_, Action.Request_);
}

void Money::perform(const budget::SendFallbackCommit &Action) {
  Events_.Send_(Action.Agent_, Action.Request_);
}

void Money::perform(const budget::CommitEnded &Action) {
  Events_.OnCommitEnded_(Action.Attempt_, Action.Outcome_);
}

} // namespace camphorwind::router
