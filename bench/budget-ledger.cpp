#include "camphorwind/base/memory-table.h"
#include "camphorwind/budget/ledger.h"

#include <benchmark/benchmark.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

/// Times one reservation and one billing, by number of budgets.
namespace camphorwind::budget {
namespace {

using base::BudgetId;
using base::Tokens;

constexpr std::size_t Ids = 4096;

/// A started ledger that holds a slice of every budget, drawn from a table
/// that answers at once.
struct Holder {
  explicit Holder(std::int64_t Budgets) {
    Money_.addWitness({Agent_, base::EndpointId("endpoint"),
                       base::HostId("host"), "192.0.2.1:9000"});
    for (std::int64_t Index = 0; Index < Budgets; ++Index) {
      Budgets_.emplace_back("budget-" + std::to_string(Index));
      const BudgetRow Row{Tokens(1'000'000'000'000), {}, {}};
      Table_.transact({{}, {{budgetKey(Budgets_.back()), encode(Row)}}});
      Money_.addBudget(Budgets_.back(),
                       FixedSlicePolicy(Tokens(100'000'000'000)));
    }
    for (std::size_t Index = 0; Index < Ids; ++Index)
      Attempts_.emplace_back("0123456789abcdef-" + std::to_string(Index));
    Money_.start(Now_);
    pump();
    for (const BudgetId &Budget : Budgets_) {
      (void)Money_.reserve(base::AttemptId("first/" + Budget.str()), Budget,
                           Tokens(1), Now_);
    }
    const std::int64_t Rounds = 20 + Budgets / 32;
    for (std::int64_t Round = 0; Round < Rounds; ++Round)
      pump();
  }

  void pump() {
    Now_ += std::chrono::milliseconds(600);
    Money_.tick(Now_);
    for (LedgerAction &Action : Money_.takeActions()) {
      if (const auto *Write = std::get_if<Transact>(&Action))
        Money_.onTransaction(Table_.transact(Write->Change_), Now_);
      else if (const auto *Read = std::get_if<ReadRow>(&Action))
        Money_.onRead(Read->Key_, Table_.read(Read->Key_), Now_);
    }
  }

  static LedgerSettings settings() {
    LedgerSettings Settings;
    Settings.Router_ = base::RouterId("router");
    Settings.Incarnation_ = base::Incarnation("incarnation");
    Settings.MaxWait_ = std::chrono::hours(1);
    Settings.WriteInterval_ = base::Duration::zero();
    return Settings;
  }

  base::Incarnation Agent_{"agent"};
  base::TimePoint Now_{};
  WitnessReport Report_{Agent_, {}, {}, {}, {}};
  base::MemoryTable Table_;
  Ledger Money_ = Ledger::create(settings()).value();
  std::vector<BudgetId> Budgets_;
  std::vector<base::AttemptId> Attempts_;
};

void reserveAndBill(benchmark::State &State) {
  static std::map<std::int64_t, Holder> Holders;
  Holder &Held =
      Holders.try_emplace(State.range(0), State.range(0)).first->second;
  WitnessReport &Report = Held.Report_;
  std::size_t Index = 0;
  std::uint64_t Refused = 0;
  while (State.KeepRunning()) {
    const base::AttemptId &Attempt = Held.Attempts_[Index % Ids];
    const BudgetId &Budget = Held.Budgets_[Index * 7919 % Held.Budgets_.size()];
    const auto Reserved =
        Held.Money_.reserve(Attempt, Budget, Tokens(1000), Held.Now_);
    Refused += Reserved && Reserved.value() == ReserveOutcome::Reserved ? 0 : 1;
    ++Report.Counter_.Sequence_;
    Report.Counter_.Cumulative_ += Tokens(1);
    Held.Money_.bill(Attempt, Report);
    ++Index;
  }
  State.counters["refused"] = static_cast<double>(Refused);
}

BENCHMARK(reserveAndBill)->Arg(10)->Arg(1000)->Arg(26000);

} // namespace
} // namespace camphorwind::budget
