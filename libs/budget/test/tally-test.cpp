#include "camphorwind/budget/tally.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace camphorwind::budget {
namespace {

using base::AttemptId;
using base::Incarnation;
using base::Tokens;

CommittedAttempt commit(const std::string &Attempt, std::int64_t Used) {
  return {AttemptId(Attempt), Tokens(Used)};
}

WitnessReport report(const std::string &Agent, Counter Count,
                     std::vector<CommittedAttempt> Unacknowledged = {},
                     std::vector<CommittedAttempt> FallbackCommits = {}) {
  return {Incarnation(Agent), base::SliceId("slice"), Count,
          std::move(Unacknowledged), std::move(FallbackCommits)};
}

struct TallyCase {
  std::string Name_;
  std::vector<WitnessReport> Reports_;
  std::int64_t Total_ = 0;
};

class TallyMerge : public testing::TestWithParam<TallyCase> {};

TEST_P(TallyMerge, EndsAtTheSameTotalInAnyOrder) {
  std::vector<std::size_t> Order(GetParam().Reports_.size());
  for (std::size_t Index = 0; Index < Order.size(); ++Index)
    Order[Index] = Index;
  do {
    Tally Sum;
    for (int Round = 0; Round < 2; ++Round)
      for (const std::size_t Index : Order)
        Sum.merge(GetParam().Reports_[Index]);
    EXPECT_EQ(Sum.total(), Tokens(GetParam().Total_));
    const Tally Copy(Sum.folded(), Sum.counters(), Sum.listed());
    EXPECT_EQ(Copy.total(), Sum.total());
  } while (std::next_permutation(Order.begin(), Order.end()));
}

INSTANTIATE_TEST_SUITE_P(
    Cases, TallyMerge,
    testing::Values(
        TallyCase{"counters_by_highest_sequence",
                  {report("a", {1, Tokens(10)}), report("a", {3, Tokens(35)}),
                   report("a", {2, Tokens(20)}), report("b", {1, Tokens(5)})},
                  40},
        TallyCase{"lost_reply_then_fallback_counts_once",
                  {report("a", {1, Tokens(100)}, {commit("x", 100)}),
                   report("b", {}, {}, {commit("x", 100)})},
                  100},
        TallyCase{"fallback_at_two_witnesses_counts_once",
                  {report("b", {}, {}, {commit("x", 100)}),
                   report("c", {}, {}, {commit("x", 100)})},
                  100},
        TallyCase{"fallback_with_silent_agent",
                  {report("a", {4, Tokens(40)}),
                   report("b", {}, {}, {commit("x", 100)})},
                  140},
        TallyCase{"executing_agent_counts_late",
                  {report("a", {4, Tokens(40)}),
                   report("b", {2, Tokens(7)}, {}, {commit("x", 100)}),
                   report("a", {5, Tokens(140)}, {commit("x", 100)})},
                  147}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(Tally, KeepsFoldedCounters) {
  Tally Sum;
  Sum.merge(report("a", {2, Tokens(30)}));
  Sum.fold(Incarnation("a"));
  EXPECT_EQ(Sum.total(), Tokens(30));
  EXPECT_TRUE(Sum.counters().empty());
}

TEST(Tally, ForgetsOnlyCountedCommits) {
  Tally Sum;
  Sum.merge(report("a", {1, Tokens(10)}, {commit("x", 10)}));
  Sum.merge(report("b", {}, {}, {commit("y", 20)}));
  Sum.forget(AttemptId("x"));
  Sum.forget(AttemptId("y"));
  EXPECT_EQ(Sum.listed().size(), 1U);
  EXPECT_EQ(Sum.total(), Tokens(30));
}

} // namespace
} // namespace camphorwind::budget
