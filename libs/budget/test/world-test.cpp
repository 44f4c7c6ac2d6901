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

/// Runs commands against a world and its oracle.
class Trial {
public:
  Trial(WorldSettings Settings, Policy Sizing) : World_(std::move(Settings)) {
    for (int Index = 0; Index < Budgets; ++Index) {
      Oracle_.topUp(World_, budget(Index), Tokens(2000));
      World_.addBudget(budget(Index), Sizing);
    }
    World_.advance(seconds(1));
  }

  std::string step(const Command &Do) {
    apply(Do);
    World_.advance(milliseconds(20) * (Do.Second_ % 5));
    return Oracle_.checkStep(World_);
  }

  /// Heals all faults, closes all routers and checks what is left.
  std::string finish() {
    World_.heal();
    for (int Round = 0; Round < 40; ++Round) {
      World_.advance(seconds(10));
      std::string Wrong = Oracle_.checkStep(World_);
      if (!Wrong.empty())
        return Wrong;
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

  void apply(const Command &Do) {
    const std::size_t Router = Do.First_ % Routers;
    const std::size_t Agent = Do.Second_ % Agents;
    switch (Do.Kind_) {
    case Kind::Call:
    case Kind::CallNonIdempotent:
      return call(Router, Do);
    case Kind::Advance:
      return World_.advance(milliseconds(10) * Do.First_ * Do.Second_);
    case Kind::TopUp:
      return Oracle_.topUp(World_, budget(Do.First_),
                           Tokens(std::int64_t{Do.Second_} * 10));
    case Kind::CutTable:
    case Kind::HealTable:
      return World_.cutTable(Router, Do.Kind_ == Kind::CutTable);
    case Kind::CutLink:
    case Kind::HealLink:
      return World_.cutLink(Router, Agent, Do.Kind_ == Kind::CutLink);
    case Kind::KillRouter:
      return World_.killRouter(Router);
    case Kind::PauseRouter:
    case Kind::ResumeRouter:
      return World_.pauseRouter(Router, Do.Kind_ == Kind::PauseRouter);
    case Kind::KillAgent:
      return World_.killAgent(Agent);
    case Kind::Reclaim:
      return World_.reclaim(Do.Second_ % Routers, World_.incarnation(Router));
    }
  }

  void call(std::size_t Router, const Command &Do) {
    Call Request;
    Request.Attempt_ = base::AttemptId("attempt-" + std::to_string(++Calls_));
    Request.Budget_ = budget(Do.Second_);
    Request.Used_ = Tokens(1 + std::int64_t{Do.First_} * 5);
    Request.Bound_ = Request.Used_ + Tokens(std::int64_t{Do.Second_} * 5);
    Request.RunTime_ = milliseconds(50) * Do.Second_;
    Request.NonIdempotent_ = Do.Kind_ == Kind::CallNonIdempotent;
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

class MoneyFuzz : public testing::TestWithParam<PolicyCase> {};

TEST_P(MoneyFuzz, HoldsWhateverFails) {
  const bool Held = rc::check([&] {
    const auto Commands =
        *rc::gen::container<std::vector<Command>>(anyCommand());
    Trial Model(faultySettings(*rc::gen::arbitrary<std::uint64_t>()),
                GetParam().Sizing_);
    for (const Command &Each : Commands) {
      const std::string Wrong = Model.step(Each);
      if (!Wrong.empty())
        RC_FAIL(Wrong);
    }
    const std::string Wrong = Model.finish();
    if (!Wrong.empty())
      RC_FAIL(Wrong);
  });
  EXPECT_TRUE(Held);
}

INSTANTIATE_TEST_SUITE_P(
    Policies, MoneyFuzz,
    testing::Values(PolicyCase{"careful", SmallSlicePolicy()},
                    PolicyCase{"generous", LargeSlicePolicy()},
                    PolicyCase{"fixed", FixedSlicePolicy(Tokens(300))},
                    PolicyCase{"even_split", EvenSplitPolicy()},
                    PolicyCase{"per_request", PerRequestPolicy()}),
    [](const auto &Info) { return Info.param.Name_; });

} // namespace
} // namespace camphorwind::budget::test
