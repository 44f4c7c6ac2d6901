#include "camphorwind/budget/loans.h"

#include "fake-table.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace camphorwind::budget {
namespace {

using base::Tokens;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

const base::AccountId Shop("shop");

/// Routers that share one budget, each with its slices and loans. Messages
/// between routers are function calls.
class Fleet {
public:
  Fleet(std::size_t Routers, std::int64_t Prepaid) : Prepaid_(Prepaid) {
    for (std::size_t Index = 0; Index < Routers; ++Index) {
      EscrowSettings Settings;
      std::string Name = "r" + std::to_string(Index);
      Settings.Router_ = base::RouterId(Name);
      Settings.Incarnation_ = base::Incarnation(Name + ".1");
      Settings.StartedAt_ = Now_;
      Settings.ExpectedRouters_ = Routers;
      Settings.LoanAddress_ = Name;
      Routers_.push_back(
          {std::move(Escrow::create(Settings)).value(), {}, {}, {}});
      Routers_.back().Slices_.setBudget(Shop, Tokens(Prepaid));
    }
  }

  /// Advances the time; routers call the table unless they are cut off.
  void run(milliseconds Span, bool CutOff = false) {
    constexpr milliseconds Step = 50ms;
    for (milliseconds Elapsed = 0ms; Elapsed < Span; Elapsed += Step) {
      Now_ += Step;
      TableTime_ += Step;
      for (Router &Each : Routers_) {
        Each.Lender_.expire(Each.Slices_, Now_);
        if (CutOff)
          continue;
        if (Each.Slices_.needsRows(Now_))
          Each.Slices_.onRows(Table_.scan(TableTime_), Now_, Now_);
        if (auto Change = Each.Slices_.nextTransaction(Now_))
          Each.Slices_.onTransaction(Table_.apply(*Change, TableTime_), Now_);
      }
    }
  }

  /// Reserves and spends tokens at a router, with a loan if needed and allowed.
  bool serve(std::size_t Index, std::int64_t Bound, bool Borrows) {
    Router &Own = Routers_[Index];
    if (Own.Slices_.reserve(Shop, Tokens(Bound), false, Now_)) {
      Own.Slices_.settle(Shop, Tokens(Bound), Tokens(Bound), Now_);
      Spent_ += Bound;
      return true;
    }
    if (!Borrows)
      return false;
    auto Lenders = Own.Choice_.choose(
        Shop, Tokens(Bound), Own.Slices_.lenders(Shop, Tokens(Bound), Now_),
        Random_, Now_);
    for (const std::string &Address : Lenders) {
      Router &Other = Routers_[std::stoul(Address.substr(1))];
      std::string Id = "loan" + std::to_string(++LastLoan_);
      bool Granted = Other.Lender_.lend(
          Other.Slices_, {Id, Shop, Tokens(Bound), false, 2s}, Now_);
      Own.Choice_.reported(Shop, Address,
                           Other.Slices_.status(Shop, Now_).Available_, Now_);
      if (!Granted)
        continue;
      Own.Slices_.addBorrowed(Shop, Tokens(Bound), Now_);
      Other.Lender_.settle(Other.Slices_, Id, Tokens(Bound), Now_);
      Own.Slices_.settleBorrowed(Shop, Tokens(Bound), Tokens(Bound), Now_);
      Spent_ += Bound;
      return true;
    }
    return false;
  }

  struct Router {
    Escrow Slices_;
    Lender Lender_;
    LenderChoice Choice_;
    std::set<std::string> Ids_;
  };

  std::vector<Router> Routers_;
  base::Random Random_{7};
  base::TimePoint Now_{std::chrono::hours(1)};
  std::int64_t Prepaid_;
  std::int64_t Spent_ = 0;

private:
  test::FakeTable Table_;
  milliseconds TableTime_{1'000'000};
  int LastLoan_ = 0;
};

class LenderTest : public testing::Test {
protected:
  LenderTest() { Fleet_.run(1s); }

  Fleet::Router &lender() { return Fleet_.Routers_[0]; }
  bool lend(const std::string &Id, std::int64_t Bound) {
    return lender().Lender_.lend(
        lender().Slices_, {Id, Shop, Tokens(Bound), false, 2s}, Fleet_.Now_);
  }
  void settle(const std::string &Id, std::int64_t Spent) {
    lender().Lender_.settle(lender().Slices_, Id, Tokens(Spent), Fleet_.Now_);
  }
  EscrowStatus status() { return lender().Slices_.status(Shop, Fleet_.Now_); }

