#include "camphorwind/budget/escrow.h"

#include "fake-table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace camphorwind::budget {
namespace {

using base::Tokens;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

const base::AccountId Shop("shop");

/// Two routers that share the budget of one account.
class TwoRouters {
public:
  static constexpr milliseconds Step = 20ms;

  explicit TwoRouters(std::int64_t Prepaid) {
    for (const char *Name : {"r0", "r1"}) {
      EscrowSettings Settings;
      Settings.Router_ = base::RouterId(Name);
      Settings.Incarnation_ = base::Incarnation(std::string(Name) + ".1");
      Settings.StartedAt_ = Now_;
      Settings.ExpectedRouters_ = 2;
      Routers_.push_back(std::move(Escrow::create(Settings)).value());
    }
    setBudget(Prepaid);
  }

  void setBudget(std::int64_t Prepaid) {
    for (Escrow &Each : Routers_)
      Each.setBudget(Shop, Tokens(Prepaid));
  }

  void advance(milliseconds Span = Step) {
    Now_ += Span;
    TableTime_ += Span;
  }

  /// Reads the table and runs a transaction if they are due. Returns whether
  /// the transaction changed the total.
  bool turn(Escrow &Router) {
    read(Router);
    auto Change = Router.nextTransaction(Now_);
    if (!Change)
      return false;
    Router.onTransaction(Table_.apply(*Change, TableTime_), Now_);
    return changesTotal(*Change);
  }

  void read(Escrow &Router) {
    if (Router.needsRows(Now_))
      Router.onRows(Table_.scan(TableTime_), Now_, Now_);
  }

  void run(milliseconds Span) {
    for (milliseconds Time = 0ms; Time < Span; Time += Step) {
      advance();
      for (Escrow &Each : Routers_)
        turn(Each);
    }
  }

  static bool changesTotal(const base::Transaction &Change) {
    return std::any_of(Change.Writes_.begin(), Change.Writes_.end(),
                       [](const base::RowWrite &Each) {
                         return Each.Key_.find("total/") != std::string::npos;
                       });
  }

  std::int64_t granted(std::size_t Index) const {
    return Routers_[Index].status(Shop, Now_).Granted_.count();
  }

