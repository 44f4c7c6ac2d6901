#include "camphorwind/routing/slow-start.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <ostream>
#include <string>

namespace camphorwind::routing {
namespace {

/// Answers of an endpoint that has just started: `+` in time, `-` late, `x`
/// failed.
struct AnswerCase {
  std::string Name_;
  std::string Answers_;
  std::uint32_t Window_ = 1;
  bool Active_ = true;
};

std::ostream &operator<<(std::ostream &Out, const AnswerCase &Value) {
  return Out << Value.Name_;
}

class SlowStartTest : public testing::TestWithParam<AnswerCase> {};

// Guards against an endpoint that has just started and is either flooded
// before it has shown that it keeps up, or left idle although it does.
TEST_P(SlowStartTest, WindowFollowsTheAnswers) {
  SlowStart Start;
  constexpr std::uint32_t FullWindow = 8;
  Start.begin(FullWindow);
  for (char Each : GetParam().Answers_) {
    if (Each == 'x')
      Start.failed();
    else
      Start.answered(Each == '+');
  }
  EXPECT_EQ(Start.active(), GetParam().Active_);
  EXPECT_TRUE(Start.admits(GetParam().Window_ - 1));
  EXPECT_EQ(Start.admits(GetParam().Window_), !GetParam().Active_);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, SlowStartTest,
    testing::Values(AnswerCase{"none", "", 1, true},
                    AnswerCase{"one_in_time", "+", 2, true},
                    AnswerCase{"full_window_in_time", "+++", 4, true},
                    AnswerCase{"part_of_a_window", "++", 2, true},
                    AnswerCase{"all_in_time", "+++++++", 8, false},
                    AnswerCase{"late_answer_halves", "+++-", 2, true},
                    AnswerCase{"failure_halves", "+++x", 2, true},
                    AnswerCase{"never_below_one", "x-x-", 1, true},
                    AnswerCase{"recovers_after_failures", "xxx+++", 4, true}),
    [](const auto &Info) { return Info.param.Name_; });

} // namespace
} // namespace camphorwind::routing
