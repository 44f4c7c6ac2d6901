#include "camphorwind/direct/evacuations.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

namespace camphorwind::direct {
namespace {

using namespace std::chrono_literals;

const base::FailureDomainId North("north");
const base::FailureDomainId South("south");
const base::TimePoint Start{1h};

enum class Step { Begin, End, ReadWith, ReadWithout, Restore, Grace };

struct Sequence {
  std::string Name_;
  std::vector<Step> Steps_;
  /// Whether the domain is evacuated after the last step.
  bool Evacuated_ = false;
  /// Ends of evacuations that were reported.
  int Returns_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const Sequence &Value) {
  return Out << Value.Name_;
}

class EvacuationsTest : public testing::TestWithParam<Sequence> {};

// Guards against requests to a domain that the operator wants empty, and
// against returns that go unnoticed, so that cold endpoints are flooded.
TEST_P(EvacuationsTest, FollowsTheOperatorsRows) {
  Evacuations Domains;
  base::TimePoint Now = Start;
  for (Step Each : GetParam().Steps_) {
    switch (Each) {
    case Step::Begin:
      Domains.begin(North);
      break;
    case Step::End:
      Domains.end(North);
      break;
    case Step::ReadWith:
      Domains.replace({South, North}, Now);
      break;
    case Step::ReadWithout:
      Domains.replace({South}, Now);
      break;
    case Step::Restore:
      Domains.markRestored();
      break;
    case Step::Grace:
      Now += Evacuations::RestoreGrace;
      break;
    }
    Domains.tick(Now);
  }
  EXPECT_EQ(Domains.contains(North), GetParam().Evacuated_);
  int Returns = 0;
  for (const EvacuationChange &Each : Domains.takeChanges())
    Returns += Each.Domain_ == North && !Each.Evacuated_ ? 1 : 0;
  EXPECT_EQ(Returns, GetParam().Returns_);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, EvacuationsTest,
    testing::Values(
        Sequence{"set", {Step::Begin}, true, 0},
        Sequence{"set_twice", {Step::Begin, Step::Begin}, true, 0},
        Sequence{"set_and_removed", {Step::Begin, Step::End}, false, 1},
        Sequence{"set_again", {Step::Begin, Step::End, Step::Begin}, true, 1},
        Sequence{"removed_before_it_was_read", {Step::End}, false, 1},
        Sequence{"missing_from_a_read",
                 {Step::ReadWith, Step::ReadWithout},
                 false,
                 1},
        Sequence{"missing_after_a_restore",
                 {Step::ReadWith, Step::Restore, Step::ReadWithout},
                 true,
                 0},
        Sequence{"written_again_after_a_restore",
                 {Step::ReadWith, Step::Restore, Step::ReadWithout, Step::Begin,
                  Step::Grace},
                 true,
                 0},
        Sequence{
            "not_written_again",
            {Step::ReadWith, Step::Restore, Step::ReadWithout, Step::Grace},
            false,
            1},
        Sequence{"removed_in_the_grace_period",
                 {Step::ReadWith, Step::Restore, Step::ReadWithout, Step::End},
                 false,
                 1}),
    [](const auto &Info) { return Info.param.Name_; });

} // namespace
} // namespace camphorwind::direct
