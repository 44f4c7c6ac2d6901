#include "camphorwind/request/view-row.h"

#include <gtest/gtest.h>

using namespace camphorwind;
using namespace camphorwind::request;

namespace {

ListedAgent listed(const char *Endpoint, const char *Agent) {
  return {base::EndpointId(Endpoint), base::FailureDomainId("bkk-silom"),
          base::Incarnation(Agent)};
}

const ViewRow TwoViews{{{1, {listed("e1", "a1"), listed("e2", "b1")}},
                        {2, {listed("e1", "a2"), listed("e2", "b1")}}}};

struct NextCase {
  const char *Name_;
  std::vector<ListedAgent> Configured_;
  /// Agents of the new view; empty when no view is added.
  std::vector<ListedAgent> Expected_;
};

class NextViewRowTest : public testing::TestWithParam<NextCase> {};

TEST_P(NextViewRowTest, AddsViewOnlyForUnlistedIncarnationOrChangedEndpoints) {
  auto Next = nextViewRow(TwoViews, GetParam().Configured_);
  ASSERT_EQ(Next.has_value(), !GetParam().Expected_.empty());
  if (!Next)
    return;
  ASSERT_EQ(Next->Views_.size(), 3U);
  EXPECT_EQ(Next->Views_.back().Number_, 3U);
  EXPECT_EQ(Next->Views_.back().Agents_, GetParam().Expected_);
}

INSTANTIATE_TEST_SUITE_P(
    Table, NextViewRowTest,
    testing::Values(
        NextCase{"Unchanged", {listed("e2", "b1"), listed("e1", "a2")}, {}},
        NextCase{"EarlierIncarnationIsNotListedAgain",
                 {listed("e1", "a1"), listed("e2", "b1")},
                 {}},
        NextCase{"EndpointWithoutLinkKeepsListedAgent",
                 {listed("e1", ""), listed("e2", "b1")},
                 {}},
        NextCase{"Restarted",
                 {listed("e1", "a3"), listed("e2", "")},
                 {listed("e1", "a3"), listed("e2", "b1")}},
        NextCase{"Removed", {listed("e2", "b1")}, {listed("e2", "b1")}},
        NextCase{"Added",
                 {listed("e1", "a2"), listed("e2", "b1"), listed("e3", "c1")},
                 {listed("e1", "a2"), listed("e2", "b1"), listed("e3", "c1")}}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(ViewRowTest, RoundTripAndMalformedText) {
  auto Copy = decodeViewRow(encodeViewRow(TwoViews));
  ASSERT_TRUE(Copy);
  ASSERT_EQ(Copy->Views_.size(), 2U);
  EXPECT_EQ(Copy->Views_[1].Agents_, TwoViews.Views_[1].Agents_);
  for (const char *Text : {"", "[]", "{}", R"({"views":[{"number":1}]})",
                           R"({"views":[{"number":1,"agents":[{}]}]})"})
    EXPECT_FALSE(decodeViewRow(Text)) << Text;
}

} // namespace
