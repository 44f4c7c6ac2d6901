#include "camphorwind/routing/policy.h"

#include <gtest/gtest.h>

#include <set>

using namespace camphorwind;
using namespace camphorwind::routing;

namespace {

/// A pool whose endpoint n has the reported load and the cost given at n.
struct FakeView {
  std::vector<double> Load_;
  std::vector<int> Cost_;
  std::set<EndpointIndex> RuledOut_;
  PrefixMatches Matches_;
  std::size_t LastChosen_ = 0;

  std::size_t memberCount() const { return Load_.size(); }
  EndpointIndex member(std::size_t Place) const {
    return static_cast<EndpointIndex>(Place);
  }
  std::size_t readyCount() const { return Load_.size(); }
  EndpointIndex readyAt(std::size_t Place) const { return member(Place); }
  bool ready(EndpointIndex Endpoint) const {
    return !RuledOut_.contains(Endpoint);
  }
  double reportedOccupancy(EndpointIndex Endpoint) const {
    return Load_[Endpoint];
  }
  base::Duration cost(EndpointIndex Endpoint) const {
    return std::chrono::milliseconds(Cost_[Endpoint]);
  }
  const PrefixMatches &matches() const { return Matches_; }
  std::size_t &lastChosen() { return LastChosen_; }
};

static_assert(ChoicePolicy<LeastCost, FakeView>);
static_assert(ChoicePolicy<SelectablePolicy, FakeView>);

struct ChoiceCase {
  PolicyKind Kind_;
  std::set<EndpointIndex> Chosen_;
};

class PolicyChoiceTest : public testing::TestWithParam<ChoiceCase> {};

TEST_P(PolicyChoiceTest, ChoosesByItsOwnMeasureAmongTheReady) {
  FakeView View{{3, 1, 2, 0}, {30, 20, 10, 1}, {3}, {}, 0};
  SelectablePolicy Policy(GetParam().Kind_);
  base::Random Bits(1);
  std::set<EndpointIndex> Chosen;
  for (int Round = 0; Round < 200; ++Round)
    Chosen.insert(*Policy.choose(View, Bits));
  EXPECT_EQ(Chosen, GetParam().Chosen_);
}

INSTANTIATE_TEST_SUITE_P(
    Table, PolicyChoiceTest,
    testing::Values(ChoiceCase{PolicyKind::LeastCost, {2}},
                    ChoiceCase{PolicyKind::RoundRobin, {0, 1, 2}},
                    ChoiceCase{PolicyKind::LeastLoad, {1}},
                    ChoiceCase{PolicyKind::TwoChoices, {0, 1, 2}}),
    [](const auto &Case) { return std::string(toString(Case.param.Kind_)); });

class PolicyEmptyTest : public testing::TestWithParam<PolicyKind> {};

TEST_P(PolicyEmptyTest, ChoosesNothingWhereNothingIsReady) {
  SelectablePolicy Policy(GetParam());
  base::Random Bits(1);
  FakeView None;
  EXPECT_FALSE(Policy.choose(None, Bits).has_value());
  FakeView RuledOut{{1, 1}, {1, 1}, {0, 1}, {}, 0};
  EXPECT_FALSE(Policy.choose(RuledOut, Bits).has_value());
  EXPECT_EQ(policyKindFromString(toString(GetParam())), GetParam());
}

INSTANTIATE_TEST_SUITE_P(
    Table, PolicyEmptyTest,
    testing::Values(PolicyKind::LeastCost, PolicyKind::RoundRobin,
                    PolicyKind::LeastLoad, PolicyKind::TwoChoices),
    [](const auto &Case) { return std::string(toString(Case.param)); });

TEST(PolicyTest, ShippedFindsACacheHolderAmongMany) {
  FakeView View{
      std::vector<double>(1000, 1), std::vector<int>(1000, 50), {}, {}, 0};
  View.Cost_[777] = 5;
  View.Matches_.add(777, 3);
  base::Random Bits(1);
  EXPECT_EQ(LeastCost().choose(View, Bits), 777);
}

} // namespace
