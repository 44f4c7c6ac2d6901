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

} // namespace
} // namespace camphorwind::budget
