#include "camphorwind/routing/cold-limits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace camphorwind::routing {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const base::EndpointId Engine("engine");
const base::TimePoint Start{1000s};

/// The platform's bound: 17 requests a second, times 1.5, and 5 more.
constexpr double StatedLimit = 30.5;
constexpr std::size_t MaxInOneSecond = 30;

/// A fleet whose routers send to one cold endpoint as fast as they may.
struct FleetCase {
  std::string Name_;
  std::size_t Routers_ = 4;
  /// Part of the routers that lose the table after 5 s, until the end.
  double CutOff_ = 0;
  /// Part of the routers that are frozen from 6 s to 9 s.
  double Frozen_ = 0;
  /// Routers that join, one a second.
  std::size_t Joining_ = 0;
  milliseconds ClockError_ = 0ms;
  double Limit_ = StatedLimit;
  std::size_t Bound_ = MaxInOneSecond;
  /// Requests a second that the endpoint gets at least, in calm and later.
  double LeastInCalm_ = 0;
  double LeastLater_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const FleetCase &Value) {
  return Out << Value.Name_;
}

class ColdFleetTest : public testing::TestWithParam<FleetCase> {};

// Guards against floods of an endpoint that is cold, such as all endpoints of a
// failure domain that is used again: they crash under more requests than the
// bound, whatever the routers know of each other.
TEST_P(ColdFleetTest, KeepsTheBoundOverAllRouters) {
  const FleetCase &Case = GetParam();
  constexpr milliseconds Step = 10ms;
  constexpr milliseconds ReadInterval = 700ms;
  constexpr milliseconds Presence = 6000ms;
  constexpr milliseconds Length = 20s;
  std::mt19937 Random(7);
  std::size_t All = Case.Routers_ + Case.Joining_;
  std::vector<ColdLimits> Routers(All);
  std::vector<FleetCount> Counts(All);
  std::vector<milliseconds> ReadPhase(All);
  std::vector<milliseconds> ClockError(All);
  // When each router last wrote to the table that all read.
  std::vector<milliseconds> WrittenAt(All, -1h);
  for (std::size_t Each = 0; Each < All; ++Each) {
    ReadPhase[Each] = Random() % (ReadInterval / Step) * Step;
    auto Error = static_cast<std::size_t>(Case.ClockError_.count());
    ClockError[Each] =
        milliseconds(Random() % (2 * Error + 1)) - Case.ClockError_;
    Routers[Each].setLimit(Case.Limit_, 1h);
    Routers[Each].setColdUntil(Engine, Start + 1h);
  }
  std::deque<milliseconds> Sent;
  std::size_t Calm = 0;
  std::size_t Later = 0;
  for (milliseconds Now = -4s; Now < Length; Now += Step) {
    for (std::size_t Each = 0; Each < All; ++Each) {
      milliseconds From =
          Each < Case.Routers_
              ? -4s
              : (2 + static_cast<int>(Each - Case.Routers_)) * 1000ms;
      auto Rank = static_cast<double>(Each);
      auto Count = static_cast<double>(Case.Routers_);
      bool IsCut = Now >= 5s && Rank < Case.CutOff_ * Count;
      bool IsFrozen = Now >= 6s && Now < 9s &&
                      Rank >= (1 - Case.Frozen_) * Count && Rank < Count;
      if (Now < From || IsFrozen)
        continue;
      base::TimePoint At = Start + Now;
      if ((Now - From - ReadPhase[Each]) % ReadInterval == 0ms && !IsCut) {
        WrittenAt[Each] = Now;
        FleetPlace Place{0, 0};
        for (std::size_t Other = 0; Other < All; ++Other) {
          if (Now - WrittenAt[Other] > Presence)
            continue;
          ++Place.Routers_;
          Place.Index_ += Other < Each ? 1 : 0;
        }
        Counts[Each].add(At);
        Routers[Each].setPlace(Place, ClockError[Each], Counts[Each]);
      }
      while (Routers[Each].wait(Engine, At) == base::Duration::zero()) {
        Routers[Each].sent(Engine, At);
        Sent.push_back(Now);
        Calm += Now >= 0s && Now < 5s ? 1 : 0;
        Later += Now >= 10s ? 1 : 0;
      }
    }
    while (!Sent.empty() && Now - Sent.front() >= 1s)
      Sent.pop_front();
    ASSERT_LE(Sent.size(), Case.Bound_) << Now.count() << " ms";
  }
  EXPECT_GE(static_cast<double>(Calm) / 5, Case.LeastInCalm_);
  EXPECT_GE(static_cast<double>(Later) / 10, Case.LeastLater_);
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, ColdFleetTest,
    testing::Values(FleetCase{.Name_ = "four_routers",
                              .Routers_ = 4,
                              .LeastInCalm_ = 15,
                              .LeastLater_ = 15},
                    FleetCase{.Name_ = "four_routers_half_cut_off",
                              .Routers_ = 4,
                              .CutOff_ = 0.5,
                              .LeastInCalm_ = 15,
                              .LeastLater_ = 15},
                    FleetCase{.Name_ = "eleven_routers_all_cut_off",
                              .Routers_ = 11,
                              .CutOff_ = 1,
                              .LeastInCalm_ = 15,
                              .LeastLater_ = 2},
                    FleetCase{.Name_ = "twenty_six_routers_half_cut_off",
                              .Routers_ = 26,
                              .CutOff_ = 0.5,
                              .ClockError_ = 100ms,
                              .LeastInCalm_ = 7,
                              .LeastLater_ = 7},
                    FleetCase{.Name_ = "many_routers_half_cut_off",
                              .Routers_ = 350,
                              .CutOff_ = 0.5,
                              .ClockError_ = 100ms,
                              .LeastInCalm_ = 7,
                              .LeastLater_ = 7},
                    FleetCase{.Name_ = "frozen_routers_wake_up",
                              .Routers_ = 11,
                              .Frozen_ = 0.5,
                              .ClockError_ = 100ms,
                              .LeastInCalm_ = 15,
                              .LeastLater_ = 15},
                    FleetCase{.Name_ = "routers_join",
                              .Routers_ = 4,
                              .Joining_ = 8,
                              .ClockError_ = 100ms,
                              .LeastInCalm_ = 10,
                              .LeastLater_ = 10},
                    FleetCase{.Name_ = "small_limit",
                              .Routers_ = 11,
                              .ClockError_ = 100ms,
                              .Limit_ = 1,
                              .Bound_ = 1,
                              .LeastInCalm_ = 0.2,
                              .LeastLater_ = 0.2}),
    [](const auto &Info) { return Info.param.Name_; });

// Guards against limits on endpoints that have been warm for long, and against
// full load on those of which nothing is known.
TEST(ColdLimitsTest, UnknownEndpointsCountAsColdForTheStatedTime) {
  ColdLimits Limits;
  Limits.setUnknown(Engine, Start);
  EXPECT_FALSE(Limits.isCold(Engine, Start)) << "no limit stated yet";
  Limits.setLimit(StatedLimit, 3s);
  EXPECT_TRUE(Limits.isCold(Engine, Start + 2s));
  EXPECT_FALSE(Limits.isCold(Engine, Start + 3s));
  Limits.setColdUntil(Engine, Start + 10s);
  EXPECT_TRUE(Limits.isCold(Engine, Start + 9s));
  Limits.sweep(Start + 10s);
  EXPECT_FALSE(Limits.isCold(Engine, Start + 9s));
}

} // namespace
} // namespace camphorwind::routing
