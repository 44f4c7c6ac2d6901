#include "camphorwind/budget/bound.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace camphorwind::budget {
namespace {

using base::Tokens;

struct BoundCase {
  std::string Name_;
  RequestSizes Shape_;
  ModelLimits Limits_;
  std::optional<Tokens> Bound_;
  BoundError Error_ = BoundError::NoOutputLimit;
};

ModelLimits limits(std::int64_t PerMedia, std::int64_t Window) {
  return {Tokens(4), Tokens(10), Tokens(PerMedia), Tokens(Window)};
}

class Bound : public testing::TestWithParam<BoundCase> {};

TEST_P(Bound, CoversPromptAndOutput) {
  const auto Found = requestBound(GetParam().Shape_, GetParam().Limits_);
  ASSERT_EQ(Found.has_value(), GetParam().Bound_.has_value());
  if (Found)
    EXPECT_EQ(Found.value(), *GetParam().Bound_);
  else
    EXPECT_EQ(Found.error(), GetParam().Error_);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, Bound,
    testing::Values(BoundCase{"one_token_a_byte",
                              {100, 2, 0, Tokens(50)},
                              limits(0, 0),
                              Tokens(100 + 8 + 10 + 50)},
                    BoundCase{"media",
                              {0, 1, 3, Tokens(1)},
                              limits(1000, 0),
                              Tokens(4 + 3000 + 10 + 1)},
                    BoundCase{"window_caps_prompt",
                              {100000, 1, 0, Tokens(50)},
                              limits(0, 8000),
                              Tokens(8050)},
                    BoundCase{"saturates",
                              {~std::size_t(0), 1, 0, Tokens(50)},
                              limits(0, 0),
                              Tokens::max()},
                    BoundCase{"no_output_limit",
                              {1, 1, 0, Tokens(0)},
                              limits(0, 0),
                              {},
                              BoundError::NoOutputLimit},
                    BoundCase{"no_media_model",
                              {1, 1, 1, Tokens(5)},
                              limits(0, 0),
                              {},
                              BoundError::MediaNotSupported},
                    BoundCase{"output_over_window",
                              {1, 1, 0, Tokens(9000)},
                              limits(0, 8000),
                              {},
                              BoundError::OverContextWindow}),
    [](const auto &Info) { return Info.param.Name_; });

} // namespace
} // namespace camphorwind::budget
