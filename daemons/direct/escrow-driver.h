#ifndef CAMPHORWIND_DAEMONS_DIRECT_ESCROW_DRIVER_H
#define CAMPHORWIND_DAEMONS_DIRECT_ESCROW_DRIVER_H

#include "direct-router.h"

#include "camphorwind/base/table.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/observe/log.h"

#include <chrono>
#include <cstdint>
#include <utility>

namespace camphorwind::direct {

/// Runs the reads and transactions of a router's escrow against the budget
/// table.
template <base::Table Table> class EscrowDriver {
public:
  EscrowDriver(net::Loop &EventLoop, DirectRouter &Router, Table &BudgetTable)
      : Loop_(EventLoop), Router_(Router), Table_(BudgetTable),
        Timer_(EventLoop, [this] { step(); }) {
    Router_.onTokensNeeded([this] { step(); });
    Timer_.startRepeating(StepInterval);
  }
  ~EscrowDriver() { Router_.onTokensNeeded(nullptr); }
  EscrowDriver(const EscrowDriver &) = delete;
  EscrowDriver &operator=(const EscrowDriver &) = delete;

private:
  /// Interval at which the driver checks whether a read or a transaction is
  /// due. onTokensNeeded triggers a check at once.
  static constexpr std::chrono::milliseconds StepInterval{50};
  /// Delay before a failed read is retried.
  static constexpr std::chrono::milliseconds ReadRetryDelay{300};

  void step() {
    base::TimePoint Now = Loop_.now();
    if (!ReadInProgress_ && Now >= NextReadAt_ &&
        Router_.escrow().needsRows(Now)) {
      ReadInProgress_ = true;
      Table_.scan(
          "", [this, Now](const base::ReadResult &Read) { onRows(Read, Now); });
    }
    if (auto Change = Router_.escrow().nextTransaction(Now))
      Table_.transact(std::move(*Change),
                      [this, Now](const base::TransactionResult &Result) {
                        onTransaction(Result, Now);
                      });
  }

  void onRows(const base::ReadResult &Read, base::TimePoint SentAt) {
    ReadInProgress_ = false;
    bool Ok = Read.Status_ == base::ReadStatus::Ok;
    if (!Ok)
      NextReadAt_ = Loop_.now() + ReadRetryDelay;
    setReachable(Ok);
    Router_.escrow().onRows(Read, SentAt, Loop_.now());
    logRecovery();
    for (const budget::EscrowTakeover &Each : Router_.escrow().takeTakeovers())
      observe::log(observe::LogLevel::Info, "slice_taken_over",
                   {{"account", Each.Account_.str()},
                    {"granted", Each.Granted_.count()},
                    {"checkpointed", Each.Checkpointed_.count()},
                    {"counted_as_spent", Each.CountedAsSpent_.count()},
                    {"reserved", Each.Reserved_.count()},
                    {"burst", Each.Burst_.count()},
                    {"checkpoint_age_ms", Each.CheckpointAge_.count()}});
    Router_.escrowChanged();
    step();
  }

  void onTransaction(const base::TransactionResult &Result,
                     base::TimePoint SentAt) {
    bool Ok = Result.Status_ == base::TransactionStatus::Committed ||
              Result.Status_ == base::TransactionStatus::Conflict;
    setReachable(Ok);
    Router_.escrow().onTransaction(Result, Loop_.now());
    publishGrants();
    if (Result.Status_ == base::TransactionStatus::Conflict)
      observe::log(
          observe::LogLevel::Info, "budget_conflict",
          {{"rows", Result.Current_.size()},
           {"grants_in_a_row", PublishedGrants_.ConflictsInARow_},
           {"after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                            Loop_.now() - SentAt)
                            .count()}});
    logRecovery();
    Router_.escrowChanged();
  }

  void publishGrants() {
    const budget::EscrowGrantCounters &Now = Router_.escrow().grantCounters();
    auto Publish = [&](const char *Result,
                       std::uint64_t budget::EscrowGrantCounters::*Of) {
      if (std::uint64_t Added = Now.*Of - PublishedGrants_.*Of; Added > 0)
        Router_.metrics().count("budget_grants", "result", Result,
                                static_cast<double>(Added));
    };
    Publish("committed", &budget::EscrowGrantCounters::Committed_);
    Publish("conflict", &budget::EscrowGrantCounters::Conflicted_);
    PublishedGrants_ = Now;
  }

  void logRecovery() {
    std::uint64_t Era = Router_.escrow().era();
    if (Era != LoggedEra_)
      observe::log(observe::LogLevel::Info, "budget_table_era",
                   {{"era", Era}, {"before", LoggedEra_}});
    LoggedEra_ = Era;
    budget::EscrowRecovery Recovery = Router_.escrow().recovery();
    if (Recovery != LoggedRecovery_)
      observe::log(observe::LogLevel::Warning, "budget_recovery",
                   {{"era", Era}, {"state", budget::toString(Recovery)}});
    LoggedRecovery_ = Recovery;
  }

  void setReachable(bool Reachable) {
    if (std::exchange(Reachable_, Reachable) == Reachable)
      return;
    observe::log(observe::LogLevel::Warning,
                 Reachable ? "dependency_regained" : "dependency_lost",
                 {{"dependency", "budget_table"}});
  }

  net::Loop &Loop_;
  DirectRouter &Router_;
  Table &Table_;
  net::Timer Timer_;
  bool ReadInProgress_ = false;
  bool Reachable_ = true;
  base::TimePoint NextReadAt_{};
  /// Counters that are in the metrics.
  budget::EscrowGrantCounters PublishedGrants_;
  std::uint64_t LoggedEra_ = 0;
  budget::EscrowRecovery LoggedRecovery_ = budget::EscrowRecovery::None;
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_ESCROW_DRIVER_H
