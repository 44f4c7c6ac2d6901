#include "camphorwind/routing/load-view.h"

#include <gtest/gtest.h>

using namespace camphorwind;
using namespace camphorwind::routing;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};

LoadView view() {
  EndpointTraits Traits;
  Traits.Slots_ = 8;
  Traits.PromptTokensPerSecond_ = 1000;
  return LoadView(Traits);
}

LoadReport report(std::uint32_t Running, std::uint64_t Tokens,
                  std::chrono::milliseconds Age, std::uint32_t Routers = 1) {
  return {base::EndpointId("e"), Age, Running, 0, Tokens, Routers};
}

TEST(LoadViewTest, AddsOnlyOwnRequestsSinceTheSample) {
  LoadView View = view();
  View.dispatched(Start, 100, 1s);
  View.dispatched(Start + 400ms, 50, 1s);
  View.report(report(3, 100, 500ms), Start + 600ms);
  EXPECT_EQ(View.reportedRequests(), 3u);
  EXPECT_EQ(View.requests(), 4u) << "two of other routers, two of this router";
  EXPECT_DOUBLE_EQ(View.waitingPromptTokens(Start + 600ms), 150);
}

TEST(LoadViewTest, SubtractsRequestsEndedSinceTheSample) {
  LoadView View = view();
  View.dispatched(Start, 100, 1s);
  View.firstToken(Start + 300ms, Start, 100);
  View.ended(Start + 400ms, Start, 100, true);
  View.report(report(1, 100, 500ms), Start + 600ms);
  EXPECT_EQ(View.requests(), 0u);
}

TEST(LoadViewTest, IgnoresAReportSampledBeforeTheLast) {
  LoadView View = view();
  View.report(report(5, 0, 100ms), Start + 500ms);
  View.report(report(9, 0, 400ms), Start + 600ms);
  EXPECT_EQ(View.reportedRequests(), 5u);
}

TEST(LoadViewTest, RoutersShareTheFreeSlots) {
  LoadView View = view();
  EXPECT_DOUBLE_EQ(View.fairWindow(), 8);
  View.report(report(1, 0, 0ms, 4), Start);
  EXPECT_GE(View.fairWindow(), 2);
  EXPECT_LE(View.fairWindow(), 2.1);
}

TEST(LoadViewTest, LearnsThatAnEndpointIsSlow) {
  LoadView View = view();
  base::TimePoint Now = Start;
  for (int Round = 0; Round < 20; ++Round) {
    base::Duration Expected = View.expectedFirstToken(Now, 100);
    View.dispatched(Now, 100, Expected);
    View.firstToken(Now + 1s, Now, 100);
    View.ended(Now + 1s, Now, 100, true);
    Now += 2s;
  }
  EXPECT_GT(View.expectedFirstToken(Now, 100), 800ms);
  EXPECT_LT(View.expectedFirstToken(Now, 100), 1300ms);
}

TEST(LoadViewTest, IsOverdueOnlyWhileNoFirstTokenArrives) {
  LoadView View = view();
  View.dispatched(Start, 0, 100ms);
  View.dispatched(Start + 1s, 0, 100ms);
  EXPECT_EQ(View.overdue(Start + 200ms), 0ms);
  EXPECT_EQ(View.overdue(Start + 1s), 700ms);
  View.firstToken(Start + 1s, Start + 1s, 0);
  EXPECT_EQ(View.overdue(Start + 1s), 0ms);
  EXPECT_EQ(View.overdue(Start + 2s), 700ms);
}

} // namespace
