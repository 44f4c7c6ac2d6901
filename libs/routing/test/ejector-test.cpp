#include "camphorwind/routing/ejector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace camphorwind;
using namespace camphorwind::routing;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};

Ejector pool(EndpointIndex Size) {
  Ejector Pool;
  for (EndpointIndex Index = 0; Index < Size; ++Index) {
    Pool.add(Index, Start, false);
    Pool.setServing(Index, true);
  }
  return Pool;
}

void failThreeTimes(Ejector &Pool, EndpointIndex Endpoint,
                    base::TimePoint Now) {
  for (int Count = 0; Count < 3; ++Count)
    Pool.failed(Endpoint, FailureKind::Failed, Now);
}

struct FailureCase {
  FailureKind Kind_;
  bool Ejects_;
};

class EjectorFailureTest : public testing::TestWithParam<FailureCase> {};

TEST_P(EjectorFailureTest, OnlyFailuresOfTheEndpointEjectIt) {
  Ejector Pool = pool(4);
  for (int Count = 0; Count < 20; ++Count)
    Pool.failed(0, GetParam().Kind_, Start);
  EXPECT_EQ(Pool.ejected(0), GetParam().Ejects_);
}

INSTANTIATE_TEST_SUITE_P(
    Table, EjectorFailureTest,
    testing::Values(FailureCase{FailureKind::Refused, false},
                    FailureCase{FailureKind::Failed, true},
                    FailureCase{FailureKind::Stalled, true},
                    FailureCase{FailureKind::LinkLost, true},
                    FailureCase{FailureKind::NotServing, false},
                    FailureCase{FailureKind::Cancelled, false}),
    [](const auto &Case) { return std::string(toString(Case.param.Kind_)); });

TEST(EjectorTest, SendsOneProbeAtATimeAndDoublesTheEjectionTime) {
  Ejector Pool = pool(4);
  failThreeTimes(Pool, 0, Start);
  EXPECT_EQ(Pool.reason(0), EjectionReason::ConsecutiveFailures);
  EXPECT_FALSE(Pool.admits(0, Start + 1s));
  EXPECT_TRUE(Pool.admits(0, Start + 2s));
  Pool.sent(0);
  EXPECT_FALSE(Pool.admits(0, Start + 2s)) << "one probe at a time";
  Pool.failed(0, FailureKind::Failed, Start + 3s);
  EXPECT_FALSE(Pool.admits(0, Start + 6s));
  EXPECT_TRUE(Pool.admits(0, Start + 7s));
}

TEST(EjectorTest, SuccessfulProbeRestoresTheEndpointWithASlowStart) {
  Ejector Pool = pool(4);
  failThreeTimes(Pool, 0, Start);
  Pool.succeeded(0, Start + 1s);
  EXPECT_TRUE(Pool.ejected(0))
      << "an attempt sent before the ejection is not a probe";
  Pool.sent(0);
  Pool.succeeded(0, Start + 3s);
  EXPECT_FALSE(Pool.ejected(0));
  EXPECT_LT(Pool.slowStartShare(0, Start + 3s), 0.2);
  EXPECT_EQ(Pool.slowStartShare(0, Start + 8s), 1);
}

TEST(EjectorTest, ZeroSlowStartTimeGivesTheFullWindowAtOnce) {
  Ejector Pool = pool(2);
  Pool.setSlowStart(0s);
  Pool.add(0, Start, true);
  EXPECT_EQ(Pool.slowStartShare(0, Start), 1);
}

TEST(EjectorTest, EjectsByFailureRateDespiteSuccesses) {
  Ejector Pool = pool(4);
  for (int Round = 0; Round < 20 && !Pool.ejected(0); ++Round) {
    Pool.failed(0, FailureKind::Failed, Start);
    Pool.failed(0, FailureKind::Failed, Start);
    Pool.succeeded(0, Start);
  }
  EXPECT_EQ(Pool.reason(0), EjectionReason::FailureRate);
}

/// Under any sequence of failures and serving changes, the ejection of a
/// serving endpoint needs two healthy ones and leaves at least half of those
/// serving healthy.
RC_GTEST_PROP(EjectorTest, NeverEjectsTheLastEndpointOrMoreThanHalf, ()) {
  constexpr EndpointIndex Size = 5;
  Ejector Pool = pool(Size);
  std::vector<bool> Serving(Size, true);
  base::TimePoint Now = Start;
  auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 7)));
  for (auto [Position, Action] : Steps) {
    auto Index = static_cast<EndpointIndex>(Position);
    Now += 300ms;
    std::size_t HealthyBefore = Pool.healthyCount();
    bool WasEjected = false;
    if (Action < 3)
      WasEjected = Pool.failed(Index, FailureKind::Failed, Now).has_value();
    else if (Action == 3)
      WasEjected = Pool.eject(Index, EjectionReason::Slow, Now);
    else if (Action == 4)
      Serving[Index] = !Serving[Index];
    else if (Action == 5 && Pool.admits(Index, Now))
      Pool.sent(Index);
    else
      Pool.succeeded(Index, Now);
    Pool.setServing(Index, Serving[Index]);
    std::size_t ExpectedServing = 0, ExpectedHealthy = 0;
    for (EndpointIndex Member = 0; Member < Size; ++Member) {
      ExpectedServing += Serving[Member] ? 1 : 0;
      ExpectedHealthy += Serving[Member] && !Pool.ejected(Member) ? 1 : 0;
    }
    RC_ASSERT(Pool.servingCount() == ExpectedServing);
    RC_ASSERT(Pool.healthyCount() == ExpectedHealthy);
    if (WasEjected && Serving[Index]) {
      RC_ASSERT(HealthyBefore >= 2u);
      RC_ASSERT(ExpectedHealthy * 2 >= ExpectedServing);
    }
  }
}

} // namespace
