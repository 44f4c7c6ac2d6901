#include "camphorwind/routing/retry-window.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace camphorwind::routing {
namespace {

using namespace std::chrono_literals;

const base::TimePoint Start{1000s};

TEST(RetryWindowTest, TheSlackIsDividedFromTheBeginning) {
  constexpr std::size_t Routers = 4;
  RetryWindowOptions Options{0.2, 54, 10s};
  unsigned Granted = 0;
  for (std::size_t Router = 0; Router < Routers; ++Router) {
    RetryWindow Tested(Options, Routers);
    while (Tested.trySpend(Start))
      ++Granted;
  }
  EXPECT_LE(Granted, 54u);
  EXPECT_GT(Granted, 10u);
}

TEST(RetryWindowTest, ReplacedRoutersStayWithinTheSlack) {
  constexpr std::size_t Routers = 4;
  RetryWindowOptions Options{0.2, 54, 10s};
  unsigned Granted = 0;
  // Each router is replaced once within a window.
  for (std::size_t Process = 0; Process < 2 * Routers; ++Process) {
    RetryWindow Tested(Options, Routers);
    while (Tested.trySpend(Start))
      ++Granted;
  }
  EXPECT_LE(Granted, 54u);
}

TEST(RetryWindowTest, RequestsEarnTheirShare) {
  RetryWindow Tested({0.2, 0, 10s}, 1);
  EXPECT_FALSE(Tested.available(Start));
  for (int Request = 0; Request < 10; ++Request)
    Tested.addRequest(Start);
  EXPECT_TRUE(Tested.trySpend(Start));
  EXPECT_TRUE(Tested.trySpend(Start));
  EXPECT_FALSE(Tested.trySpend(Start));
  EXPECT_FALSE(Tested.trySpend(Start + 9s));
}

RC_GTEST_PROP(RetryWindowTest, HoldsInEverySlidingWindow, ()) {
  constexpr auto Window = 10s;
  RetryWindow Tested({0.2, 20, Window}, 1);
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
      Tested.addRequest(Now);
      Events.push_back({Now, false});
    } else if (Tested.trySpend(Now)) {
      Events.push_back({Now, true});
    }
    double Allowed = 20;
    unsigned Retries = 0;
    for (const Event &Each : Events) {
      if (Now - Each.At_ >= Window)
        continue;
      Allowed += Each.Retry_ ? 0 : 0.2;
      Retries += Each.Retry_ ? 1 : 0;
    }
    RC_ASSERT(Retries <= Allowed);
  }
}

} // namespace
} // namespace camphorwind::routing