  Fleet Fleet_{2, 1'000'000};
};

TEST_F(LenderTest, LoanCountsAsReservedUntilItIsSettled) {
  ASSERT_TRUE(lend("a", 2000));
  EXPECT_EQ(status().Reserved_, Tokens(2000));
  settle("a", 700);
  EXPECT_EQ(status().Reserved_, Tokens(0));
  EXPECT_EQ(status().Used_, Tokens(700));
}

TEST_F(LenderTest, RepeatedMessagesChangeNothing) {
  EXPECT_TRUE(lend("a", 2000));
  EXPECT_TRUE(lend("a", 2000));
  EXPECT_EQ(status().Reserved_, Tokens(2000));
  settle("a", 500);
  settle("a", 500);
  EXPECT_EQ(status().Used_, Tokens(500));
}

TEST_F(LenderTest, RequestThatArrivesAfterItsSettlementGetsNothing) {
  settle("a", 0);
  EXPECT_FALSE(lend("a", 2000));
  EXPECT_EQ(status().Reserved_, Tokens(0));
}

TEST_F(LenderTest, UnsettledLoanCountsAsSpentInFull) {
  ASSERT_TRUE(lend("a", 2000));
  Fleet_.run(2s + Lender::SettlementGrace - 100ms);
  EXPECT_EQ(status().Reserved_, Tokens(2000));
  Fleet_.run(200ms);
  EXPECT_EQ(status().Reserved_, Tokens(0));
  EXPECT_EQ(status().Used_, Tokens(2000));
  EXPECT_EQ(lender().Lender_.openLoans(), 0u);
  settle("a", 100);
  EXPECT_EQ(status().Used_, Tokens(2000));
}

TEST_F(LenderTest, LendsNoMoreThanItMaySpendAndTakesNoPartInTheDemand) {
  std::int64_t Available = status().Available_.count();
  EXPECT_FALSE(lend("a", Available + 1));
  EXPECT_TRUE(lend("b", Available));
  EXPECT_FALSE(lend("c", 1));
  Fleet_.run(100ms);
  // A refused loan is no refused request of this router.
  EXPECT_LE(status().Granted_.count(), 1'000'000);
}

// Guards against slices that grow where tokens are lent instead of where the
// requests arrive.
TEST_F(LenderTest, LoanIsDemandOfTheBorrower) {
  Fleet::Router &Borrower = Fleet_.Routers_[1];
  std::int64_t LenderBefore = status().Granted_.count();
  for (int Loan = 0; Loan < 40; ++Loan) {
    std::string Id = "loan" + std::to_string(Loan);
    ASSERT_TRUE(lend(Id, 2000));
    Borrower.Slices_.addBorrowed(Shop, Tokens(2000), Fleet_.Now_);
    settle(Id, 1500);
    Borrower.Slices_.settleBorrowed(Shop, Tokens(2000), Tokens(1500),
                                    Fleet_.Now_);
    Fleet_.run(600ms);
  }
  EXPECT_EQ(status().Used_, Tokens(60'000));
  EXPECT_EQ(status().Reserved_, Tokens(0));
  EXPECT_LT(status().Granted_.count(), LenderBefore);
  EXPECT_GT(Borrower.Slices_.status(Shop, Fleet_.Now_).Granted_.count(),
            2 * status().Granted_.count());
}

TEST_F(LenderTest, ClosingRouterLendsNothing) {
  lender().Slices_.close();
  EXPECT_FALSE(lend("a", 100));
}

TEST_F(LenderTest, SpentIsBoundedByTheLoan) {
  ASSERT_TRUE(lend("a", 2000));
  settle("a", 9000);
  EXPECT_EQ(status().Used_, Tokens(2000));
}

/// Which of three lenders are asked.
struct ChoiceCase {
  std::string Name_;
  std::vector<std::int64_t> Available_;
  std::vector<std::size_t> Unreachable_;
  /// What the first lender stated, and how long ago.
  std::int64_t Reported_ = -1;
  milliseconds ReportAge_{0};
  std::set<std::string> Expected_;
};

std::ostream &operator<<(std::ostream &Out, const ChoiceCase &Value) {
  return Out << Value.Name_;
}

class LenderChoiceTest : public testing::TestWithParam<ChoiceCase> {};

TEST_P(LenderChoiceTest, AsksOnlyRoutersThatMayHaveTheTokens) {
  const ChoiceCase &Case = GetParam();
  LenderChoice Choice;
  base::Random Random{3};
  base::TimePoint Now{std::chrono::hours(1)};
  std::vector<LenderCandidate> Candidates;
  for (std::size_t Index = 0; Index < Case.Available_.size(); ++Index)
    Candidates.push_back(
        {"r" + std::to_string(Index), Tokens(Case.Available_[Index])});
  for (std::size_t Each : Case.Unreachable_)
    Choice.unreachable(Candidates[Each].Address_, Now);
  if (Case.Reported_ >= 0)
    Choice.reported(Shop, "r0", Tokens(Case.Reported_), Now - Case.ReportAge_);
  auto Chosen = Choice.choose(Shop, Tokens(1000), Candidates, Random, Now);
  EXPECT_EQ(std::set<std::string>(Chosen.begin(), Chosen.end()),
            Case.Expected_);
  EXPECT_EQ(Chosen.size(), Case.Expected_.size());
}

INSTANTIATE_TEST_SUITE_P(
    Lenders, LenderChoiceTest,
    testing::Values(
        ChoiceCase{"all", {5000, 5000, 5000}, {}, -1, 0ms, {"r0", "r1", "r2"}},
        ChoiceCase{"too_small", {5000, 999, 1000}, {}, -1, 0ms, {"r0", "r2"}},
        ChoiceCase{
            "unreachable", {5000, 5000, 5000}, {1}, -1, 0ms, {"r0", "r2"}},
        ChoiceCase{"reported_empty", {5000, 5000}, {}, 10, 100ms, {"r1"}},
        ChoiceCase{"old_report", {5000, 5000}, {}, 10, 2s, {"r0", "r1"}},
        ChoiceCase{"none", {}, {}, -1, 0ms, {}},
        ChoiceCase{"no_more_than_three",
                   {5000, 0, 5000, 0, 5000},
                   {},
                   -1,
                   0ms,
                   {"r0", "r2", "r4"}}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(LenderChoiceTest, ManyBorrowersSpreadOverTheLenders) {
  LenderChoice Choice;
  base::Random Random{3};
  std::map<std::string, int> First;
  for (int Call = 0; Call < 300; ++Call)
    ++First[Choice
                .choose(Shop, Tokens(1000),
                        {{"a", Tokens(9000)},
                         {"b", Tokens(9000)},
                         {"c", Tokens(9000)}},
                        Random, base::TimePoint{std::chrono::hours(1)})
                .front()];
  for (const auto &[Address, Calls] : First)
    EXPECT_GT(Calls, 60) << Address;
}

/// Load on many routers that share one budget, so that a slice is about as
/// large as a request.
struct FragmentationCase {
  std::string Name_;
  std::size_t Routers_ = 27;
  std::int64_t Budget_ = 6'000'000;
  /// Time without the table; routers still reach each other.
  milliseconds Outage_{0};
  /// All requests move to the first few routers.
  std::size_t BusyRouters_ = 27;
};

std::ostream &operator<<(std::ostream &Out, const FragmentationCase &Value) {
  return Out << Value.Name_;
}

class FragmentationTest : public testing::TestWithParam<FragmentationCase> {
protected:
  /// Returns the fraction of the requests that got no tokens.
  double refusedShare(bool Borrows) {
    const FragmentationCase &Case = GetParam();
    constexpr milliseconds Step = 50ms;
    constexpr double RequestsPerStep = 1.2;
    constexpr double MeanSize = 6000;
    Fleet Tested(Case.Routers_, Case.Budget_);
    Tested.run(1s);
    std::mt19937 Random(11);
    std::poisson_distribution<int> Arrivals(RequestsPerStep);
    std::exponential_distribution<> Size(1 / MeanSize);
    int Requests = 0;
    int Refused = 0;
    auto Load = [&](milliseconds Span, bool CutOff, std::size_t Busy,
                    bool Counted) {
      for (milliseconds Elapsed = 0ms; Elapsed < Span; Elapsed += Step) {
        for (int Left = Arrivals(Random); Left > 0; --Left) {
          auto Bound = 500 + static_cast<std::int64_t>(Size(Random));
          bool Served = Tested.serve(Random() % Busy, Bound, Borrows);
          Requests += Counted ? 1 : 0;
          Refused += Counted && !Served ? 1 : 0;
        }
        Tested.run(Step, CutOff);
      }
    };
    Load(6s, false, Case.Routers_, false);
    Load(Case.Outage_, true, Case.Routers_, true);
    Load(6s, false, Case.BusyRouters_, true);
    EXPECT_LE(Tested.Spent_, Case.Budget_);
    return static_cast<double>(Refused) / Requests;
  }
};

TEST_P(FragmentationTest, LoansHalveTheRequestsWithoutTokens) {
  double Alone = refusedShare(false);
  double WithLoans = refusedShare(true);
  EXPECT_GT(Alone, 0);
  EXPECT_LT(WithLoans, Alone / 2) << Alone;
}

INSTANTIATE_TEST_SUITE_P(
    Loads, FragmentationTest,
    testing::Values(FragmentationCase{"many_routers_one_small_account"},
                    FragmentationCase{"all_routers_cut_from_the_table", 27,
                                      6'000'000, 8s},
                    FragmentationCase{"callers_move_to_few_routers", 27,
                                      6'000'000, 0ms, 5}),
    [](const auto &Info) { return Info.param.Name_; });

} // namespace
} // namespace camphorwind::budget
