#include "camphorwind/routing/policy.h"

#include <gtest/gtest.h>

#include <set>

using namespace camphorwind;
using namespace camphorwind::routing;

namespace {

/// A pool in which endpoint n has the reported occupancy Occupancy_[n] and the
/// cost Cost_[n] in milliseconds.
struct FakeView {
  std::vector<double> Occupancy_;
  std::vector<int> Cost_;
  std::set<EndpointIndex> Excluded_;
  PrefixMatches Matches_;
  std::size_t LastChosen_ = 0;

  std::size_t memberCount() const { return Occupancy_.size(); }
  EndpointIndex member(std::size_t Position) const {
    return static_cast<EndpointIndex>(Position);
  }
  std::size_t readyCount() const { return Occupancy_.size(); }
  EndpointIndex readyAt(std::size_t Position) const { return member(Position); }
  bool ready(EndpointIndex Endpoint) const {
    return !Excluded_.contains(Endpoint);
  }
  double reportedOccupancy(EndpointIndex Endpoint) const {
    return Occupancy_[Endpoint];
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

TEST_P(PolicyChoiceTest, ChoosesReadyEndpointsByItsOwnCriterion) {
  FakeView View{{3, 1, 2, 0}, {30, 20, 10, 1}, {3}, {}, 0};
  SelectablePolicy Policy(GetParam().Kind_);
  base::Random Random(1);
  std::set<EndpointIndex> Chosen;
  for (int Round = 0; Round < 200; ++Round)
    Chosen.insert(*Policy.choose(View, Random));
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

TEST_P(PolicyEmptyTest, ReturnsNothingWithoutReadyEndpoints) {
  SelectablePolicy Policy(GetParam());
  base::Random Random(1);
  FakeView Empty;
  EXPECT_FALSE(Policy.choose(Empty, Random).has_value());
  FakeView AllExcluded{{1, 1}, {1, 1}, {0, 1}, {}, 0};
  EXPECT_FALSE(Policy.choose(AllExcluded, Random).has_value());
  EXPECT_EQ(policyKindFromString(toString(GetParam())), GetParam());
}

INSTANTIATE_TEST_SUITE_P(
    Table, PolicyEmptyTest,
    testing::Values(PolicyKind::LeastCost, PolicyKind::RoundRobin,
                    PolicyKind::LeastLoad, PolicyKind::TwoChoices),
    [](const auto &Case) { return std::string(toString(Case.param)); });

TEST(PolicyTest, LeastCostFindsACacheHolderAmongManyEndpoints) {
  FakeView View{
      std::vector<double>(1000, 1), std::vector<int>(1000, 50), {}, {}, 0};
  View.Cost_[777] = 5;
  View.Matches_.add(777, 3);
  base::Random Random(1);
  EXPECT_EQ(LeastCost().choose(View, Random), 777);
}

} // namespace
