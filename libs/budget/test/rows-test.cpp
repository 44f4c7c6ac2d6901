#include "camphorwind/budget/rows.h"

#include <gtest/gtest.h>

#include <string>

namespace camphorwind::budget {
namespace {

using base::Tokens;

TEST(Rows, KeepEveryField) {
  const BudgetRow Budget{Tokens(900), Tokens(500), Tokens(20)};
  const auto BudgetRead = decodeBudget(encode(Budget));
  ASSERT_TRUE(BudgetRead);
  EXPECT_EQ(BudgetRead.value().ungranted(), Tokens(400));

  const SliceRow Slice{base::BudgetId("shop"), base::RouterId("router"),
                       base::Incarnation("run"), Tokens(500),
                       Tally(Tokens(3),
                             {{base::Incarnation("agent"), {7, Tokens(70)}}},
                             {{base::AttemptId("x"), {Tokens(9), false}},
                              {base::AttemptId("y"), {Tokens(8), true}}})};
  const auto SliceRead = decodeSlice(encode(Slice));
  ASSERT_TRUE(SliceRead);
  EXPECT_EQ(SliceRead.value().held(), Tokens(500 - 3 - 70 - 9));
  EXPECT_EQ(SliceRead.value().Tally_.listed(), Slice.Tally_.listed());

  LeaseRow Lease{base::RouterId("router"),
                 base::Incarnation("run"),
                 LeaseState::Revoked,
                 42,
                 {}};
  Lease.Witnesses_.push_back({base::Incarnation("agent"),
                              base::EndpointId("endpoint"),
                              base::HostId("host"), "192.0.2.1:9000"});
  const auto LeaseRead = decodeLease(encode(Lease));
  ASSERT_TRUE(LeaseRead);
  EXPECT_EQ(LeaseRead.value().Witnesses_, Lease.Witnesses_);
  EXPECT_EQ(LeaseRead.value().State_, LeaseState::Revoked);
  EXPECT_EQ(LeaseRead.value().Transaction_, 42U);
}

struct BadRow {
  std::string Name_;
  std::string Text_;
  RowError Error_ = RowError::NotJson;
};

class BadBudgetRow : public testing::TestWithParam<BadRow> {};

TEST_P(BadBudgetRow, IsRefused) {
  const auto Read = decodeBudget(GetParam().Text_);
  ASSERT_FALSE(Read);
  EXPECT_EQ(Read.error(), GetParam().Error_);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, BadBudgetRow,
    testing::Values(
        BadRow{"not_json", "{", RowError::NotJson},
        BadRow{"array", "[1]", RowError::NotJson},
        BadRow{"missing", R"({"prepaid":1,"committed":0})",
               RowError::MissingField},
        BadRow{"text", R"({"prepaid":"1","committed":0,"billed":0})",
               RowError::WrongType},
        BadRow{"negative", R"({"prepaid":1,"committed":0,"billed":-1})",
               RowError::OutOfRange},
        BadRow{"too_large",
               R"({"prepaid":18446744073709551615,"committed":0,"billed":0})",
               RowError::OutOfRange},
        BadRow{"over_committed", R"({"prepaid":1,"committed":2,"billed":0})",
               RowError::OutOfRange}),
    [](const auto &Info) { return Info.param.Name_; });

} // namespace
} // namespace camphorwind::budget