  std::vector<Escrow> Routers_;
  test::FakeTable Table_;
  base::TimePoint Now_{std::chrono::hours(1)};
  milliseconds TableTime_{1'000'000};
};

// Guards against a router that gets few tokens because it has few: it refuses
// its callers, counts only what it could reserve as demand, and so the tokens
// stay where nobody asks for them.
TEST(SlowHostTest, TokensFollowRefusedRequests) {
  TwoRouters Fleet(1'000'000);
  Fleet.run(2s);
  for (int Request = 0; Request < 40; ++Request) {
    Fleet.Routers_[0].addRefused(Shop, Tokens(10'000), Fleet.Now_);
    Fleet.run(100ms);
  }
  EXPECT_GT(Fleet.granted(0), 2 * Fleet.granted(1));
}

/// Why the second router would draw or return tokens.
enum class RoutineChange { DrawsOfALargerBudget, ReturnsForDemandElsewhere };

struct YieldCase {
  std::string Name_;
  RoutineChange Reason_ = RoutineChange::DrawsOfALargerBudget;
  /// Tokens that the first router's callers lack.
  std::int64_t Lacked_ = 0;
  bool ChangesTotal_ = false;
};

std::ostream &operator<<(std::ostream &Out, const YieldCase &Value) {
  return Out << Value.Name_;
}

class YieldTest : public testing::TestWithParam<YieldCase> {};

// Guards against a slow host whose draws conflict for ever, because routers
// that need nothing change the total between its read and its transaction.
TEST_P(YieldTest, RoutineChangesLetADrawThrough) {
  const YieldCase &Case = GetParam();
  TwoRouters Fleet(1'000'000);
  Fleet.run(2s);
  Escrow &Needy = Fleet.Routers_[0];
  Escrow &Other = Fleet.Routers_[1];
  if (Case.Reason_ == RoutineChange::DrawsOfALargerBudget)
    Fleet.setBudget(2'000'000);
  else
    for (int Request = 0; Request < 40; ++Request)
      Needy.addRefused(Shop, Tokens(10'000), Fleet.Now_);
  if (Case.Lacked_ > 0) {
    ASSERT_FALSE(Needy.reserve(Shop, Tokens(Fleet.granted(0) + Case.Lacked_),
                               false, Fleet.Now_));
  }
  // The draws conflict, but what the router writes for itself alone does not.
  Fleet.advance(600ms);
  for (int Transaction = 0; Transaction < 2; ++Transaction) {
    Fleet.advance();
    auto Change = Needy.nextTransaction(Fleet.Now_);
    if (!Change)
      continue;
    base::TransactionResult Conflict;
    Conflict.Status_ = base::TransactionStatus::Conflict;
    Needy.onTransaction(TwoRouters::changesTotal(*Change)
                            ? Conflict
                            : Fleet.Table_.apply(*Change, Fleet.TableTime_),
                        Fleet.Now_);
  }
  bool Changed = false;
  for (milliseconds Time = 0ms; Time < 2s; Time += TwoRouters::Step) {
    Fleet.advance();
    Changed = Fleet.turn(Other) || Changed;
  }
  EXPECT_EQ(Changed, Case.ChangesTotal_);
}

INSTANTIATE_TEST_SUITE_P(
    Reasons, YieldTest,
    testing::Values(
        YieldCase{"draw", RoutineChange::DrawsOfALargerBudget, 0, true},
        YieldCase{"draw_while_another_lacks_tokens",
                  RoutineChange::DrawsOfALargerBudget, 50'000, false},
        YieldCase{"return", RoutineChange::ReturnsForDemandElsewhere, 0, true},
        YieldCase{"return_while_the_table_has_what_another_lacks",
                  RoutineChange::ReturnsForDemandElsewhere, 50'000, false},
        YieldCase{"return_of_what_another_lacks",
                  RoutineChange::ReturnsForDemandElsewhere, 400'000, true}),
    [](const auto &Info) { return Info.param.Name_; });

struct LateCase {
  std::string Name_;
  /// Time that the earlier transactions took, and age of the one in progress.
  milliseconds Usual_;
  milliseconds Age_;
  EscrowRefusal Refusal_;
};

std::ostream &operator<<(std::ostream &Out, const LateCase &Value) {
  return Out << Value.Name_;
}

class LateTransactionTest : public testing::TestWithParam<LateCase> {};

// Guards against a slow host that takes the table for unreachable, since the
// answers to its transactions wait for its turns, and refuses at once what the
// transaction in progress would cover.
TEST_P(LateTransactionTest, IsJudgedByWhatTransactionsTakeOnThisHost) {
  const LateCase &Case = GetParam();
  TwoRouters Fleet(1'000'000);
  Fleet.run(2s);
  Escrow &Router = Fleet.Routers_[0];
  auto Begin = [&] {
    std::optional<base::Transaction> Change;
    while (!Change) {
      Fleet.advance();
      Fleet.read(Router);
      Router.addRefused(Shop, Tokens(1'000), Fleet.Now_);
      if (Router.reserve(Shop, Tokens(100), false, Fleet.Now_))
        Router.settle(Shop, Tokens(100), Tokens(100), Fleet.Now_);
      Change = Router.nextTransaction(Fleet.Now_);
    }
    return *Change;
  };
  for (int Transaction = 0; Transaction < 20; ++Transaction) {
    base::Transaction Change = Begin();
    Fleet.advance(Case.Usual_);
    Router.onTransaction(Fleet.Table_.apply(Change, Fleet.TableTime_),
                         Fleet.Now_);
  }
  Begin();
  Fleet.advance(Case.Age_);
  EscrowStatus Status = Router.status(Shop, Fleet.Now_);
  auto Refused = Router.reserve(Shop, Tokens(Status.Available_.count() + 1'000),
                                false, Fleet.Now_);
  ASSERT_FALSE(Refused);
  EXPECT_EQ(Refused.error(), Case.Refusal_);
}

INSTANTIATE_TEST_SUITE_P(
    Ages, LateTransactionTest,
    testing::Values(
        LateCase{"usual_host", 20ms, 100ms, EscrowRefusal::NotYetDrawn},
        LateCase{"late_on_a_usual_host", 20ms, 300ms,
                 EscrowRefusal::TableUnreachable},
        LateCase{"slow_host", 400ms, 300ms, EscrowRefusal::NotYetDrawn},
        LateCase{"late_on_a_slow_host", 400ms, 900ms,
                 EscrowRefusal::TableUnreachable},
        LateCase{"host_that_stands_still", 2000ms, 1100ms,
                 EscrowRefusal::TableUnreachable}),
    [](const auto &Info) { return Info.param.Name_; });

struct BurstCase {
  std::string Name_;
  /// Time from building a transaction to taking its result.
  milliseconds TransactionTime_;
  std::int64_t Prepaid_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const BurstCase &Value) {
  return Out << Value.Name_;
}

class BurstTest : public testing::TestWithParam<BurstCase> {};

// Guards against a host that refuses most requests although its slice covers
// them: the ceiling of a budget that ends soon allows for the usual interval
// between checkpoints, and a slow host takes a multiple of it.
TEST_P(BurstTest, CoversTheRequestsUntilTheNextCheckpoint) {
  const BurstCase &Case = GetParam();
  constexpr std::int64_t Bound = 2'000; // 50,000 tokens a second
  constexpr milliseconds Interval = 40ms;
  TwoRouters Fleet(Case.Prepaid_);
  Fleet.run(2s);
  Escrow &Busy = Fleet.Routers_[0];
  std::optional<base::Transaction> Running;
  base::TimePoint AnswerAt{};
  int Requests = 0;
  int Served = 0;
  for (milliseconds Time = 0ms; Time < 8s; Time += TwoRouters::Step) {
    Fleet.advance();
    Fleet.turn(Fleet.Routers_[1]);
    Fleet.read(Busy);
    if (Running && Fleet.Now_ >= AnswerAt)
      Busy.onTransaction(
          Fleet.Table_.apply(*std::exchange(Running, std::nullopt),
                             Fleet.TableTime_),
          Fleet.Now_);
    if (!Running) {
      Running = Busy.nextTransaction(Fleet.Now_);
      AnswerAt = Fleet.Now_ + Case.TransactionTime_;
    }
    if (Time % Interval != 0ms)
      continue;
    bool HasTokens =
        Busy.reserve(Shop, Tokens(Bound), false, Fleet.Now_).has_value();
    if (HasTokens)
      Busy.settle(Shop, Tokens(Bound), Tokens(Bound), Fleet.Now_);
    else
      Busy.addRefused(Shop, Tokens(Bound), Fleet.Now_);
    // The first seconds show the router how slow it is.
    if (Time < 3s)
      continue;
    ++Requests;
    Served += HasTokens ? 1 : 0;
  }
  EXPECT_GE(Served, Requests * 9 / 10);
}

INSTANTIATE_TEST_SUITE_P(
    Hosts, BurstTest,
    testing::Values(BurstCase{"usual_host", 20ms, 1'000'000},
                    BurstCase{"slow_host", 400ms, 1'000'000},
                    BurstCase{"slow_host_near_the_end", 400ms, 600'000}),
    [](const auto &Info) { return Info.param.Name_; });

} // namespace
} // namespace camphorwind::budget
