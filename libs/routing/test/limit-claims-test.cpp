#include "camphorwind/routing/limit-claims.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace camphorwind::routing {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const base::TimePoint Start{1000s};

/// Reads of claims by the router "b", and whether its claim of "e" counts.
struct ClaimCase {
  std::string Name_;
  /// When the texts were read.
  std::vector<milliseconds> Reads_;
  std::map<std::string, std::string> Texts_;
  milliseconds At_ = 0ms;
  std::optional<FleetPlace> Place_;
};

std::ostream &operator<<(std::ostream &Out, const ClaimCase &Value) {
  return Out << Value.Name_;
}

class LimitClaimsTest : public testing::TestWithParam<ClaimCase> {};

TEST_P(LimitClaimsTest, ClaimCountsOnceAllOthersKnowIt) {
  const ClaimCase &Case = GetParam();
  LimitClaims Claims;
  for (milliseconds Each : Case.Reads_)
    Claims.read(Case.Texts_, "b", Start + Each);
  EXPECT_EQ(Claims.place("e", Start + Case.At_), Case.Place_);
}

const std::vector<milliseconds> Steady{0ms, 700ms, 1400ms, 2100ms, 2800ms};

INSTANTIATE_TEST_SUITE_P(
    Claims, LimitClaimsTest,
    testing::Values(
        ClaimCase{"established", Steady, {{"b", "e"}}, 2800ms, {{1, 0}}},
        ClaimCase{"among_others",
                  Steady,
                  {{"a", "x e"}, {"b", "e x"}, {"c", "e"}, {"d", "x"}},
                  2800ms,
                  {{3, 1}}},
        ClaimCase{"too_early", {0ms, 700ms, 1400ms}, {{"b", "e"}}, 2100ms},
        ClaimCase{"read_too_old", Steady, {{"b", "e"}}, 5000ms},
        ClaimCase{"after_a_gap", {0ms, 2600ms}, {{"b", "e"}}, 2600ms},
        ClaimCase{
            "claimed_by_others_only", Steady, {{"a", "e"}, {"b", ""}}, 2800ms},
        ClaimCase{"never_read", {}, {}, 2800ms}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(LimitClaimsTextTest, IsBounded) {
  std::vector<std::string> Claims(1000, "e");
  std::string Text = LimitClaims::encode(Claims);
  EXPECT_EQ(Text.size(), 2 * LimitClaims::MaxClaims - 1);
  EXPECT_EQ(LimitClaims::encode({}), "");
}

} // namespace
} // namespace camphorwind::routing
