#include "camphorwind/routing/windows.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace camphorwind::routing;

namespace {

/// Compares Windows with plain counters under random sequences of calls.
RC_GTEST_PROP(WindowsTest, AcquireNeverExceedsTheLimitOrLeaks, ()) {
  constexpr EndpointIndex Count = 3;
  Windows Limits;
  std::vector<std::uint32_t> InFlight(Count), Limit(Count, 2);
  for (EndpointIndex Index = 0; Index < Count; ++Index)
    Limits.open(Index, 2);
  auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 12)));
  for (auto [Endpoint, Action] : Steps) {
    auto Index = static_cast<EndpointIndex>(Endpoint);
    if (Action < 5) {
      bool Room = InFlight[Index] < Limit[Index];
      RC_ASSERT(Limits.acquire(Index) == Room);
      InFlight[Index] += Room ? 1 : 0;
    } else if (Action < 9 && InFlight[Index] > 0) {
      Limits.release(Index);
      --InFlight[Index];
    } else if (Action >= 9) {
      Limit[Index] = static_cast<std::uint32_t>(Action - 9);
      Limits.setLimit(Index, Limit[Index]);
    }
    RC_ASSERT(Limits.inFlight(Index) == InFlight[Index]);
    RC_ASSERT(Limits.hasRoom(Index) == (InFlight[Index] < Limit[Index]));
  }
}

TEST(WindowsTest, ReleaseWithoutAcquireDoesNotUnderflow) {
  Windows Limits;
  Limits.open(0, 1);
  Limits.release(0);
  EXPECT_EQ(Limits.inFlight(0), 0u);
}

} // namespace
