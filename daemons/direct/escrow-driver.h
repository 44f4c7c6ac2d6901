#ifndef CAMPHORWIND_DAEMONS_DIRECT_ESCROW_DRIVER_H
#define CAMPHORWIND_DAEMONS_DIRECT_ESCROW_DRIVER_H

#include "direct-router.h"

#include "camphorwind/base/table.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/observe/log.h"

#include <chrono>
#include <utility>

namespace camphorwind::direct {

/// Runs an escrow's reads and transactions against the table.
template <base::Table Table> class EscrowDriver {
public:
  EscrowDriver(net::Loop &Owner, DirectRouter &Router, Table &Rows)
      : Owner_(Owner), Router_(Router), Rows_(Rows),
        Tick_(Owner, [this] { step(); }) {
    Router_.onTokensWanted([this] { step(); });
    Tick_.startRepeating(Interval);
  }
  ~EscrowDriver() { Router_.onTokensWanted(nullptr); }
  EscrowDriver(const EscrowDriver &) = delete;
  EscrowDriver &operator=(const EscrowDriver &) = delete;

private:
  /// Longest delay before a draw starts.
  static constexpr std::chrono::milliseconds Interval{50};
  /// Pause after a read failed.
  static constexpr std::chrono::milliseconds ReadPause{300};

  void step() {
    base::TimePoint Now = Owner_.now();
    if (!Reading_ && Now >= ReadNotBefore_ && Router_.escrow().needsRows(Now)) {
      Reading_ = true;
      Rows_.scan(
          "", [this, Now](const base::ReadResult &Read) { onRows(Read, Now); });
    }
    if (auto Change = Router_.escrow().nextTransaction(Now))
      Rows_.transact(std::move(*Change),
                     [this](const base::TransactionResult &Result) {
                       onTransaction(Result);
                     });
  }

  void onRows(const base::ReadResult &Read, base::TimePoint AskedAt) {
    Reading_ = false;
    bool Ok = Read.Status_ == base::ReadStatus::Ok;
    if (!Ok)
      ReadNotBefore_ = Owner_.now() + ReadPause;
    note(Ok);
    Router_.escrow().onRows(Read, AskedAt, Owner_.now());
    for (const budget::EscrowTakeover &Each : Router_.escrow().takeTakeovers())
      observe::log(observe::LogLevel::Info, "slice_taken_over",
                   {{"account", Each.Account_.str()},
                    {"granted", Each.Granted_.count()},
                    {"checkpointed", Each.Checkpointed_.count()},
                    {"counted_as_spent", Each.CountedAsSpent_.count()},
                    {"checkpoint_age_ms", Each.CheckpointAge_.count()}});
    Router_.escrowChanged();
    step();
  }

  void onTransaction(const base::TransactionResult &Result) {
    bool Ok = Result.Status_ == base::TransactionStatus::Committed ||
              Result.Status_ == base::TransactionStatus::Conflict;
    note(Ok);
    if (Result.Status_ == base::TransactionStatus::Conflict)
      observe::log(observe::LogLevel::Info, "budget_conflict",
                   {{"rows", Result.Current_.size()}});
    Router_.escrow().onTransaction(Result, Owner_.now());
    Router_.escrowChanged();
  }

  void note(bool Reachable) {
    if (std::exchange(Reachable_, Reachable) == Reachable)
      return;
    observe::log(observe::LogLevel::Warning,
                 Reachable ? "dependency_regained" : "dependency_lost",
                 {{"dependency", "budget_table"}});
  }

  net::Loop &Owner_;
  DirectRouter &Router_;
  Table &Rows_;
  net::Timer Tick_;
  bool Reading_ = false;
  bool Reachable_ = true;
  base::TimePoint ReadNotBefore_{};
};

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_ESCROW_DRIVER_H
