#include "oracle.h"
#include "world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <ostream>
#include <string>
#include <vector>

namespace camphorwind::budget::test {
namespace {

using base::BudgetId;
using base::Tokens;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t Routers = 3;
constexpr std::size_t Agents = 3;
constexpr int Budgets = 2;

enum class Kind {
  Call,
  CallNonIdempotent,
  Advance,
  TopUp,
  CutTable,
  HealTable,
  CutLink,
  HealLink,
  KillRouter,
  PauseRouter,
  ResumeRouter,
  KillAgent,
  Reclaim,
};

struct Command {
  Kind Kind_ = Kind::Call;
  /// Operands, from which `Scenario` derives indices, amounts and times.
  unsigned First_ = 0;
  unsigned Second_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const Command &Value) {
  return Out << "{Kind(" << static_cast<int>(Value.Kind_) << "), "
             << Value.First_ << ", " << Value.Second_ << "}";
}

rc::Gen<Command> anyCommand() {
  const auto OfKind = rc::gen::weightedElement<Kind>({
      {30, Kind::Call},
      {6, Kind::CallNonIdempotent},
      {20, Kind::Advance},
      {4, Kind::TopUp},
      {4, Kind::CutTable},
      {4, Kind::HealTable},
      {6, Kind::CutLink},
      {6, Kind::HealLink},
      {3, Kind::KillRouter},
      {4, Kind::PauseRouter},
      {4, Kind::ResumeRouter},
      {2, Kind::KillAgent},
      {4, Kind::Reclaim},
  });
  return rc::gen::build<Command>(
      rc::gen::set(&Command::Kind_, OfKind),
      rc::gen::set(&Command::First_, rc::gen::inRange(0U, 60U)),
      rc::gen::set(&Command::Second_, rc::gen::inRange(0U, 60U)));
}

/// Runs commands against a simulated fleet and checks it with an oracle.
class Scenario {
public:
  Scenario(WorldSettings Settings, Policy Sizing)
      : World_(std::move(Settings)) {
    for (int Index = 0; Index < Budgets; ++Index) {
      Oracle_.topUp(World_, budget(Index), Tokens(2000));
      World_.addBudget(budget(Index), Sizing);
    }
    World_.advance(seconds(1));
  }

  std::string step(const Command &Step) {
    apply(Step);
    World_.advance(milliseconds(20) * (Step.Second_ % 5));
    return Oracle_.checkStep(World_);
  }

  /// Ends all faults, closes all routers and checks the final state.
  std::string finish() {
    World_.heal();
    for (int Round = 0; Round < 40; ++Round) {
      World_.advance(seconds(10));
      std::string Violation = Oracle_.checkStep(World_);
      if (!Violation.empty())
        return Violation;
      if (Round < 4)
        continue;
      World_.close();
      if (World_.table().scan(LeasePrefix).Rows_.empty())
        break;
    }
    return Oracle_.checkEnd(World_);
  }

  World &world() { return World_; }

private:
  static BudgetId budget(unsigned Index) {
    return BudgetId("budget-" + std::to_string(Index % Budgets));
  }

  void apply(const Command &Step) {
    const std::size_t Router = Step.First_ % Routers;
    const std::size_t Agent = Step.Second_ % Agents;
    switch (Step.Kind_) {
    case Kind::Call:
    case Kind::CallNonIdempotent:
      return call(Router, Step);
    case Kind::Advance:
      return World_.advance(milliseconds(10) * Step.First_ * Step.Second_);
    case Kind::TopUp:
      return Oracle_.topUp(World_, budget(Step.First_),
                           Tokens(std::int64_t{Step.Second_} * 10));
    case Kind::CutTable:
    case Kind::HealTable:
      return World_.cutTable(Router, Step.Kind_ == Kind::CutTable);
    case Kind::CutLink:
    case Kind::HealLink:
      return World_.cutLink(Router, Agent, Step.Kind_ == Kind::CutLink);
    case Kind::KillRouter:
      return World_.killRouter(Router);
    case Kind::PauseRouter:
    case Kind::ResumeRouter:
      return World_.pauseRouter(Router, Step.Kind_ == Kind::PauseRouter);
    case Kind::KillAgent:
      return World_.killAgent(Agent);
    case Kind::Reclaim:
      return World_.reclaim(Step.Second_ % Routers, World_.incarnation(Router));
    }
  }

  void call(std::size_t Router, const Command &Step) {
    Call Request;
    Request.Attempt_ = base::AttemptId("attempt-" + std::to_string(++Calls_));
    Request.Budget_ = budget(Step.Second_);
    Request.Used_ = Tokens(1 + std::int64_t{Step.First_} * 5);
    Request.Bound_ = Request.Used_ + Tokens(std::int64_t{Step.Second_} * 5);
    Request.RunTime_ = milliseconds(50) * Step.Second_;
    Request.NonIdempotent_ = Step.Kind_ == Kind::CallNonIdempotent;
    Oracle_.call(World_, Router, Request);
  }

  World World_;
  Oracle Oracle_;
  int Calls_ = 0;
};

WorldSettings faultySettings(std::uint64_t Seed) {
  WorldSettings Settings;
  Settings.Seed_ = Seed;
  Settings.Routers_ = Routers;
  Settings.Agents_ = Agents;
  Settings.LostTableReplyRate_ = 0.1;
  Settings.LateWriteRate_ = 0.3;
  Settings.LostMessageRate_ = 0.1;
  Settings.RepeatedMessageRate_ = 0.1;
  Settings.SuspectAfter_ = seconds(8);
  return Settings;
}

struct PolicyCase {
  std::string Name_;
  Policy Sizing_;
};

std::ostream &operator<<(std::ostream &Out, const PolicyCase &Value) {
  return Out << Value.Name_;
}

class BudgetFuzz : public testing::TestWithParam<PolicyCase> {};

TEST_P(BudgetFuzz, KeepsInvariantsUnderFaults) {
  const bool Passed = rc::check([&] {
    const auto Commands =
        *rc::gen::container<std::vector<Command>>(anyCommand());
    Scenario Model(faultySettings(*rc::gen::arbitrary<std::uint64_t>()),
                   GetParam().Sizing_);
    for (const Command &Each : Commands) {
      const std::string Violation = Model.step(Each);
      if (!Violation.empty())
        RC_FAIL(Violation);
    }
    const std::string Violation = Model.finish();
    if (!Violation.empty())
      RC_FAIL(Violation);
  });
  EXPECT_TRUE(Passed);
}

INSTANTIATE_TEST_SUITE_P(
    Policies, BudgetFuzz,
    testing::Values(PolicyCase{"careful", SmallSlicePolicy()},
                    PolicyCase{"generous", LargeSlicePolicy()},
                    PolicyCase{"fixed", FixedSlicePolicy(Tokens(300))},
                    PolicyCase{"even_split", EvenSplitPolicy()},
                    PolicyCase{"per_request", PerRequestPolicy()}),
    [](const auto &Info) { return Info.param.Name_; });

} // namespace
} // namespace camphorwind::budget::test
