#include "oracle.h"
#include "world.h"

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>

/// Injects faults of routers, agents and the table, one case at a time, and
/// checks which tokens are billed and which stay stranded.
namespace camphorwind::budget::test {
namespace {

using base::BudgetId;
using base::Tokens;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const BudgetId Shop("shop");

Call longCall(const std::string &Attempt, bool NonIdempotent = false) {
  Call Request;
  Request.Attempt_ = base::AttemptId(Attempt);
  Request.Budget_ = Shop;
  Request.Bound_ = Tokens(200);
  Request.Used_ = Tokens(100);
  Request.RunTime_ = seconds(2);
  Request.NonIdempotent_ = NonIdempotent;
  return Request;
}

struct FaultCase {
  std::string Name_;
  std::function<void(World &)> Fault_;
  bool NonIdempotent_ = false;
  /// Tokens finally billed for the call that runs when the fault occurs.
  std::int64_t Billed_ = 0;
  /// Tokens that can never be returned, because the fault ends a witness as
  /// well as the router.
  std::int64_t Stranded_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const FaultCase &Value) {
  return Out << Value.Name_;
}

class Fault : public testing::TestWithParam<FaultCase> {};

TEST_P(Fault, KeepsBudgetConsistent) {
  WorldSettings Settings;
  Settings.Routers_ = 2;
  Settings.Agents_ = 2;
  World Model(Settings);
  Oracle Reference;
  Reference.topUp(Model, Shop, Tokens(4000));
  Model.addBudget(Shop, FixedSlicePolicy(Tokens(1000)));
  Model.advance(seconds(1));
  Reference.call(Model, 0, longCall("hit", GetParam().NonIdempotent_));
  Model.advance(seconds(1));
  GetParam().Fault_(Model);
  EXPECT_EQ(Reference.checkStep(Model), "");
  Model.advance(minutes(2));
  EXPECT_EQ(Reference.checkStep(Model), "");
  Model.heal();
  Model.advance(minutes(2));
  for (int Round = 0; Round < 6; ++Round) {
    Model.close();
    Model.advance(seconds(10));
  }
  EXPECT_EQ(Reference.checkEnd(Model), "");
  EXPECT_EQ(Model.heldInTable(), Tokens(GetParam().Stranded_));
  EXPECT_EQ(Model.budget(Shop).Billed_, Tokens(GetParam().Billed_));
}

void cutAgentsAfterCommit(World &Model) {
  Model.advance(milliseconds(1001));
  Model.cutLink(0, 0, true);
  Model.cutLink(0, 1, true);
  Model.advance(seconds(2));
  Model.cutLink(0, 1, false);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, Fault,
    testing::Values(
        FaultCase{"none", [](World &) {}, false, 100},
        FaultCase{"commit_reply_lost_then_fallback", cutAgentsAfterCommit,
                  false, 100},
        FaultCase{"router_dies_before_commit",
                  [](World &Model) { Model.killRouter(0); }, false, 0},
        FaultCase{"router_dies_during_non_idempotent_call",
                  [](World &Model) { Model.killRouter(0); }, true, 100},
        FaultCase{"router_paused_past_reclaim",
                  [](World &Model) { Model.pauseRouter(0, true); }, false, 0},
        FaultCase{"table_cut_from_live_router",
                  [](World &Model) {
                    Model.cutTable(0, true);
                    Model.reclaim(1, Model.incarnation(0));
                  },
                  false, 100},
        FaultCase{"two_reclaimers",
                  [](World &Model) {
                    const base::Incarnation Dead = Model.incarnation(0);
                    Model.killRouter(0);
                    Model.advance(seconds(10));
                    Model.reclaim(0, Dead);
                    Model.reclaim(1, Dead);
                  },
                  false, 0},
        FaultCase{"agents_replaced_under_live_router",
                  [](World &Model) {
                    Model.cutTable(0, true);
                    Model.killAgent(0);
                    Model.killAgent(1);
                  },
                  false, 0},
        FaultCase{"router_and_witness_lost_together",
                  [](World &Model) {
                    Model.killRouter(0);
                    Model.killAgent(0);
                  },
                  false, 0, 1000}),
    [](const auto &Info) { return Info.param.Name_; });

} // namespace
} // namespace camphorwind::budget::test
