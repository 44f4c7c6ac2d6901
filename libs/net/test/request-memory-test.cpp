#include "camphorwind/net/request-memory.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

using namespace camphorwind::base;
using namespace camphorwind::net;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Kilobyte = 1024;

/// 1,000 KB, of which requests of up to 64 KB have 200 KB for themselves.
class RequestMemoryTest : public testing::Test {
protected:
  RequestMemoryTest() {
    Memory_.setLimits({1000 * Kilobyte, 200 * Kilobyte, 64 * Kilobyte});
  }

  void hold(int Caller, std::size_t Kilobytes) {
    Memory_.hold(Caller, Kilobytes * Kilobyte, Now_);
  }
  std::optional<int> nextRefused() const { return Memory_.nextRefused(Now_); }

  RequestMemory<int> Memory_;
  TimePoint Now_{1h};
};

TEST_F(RequestMemoryTest, KeepsAllRequestsWithinTheLimits) {
  hold(1, 400);
  hold(2, 400);
  hold(3, 64);
  EXPECT_EQ(nextRefused(), std::nullopt);
  EXPECT_EQ(Memory_.bytes(), 864 * Kilobyte);
}

// Guards against a limit that an unset setting turns on.
TEST_F(RequestMemoryTest, RefusesNothingWithoutALimit) {
  Memory_.setLimits({});
  hold(1, 1'000'000);
  EXPECT_EQ(nextRefused(), std::nullopt);
}

// Guards against one caller that fills the memory while many send little.
TEST_F(RequestMemoryTest, RefusesTheLargestOfCallersThatSendAllTheTime) {
  hold(1, 200);
  hold(2, 450);
  hold(3, 200);
  EXPECT_EQ(nextRefused(), 2);
  Memory_.release(2);
  EXPECT_EQ(nextRefused(), std::nullopt);
}

// Guards against callers that stop short of the end of their bodies and keep
// the memory, so that those who still send are refused.
TEST_F(RequestMemoryTest, RefusesTheLongestStalledOfEqualRequests) {
  hold(1, 250);
  Now_ += 1s;
  hold(2, 250);
  Now_ += 1s;
  hold(3, 250);
  hold(4, 250);
  EXPECT_EQ(nextRefused(), 1);
}

TEST_F(RequestMemoryTest, ProgressEndsAStall) {
  hold(1, 250);
  hold(2, 250);
  Now_ += 1s;
  hold(1, 250);
  hold(3, 250);
  hold(4, 250);
  EXPECT_EQ(nextRefused(), 2);
}

// Guards against large unfinished bodies that leave no memory to ordinary
// callers.
TEST_F(RequestMemoryTest, LargeRequestsLeaveTheReserveToSmallOnes) {
  hold(1, 400);
  hold(2, 400);
  for (int Small = 10; Small < 13; ++Small)
    hold(Small, 64);
  EXPECT_EQ(nextRefused(), std::nullopt);
  Now_ += 1s;
  hold(3, 65);
  auto Refused = nextRefused();
  ASSERT_TRUE(Refused);
  EXPECT_LE(*Refused, 2);
}

// Guards against a flood of small requests, such as endless heads, that are
// each too small to count as large.
TEST_F(RequestMemoryTest, RefusesSmallRequestsThatExceedTheLimitTogether) {
  for (int Small = 0; Small < 15; ++Small)
    hold(Small, 64);
  EXPECT_EQ(nextRefused(), std::nullopt);
  Now_ += 1s;
  hold(15, 64);
  auto Refused = nextRefused();
  ASSERT_TRUE(Refused);
  EXPECT_LT(*Refused, 15);
}

// Guards against a 503 for a request that is being forwarded and may have run.
TEST_F(RequestMemoryTest, WholeRequestsCountButAreNotRefused) {
  auto Forwarded = Memory_.holdWhole(700 * Kilobyte);
  hold(1, 100);
  EXPECT_EQ(nextRefused(), std::nullopt);
  hold(2, 101);
  Now_ += 1s;
  EXPECT_EQ(nextRefused(), 2);
  Memory_.release(1);
  Memory_.release(2);
  auto More = Memory_.holdWhole(700 * Kilobyte);
  EXPECT_EQ(nextRefused(), std::nullopt);
  Forwarded.reset();
  hold(1, 100);
  EXPECT_EQ(nextRefused(), std::nullopt);
}

// Guards against requests that outlive their server, as when it stops.
TEST_F(RequestMemoryTest, WholeRequestMayOutliveTheCount) {
  std::shared_ptr<void> Charge;
  {
    RequestMemory<int> Memory;
    Charge = Memory.holdWhole(Kilobyte);
  }
  Charge.reset();
}

// Guards against totals that go wrong when the configuration changes the
// limits while requests are held.
TEST_F(RequestMemoryTest, CountsStayRightWhenTheLimitsChange) {
  hold(1, 100);
  auto Whole = Memory_.holdWhole(100 * Kilobyte);
  Memory_.setLimits({150 * Kilobyte, 0, 200 * Kilobyte});
  EXPECT_EQ(nextRefused(), 1);
  Memory_.release(1);
  Whole.reset();
  EXPECT_EQ(Memory_.bytes(), 0u);
  hold(2, 150);
  EXPECT_EQ(nextRefused(), std::nullopt);
}

// Guards against a full table of connections that nobody can enter because
// callers keep unfinished requests open.
TEST_F(RequestMemoryTest, FindsTheLongestStalledRequest) {
  auto LongestStalled = [this](int Except = 0) {
    return Memory_.longestStalled(1s, Now_,
                                  [=](int By) { return By != Except; });
  };
  EXPECT_EQ(LongestStalled(), std::nullopt);
  hold(1, 1);
  Now_ += 500ms;
  hold(2, 500);
  EXPECT_EQ(LongestStalled(), std::nullopt);
  Now_ += 500ms;
  EXPECT_EQ(LongestStalled(), 1);
  EXPECT_EQ(LongestStalled(1), std::nullopt);
  Now_ += 500ms;
  EXPECT_EQ(LongestStalled(), 1);
  EXPECT_EQ(LongestStalled(1), 2);
}

} // namespace
