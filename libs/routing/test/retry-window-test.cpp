#include "camphorwind/routing/retry-window.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace camphorwind::routing {
namespace {

using namespace std::chrono_literals;

const base::TimePoint Start{1000s};

TEST(RetryWindowTest, RoutersDivideTheSlackFromTheStart) {
  constexpr std::size_t Routers = 4;
  RetryWindowOptions Options{0.2, 54, 10s};
  unsigned Granted = 0;
  for (std::size_t Router = 0; Router < Routers; ++Router) {
    RetryWindow Limit(Options, Routers);
    while (Limit.trySpend(Start))
      ++Granted;
  }
  EXPECT_LE(Granted, 54u);
  EXPECT_GT(Granted, 10u);
}

TEST(RetryWindowTest, ReplacedRoutersStayWithinTheFleetSlack) {
  constexpr std::size_t Routers = 4;
  RetryWindowOptions Options{0.2, 54, 10s};
  unsigned Granted = 0;
  // Each router is replaced once within a window; the new process starts with
  // no retries counted.
  for (std::size_t Process = 0; Process < 2 * Routers; ++Process) {
    RetryWindow Limit(Options, Routers);
    while (Limit.trySpend(Start))
      ++Granted;
  }
  EXPECT_LE(Granted, 54u);
}

TEST(RetryWindowTest, RequestsAddTheirShareOfRetries) {
  RetryWindow Limit({0.2, 0, 10s}, 1);
  EXPECT_FALSE(Limit.available(Start));
  for (int Request = 0; Request < 10; ++Request)
    Limit.addRequest(Start);
  EXPECT_TRUE(Limit.trySpend(Start));
  EXPECT_TRUE(Limit.trySpend(Start));
  EXPECT_FALSE(Limit.trySpend(Start));
  EXPECT_FALSE(Limit.trySpend(Start + 9s));
}

RC_GTEST_PROP(RetryWindowTest, RetriesStayBoundedInEverySlidingWindow, ()) {
  constexpr auto Window = 10s;
  RetryWindow Limit({0.2, 20, Window}, 1);
  struct Event {
    base::TimePoint At_;
    bool Retry_;
  };
  std::vector<Event> Events;
  base::TimePoint Now = Start;
  auto Steps = *rc::gen::container<std::vector<std::pair<bool, int>>>(
      rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 900)));
  for (auto [Retry, Pause] : Steps) {
    Now += std::chrono::milliseconds(Pause);
    if (!Retry) {
      Limit.addRequest(Now);
      Events.push_back({Now, false});
    } else if (Limit.trySpend(Now)) {
      Events.push_back({Now, true});
    }
    double Allowed = 20;
    unsigned Retries = 0;
    for (const Event &Past : Events) {
      if (Now - Past.At_ >= Window)
        continue;
      Allowed += Past.Retry_ ? 0 : 0.2;
      Retries += Past.Retry_ ? 1 : 0;
    }
    RC_ASSERT(Retries <= Allowed);
  }
}

} // namespace
} // namespace camphorwind::routing
