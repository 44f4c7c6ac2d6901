#include "camphorwind/routing/direct-pool.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace camphorwind::routing {
namespace {

using namespace std::chrono_literals;

const base::FailureDomainId North("north");
const base::FailureDomainId South("south");

base::EndpointId engine(int Number) {
  return base::EndpointId("engine-" + std::to_string(Number));
}

class DirectPoolLimitsTest : public testing::Test {
protected:
  static constexpr std::uint32_t Slots = 64;
  static constexpr std::uint64_t MemoryTokens = 100'000;

  void use(DirectPoolOptions Options) {
    Options.Domain_ = North;
    Pool_ = DirectPool(Options);
  }
  void add(int Number, const base::FailureDomainId &Domain) {
    Pool_.addOrUpdate({engine(Number), Domain, Slots, MemoryTokens}, Now_);
  }

  PlacementRequest request() {
    Prompt_ = {{1, 2500}, {++LastId_, 500}};
    PlacementRequest Request;
    Request.Prompt_ = Prompt_;
    Request.PromptTokens_ = 3000;
    Request.MaxOutputTokens_ = 200;
    Request.FirstByteObjective_ = 500ms;
    Request.Deadline_ = Now_ + 5s;
    return Request;
  }

  /// Sends a request; returns nothing if no endpoint takes it.
  std::optional<base::EndpointId> send() {
    PlacementRequest Request = request();
    auto Chosen = Pool_.choose(Request, Now_);
    if (!Chosen) {
      LastError_ = Chosen.error();
      return std::nullopt;
    }
    LastAttempt_ = Pool_.sent(Chosen.value(), Request, Now_);
    return Chosen.value().Endpoint_;
  }
  void answer(base::Duration After = 50ms) {
    Now_ += After;
    Pool_.answered(LastAttempt_, Now_);
    Pool_.finished(LastAttempt_, Now_);
  }

