#include "camphorwind/routing/host-load.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace camphorwind::routing {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const base::TimePoint Start{1000s};

/// A request at a router that has just read another one after a wait.
struct ShedCase {
  std::string Name_;
  milliseconds Lag_{0};
  RequestNeeds Request_;
  bool Refused_ = false;
};

std::ostream &operator<<(std::ostream &Out, const ShedCase &Value) {
  return Out << Value.Name_;
}

class SheddingTest : public testing::TestWithParam<ShedCase> {};

// Guards against a router that is resumed after a pause of one second with 90
// requests, serves all of them, and answers each one later than the one before.
TEST_P(SheddingTest, RefusesWhatWouldBeLate) {
  HostLoad Load(Start);
  Load.observe(GetParam().Lag_, Start);
  EXPECT_EQ(Load.mustRefuse(GetParam().Request_, Start), GetParam().Refused_);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, SheddingTest,
    testing::Values(
        ShedCase{"calm", 20ms, {20ms, 500ms, 2}, false},
        ShedCase{"short_lag", 250ms, {250ms, 150ms, 2}, false},
        ShedCase{"late_and_urgent", 1000ms, {1000ms, 500ms, 0}, true},
        ShedCase{"in_time_and_urgent", 400ms, {400ms, 500ms, 0}, false},
        ShedCase{"in_time_but_less_urgent", 400ms, {400ms, 500ms, 1}, true},
        ShedCase{"long_objective", 400ms, {400ms, 1200ms, 2}, false},
        ShedCase{"lag_of_others", 1000ms, {0ms, 500ms, 0}, true}),
    [](const auto &Info) { return Info.param.Name_; });

// Guards against shedding that goes on after the lag has ended.
TEST(HostLoadTest, ServesAgainOnceTheLagHasEnded) {
  HostLoad Load(Start);
  Load.observe(1s, Start);
  ASSERT_TRUE(Load.overloaded());
  base::TimePoint Later = Start + 4 * HostLoad::LagHalfLife;
  Load.tick({}, FleetTime(0), Later);
  EXPECT_FALSE(Load.overloaded());
  EXPECT_FALSE(Load.mustRefuse({0ms, 500ms, 2}, Later));
}

/// Routers of which all are overloaded all the time, or by turns.
struct ReadinessCase {
  std::string Name_;
  std::size_t Routers_ = 6;
  milliseconds OverloadedFor_{0};
  milliseconds CalmFor_{0};
};

std::ostream &operator<<(std::ostream &Out, const ReadinessCase &Value) {
  return Out << Value.Name_;
}

class ReadinessTest : public testing::TestWithParam<ReadinessCase> {};

// Guards against a fleet without ready routers, routers that are not ready for
// an eighth of the time, and readiness that changes with every burst.
TEST_P(ReadinessTest, WithdrawsReadinessForLimitedTime) {
  const ReadinessCase &Case = GetParam();
  constexpr milliseconds Step = 50ms;
  constexpr milliseconds Length = 120s;
  std::vector<HostLoad> Routers(Case.Routers_, HostLoad(Start));
  std::vector<milliseconds> Unready(Case.Routers_, 0ms);
  std::vector<int> Changes(Case.Routers_, 0);
  milliseconds Period = Case.OverloadedFor_ + Case.CalmFor_;
  for (milliseconds Time = 0ms; Time < Length; Time += Step) {
    std::size_t UnreadyNow = 0;
    for (std::size_t Index = 0; Index < Case.Routers_; ++Index) {
      HostLoad &Each = Routers[Index];
      bool WasReady = Each.ready();
      if (Time % Period < Case.OverloadedFor_)
        Each.observe(1s, Start + Time);
      Each.tick({Case.Routers_, Index}, Time, Start + Time);
      Unready[Index] += Each.ready() ? 0ms : Step;
      Changes[Index] += Each.ready() != WasReady ? 1 : 0;
      UnreadyNow += Each.ready() ? 0 : 1;
    }
    ASSERT_LE(UnreadyNow, Case.Routers_ / 3) << Time.count();
  }
  for (std::size_t Index = 0; Index < Case.Routers_; ++Index) {
    EXPECT_LT(Unready[Index], Length / 8);
    EXPECT_LE(Changes[Index], 12);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Loads, ReadinessTest,
    testing::Values(ReadinessCase{"all_the_time", 6, 120s, 0ms},
                    ReadinessCase{"long_overloads", 6, 10s, 10s},
                    ReadinessCase{"short_bursts", 6, 1s, 4s},
                    ReadinessCase{"two_routers", 2, 120s, 0ms}),
    [](const auto &Info) { return Info.param.Name_; });

TEST(HostLoadTest, LastingOverloadWithdrawsReadinessAndItComesBack) {
  HostLoad Load(Start);
  base::TimePoint Now = Start;
  bool WasUnready = false;
  for (; Now < Start + 60s; Now += 50ms) {
    Load.observe(1s, Now);
    Load.tick({3, 0}, Now - Start, Now);
    WasUnready = WasUnready || !Load.ready();
  }
  EXPECT_TRUE(WasUnready);
  for (; Now < Start + 70s; Now += 50ms)
    Load.tick({3, 0}, Now - Start, Now);
  EXPECT_TRUE(Load.ready());
}

} // namespace
} // namespace camphorwind::routing