  base::TimePoint Now_{1h};
  DirectPool Pool_{DirectPoolOptions()};
  std::vector<PromptPart> Prompt_;
  std::uint64_t LastId_ = 1000;
  DirectAttemptId LastAttempt_ = 0;
  PlacementFailure LastError_;
};

// Guards against requests, and copies of cached prompts, that reach endpoints
// of a failure domain which the operator wants empty.
TEST_F(DirectPoolLimitsTest, EvacuatedDomainGetsNothing) {
  add(0, North);
  add(1, South);
  Pool_.evacuate(North, Now_ + 2s);
  for (int Request = 0; Request < 20; ++Request)
    EXPECT_EQ(send(), engine(1));
  Pool_.evacuate(South, Now_);
  EXPECT_EQ(send(), std::nullopt);
  EXPECT_EQ(LastError_.Error_, PlacementError::Evacuated);
  EXPECT_GT(LastError_.RetryAfter_, base::Duration::zero());
  Pool_.endEvacuation(North, Now_);
  EXPECT_EQ(send(), engine(0));
}

// Guards against an endpoint that is listed again only after the evacuation of
// its domain has ended.
TEST_F(DirectPoolLimitsTest, EndpointThatIsAddedAfterAnEvacuationIsCold) {
  Pool_.coldLimits().setLimit(30.5, 3s);
  Pool_.evacuate(North, Now_);
  Pool_.endEvacuation(North, Now_);
  Now_ += 1s;
  add(0, North);
  EXPECT_TRUE(Pool_.coldLimits().isCold(engine(0), Now_));
  Now_ += 2s;
  EXPECT_FALSE(Pool_.coldLimits().isCold(engine(0), Now_));
}

TEST_F(DirectPoolLimitsTest, PromptsOfAnEvacuatedDomainAreCopiedForAWhile) {
  add(0, North);
  send();
  answer();
  add(1, South);
  Pool_.evacuate(North, Now_ + 2s);
  EXPECT_EQ(Pool_.choose(request(), Now_).value().FetchFrom_, engine(0));
  EXPECT_FALSE(Pool_.choose(request(), Now_ + 2s).value().FetchFrom_);
}

// Guards against a burst to endpoints of a failure domain that is used again:
// all of them may be cold.
TEST_F(DirectPoolLimitsTest, EndpointsThatComeBackFromAnEvacuationAreCold) {
  add(0, North);
  Pool_.coldLimits().setLimit(30.5, 3s);
  FleetCount Count;
  for (int Read = 0; Read < 4; ++Read) {
    Count.add(Now_);
    Now_ += 1s;
  }
  Pool_.coldLimits().setPlace({1, 0}, FleetTime(0), Count);
  Pool_.evacuate(North, Now_);
  Pool_.endEvacuation(North, Now_);
  std::size_t Sent = 0;
  while (Sent < 100 && send())
    ++Sent;
  EXPECT_GT(Sent, 0u);
  EXPECT_LE(Sent, 30u);
  EXPECT_EQ(LastError_.Error_, PlacementError::HeldOff);
  Now_ += 3s;
  for (int Request = 0; Request < 40; ++Request)
    EXPECT_EQ(send(), engine(0));
}

// Guards against an endpoint that crashes because the requests of a burst
// exceed its memory.
TEST_F(DirectPoolLimitsTest, RequestsInFlightStayWithinTheEndpointsMemory) {
  DirectPoolOptions Options;
  Options.LimitHeldTokens_ = true;
  use(Options);
  add(0, North);
  std::uint64_t Held = 0;
  while (Held < 2 * MemoryTokens && send())
    Held += 3200;
  EXPECT_GT(Held, MemoryTokens / 2);
  EXPECT_LE(Held, MemoryTokens);
  EXPECT_EQ(LastError_.Error_, PlacementError::HeldOff);
  answer();
  EXPECT_EQ(send(), engine(0));
}

// Guards against a request that is refused for ever although an idle endpoint
// could run it.
TEST_F(DirectPoolLimitsTest, IdleEndpointTakesARequestThatNearlyFillsIt) {
  DirectPoolOptions Options;
  Options.LimitHeldTokens_ = true;
  use(Options);
  add(0, North);
  PlacementRequest Request = request();
  Request.PromptTokens_ = MemoryTokens * 97 / 100;
  EXPECT_TRUE(Pool_.choose(Request, Now_));
}

// Guards against memory that is filled by several routers, each of which sees
// only its own requests.
TEST_F(DirectPoolLimitsTest, RequestsOfOtherRoutersCountForTheMemory) {
  DirectPoolOptions Options;
  Options.LimitHeldTokens_ = true;
  use(Options);
  add(0, North);
  ASSERT_TRUE(send());
  Pool_.loadReported(LastAttempt_, {60, 0, {}}, Now_);
  EXPECT_EQ(send(), std::nullopt);
}

// Guards against a new endpoint that gets as much as its neighbours before it
// has answered once, and against one that never gets more.
TEST_F(DirectPoolLimitsTest, NewEndpointGetsMoreAsItAnswersInTime) {
  DirectPoolOptions Options;
  Options.SlowStart_ = true;
  use(Options);
  add(0, North);
  send();
  answer();
  add(1, North);
  std::map<base::EndpointId, int> Burst;
  for (int Request = 0; Request < 30; ++Request)
    ++Burst[*send()];
  EXPECT_EQ(Burst[engine(1)], 1);
  EXPECT_EQ(Burst[engine(0)], 29);
}

/// Work times that an endpoint states one after the other.
struct WorkTimeCase {
  std::string Name_;
  std::vector<double> Stated_;
  int Repeats_ = 1;
  base::Duration Interval_ = 10ms;
  /// Bounds of the expected time, as a multiple of the usual one.
  double AtLeast_ = 0;
  double AtMost_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const WorkTimeCase &Value) {
  return Out << Value.Name_;
}

class WorkTimeTest : public DirectPoolLimitsTest,
                     public testing::WithParamInterface<WorkTimeCase> {};

// Guards against endpoints on busy hosts that are chosen as if they were fast,
// and against all routers choosing the endpoint with the lowest last report.
TEST_P(WorkTimeTest, StatedWorkTimeScalesTheExpectedTime) {
  add(0, North);
  Pool_.setPlace({1, 0}, FleetTime(0), Now_);
  auto Expected = [this] {
    return std::chrono::duration<double>(
        Pool_.choose(request(), Now_).value().ExpectedFirstByte_);
  };
  ASSERT_TRUE(send());
  Pool_.answered(LastAttempt_, Now_ + 100ms);
  double Usual = Expected().count();
  for (int Repeat = 0; Repeat < GetParam().Repeats_; ++Repeat) {
    for (double Each : GetParam().Stated_) {
      Now_ += GetParam().Interval_;
      Pool_.loadReported(LastAttempt_, {1, 0, Each}, Now_);
    }
  }
  EXPECT_GE(Expected().count() / Usual, GetParam().AtLeast_);
  EXPECT_LE(Expected().count() / Usual, GetParam().AtMost_);
}

INSTANTIATE_TEST_SUITE_P(
    Figures, WorkTimeTest,
    testing::Values(
        WorkTimeCase{"usual", {1}, 100, 10ms, 0.9, 1.1},
        WorkTimeCase{"slow_for_long", {2.5}, 400, 10ms, 2, 2.6},
        WorkTimeCase{"one_high_figure", {1, 1, 1, 1, 2.5}, 1, 10ms, 0.9, 1.2},
        WorkTimeCase{"swinging", {0.5, 2.5}, 200, 10ms, 1.2, 1.8},
        WorkTimeCase{"first_figure", {2.5}, 1, 10ms, 0.9, 1.5},
        WorkTimeCase{"rare_reports", {1, 1, 2.5}, 1, 2s, 0.9, 1.5},
        WorkTimeCase{"slow_in_rare_reports", {2.5}, 40, 500ms, 1.8, 2.6},
        WorkTimeCase{"absurd", {1e9}, 400, 10ms, 2, 25}),
    [](const auto &Info) { return Info.param.Name_; });

} // namespace
} // namespace camphorwind::routing
