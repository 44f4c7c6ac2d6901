#include "camphorwind/routing/direct-pool.h"

#include <gtest/gtest.h>

#include <map>
#include <ostream>
#include <string>
#include <vector>

/// The choice of an endpoint under named patterns of load and failure.
namespace camphorwind::routing {
namespace {

using namespace std::chrono_literals;

const base::FailureDomainId Here("here");
const base::FailureDomainId There("there");

base::EndpointId engine(int Number) {
  return base::EndpointId("engine-" + std::to_string(Number));
}

/// A prompt of a subject that many requests share, with a part of its own.
std::vector<PromptPart> promptOf(std::uint64_t Subject, std::uint64_t Own) {
  return {{1, 2500}, {1000 + Subject, 3800}, {1'000'000 + Own, 2900}};
}

class DirectPoolTest : public testing::Test {
protected:
  DirectPoolTest() : Pool_(options()) {}

  static DirectPoolOptions options() {
    DirectPoolOptions Chosen;
    Chosen.Domain_ = Here;
    return Chosen;
  }

  void addEngines(int Count, const base::FailureDomainId &Domain = Here) {
    constexpr std::uint32_t Slots = 64;
    constexpr std::uint64_t Memory = 500'000;
    for (int Number = 0; Number < Count; ++Number)
      Pool_.addOrUpdate({engine(Added_++), Domain, Slots, Memory}, Now_);
  }

  void addPlainHosts(int Count) {
    constexpr std::uint32_t Slots = 6;
    for (int Number = 0; Number < Count; ++Number)
      Pool_.addOrUpdate({engine(Added_++), Here, Slots, 0}, Now_);
  }

  PlacementRequest demandFor(std::uint64_t Subject) {
    Prompt_ = promptOf(Subject, ++Own_);
    PlacementRequest Wanted;
    Wanted.Prompt_ = Prompt_;
    Wanted.PromptTokens_ = 9200;
    Wanted.BodyBytes_ = 18'000;
    Wanted.FirstByteObjective_ = 500ms;
    Wanted.Deadline_ = Now_ + 5s;
    return Wanted;
  }

  PlacementRequest plainCall() const {
    PlacementRequest Wanted;
    Wanted.FirstByteObjective_ = 300ms;
    Wanted.Deadline_ = Now_ + 3s;
    return Wanted;
  }

  struct Started {
    Placement Where_;
    DirectAttemptId Attempt_ = 0;
  };

  Started start(const PlacementRequest &Wanted) {
    auto Chosen = Pool_.choose(Wanted, Now_);
    EXPECT_TRUE(Chosen);
    Started Made{Chosen.value()};
    Made.Attempt_ = Pool_.sent(Made.Where_, Wanted, Now_);
    return Made;
  }

  /// Runs a request in the time that was expected of it.
  Placement run(const PlacementRequest &Wanted) {
    Started Made = start(Wanted);
    Now_ += Made.Where_.ExpectedFirstByte_;
    Pool_.answered(Made.Attempt_, Now_);
    Pool_.finished(Made.Attempt_, Now_);
    return Made.Where_;
  }

  base::TimePoint Now_{1h};
  DirectPool Pool_;
  int Added_ = 0;
  std::uint64_t Own_ = 0;
  std::vector<PromptPart> Prompt_;
};

TEST_F(DirectPoolTest, SameSubjectGoesWhereItsBeginningIsCached) {
  addEngines(12);
  Placement First = run(demandFor(7));
  for (int Call = 0; Call < 20; ++Call) {
    Now_ += 500ms;
    Placement Next = run(demandFor(7));
    EXPECT_EQ(Next.Endpoint_, First.Endpoint_);
    EXPECT_EQ(Next.CachedTokens_, 6300u);
  }
}

TEST_F(DirectPoolTest, RoutersAgreeOnTheHomeOfASubject) {
  addEngines(12);
  DirectPool Other(options());
  constexpr std::uint32_t Slots = 64;
  for (int Number = 11; Number >= 0; --Number)
    Other.addOrUpdate({engine(Number), Here, Slots, 500'000}, Now_);
  for (std::uint64_t Subject = 0; Subject < 40; ++Subject) {
    PlacementRequest Wanted = demandFor(Subject);
    EXPECT_EQ(Pool_.choose(Wanted, Now_).value().Endpoint_,
              Other.choose(Wanted, Now_).value().Endpoint_);
  }
}

TEST_F(DirectPoolTest, RestartedRouterAssumesThatTheHomeHasTheSubject) {
  addEngines(12);
  Placement Where = Pool_.choose(demandFor(7), Now_).value();
  EXPECT_GT(Where.CachedTokens_, 3000u);
  EXPECT_FALSE(Where.FetchFrom_);
}

TEST_F(DirectPoolTest, HotSubjectSpillsAndIsFetchedFromItsHolder) {
  addEngines(12);
  Placement Home = run(demandFor(7));
  std::map<base::EndpointId, int> Used;
  bool Fetched = false;
  // A burst about one subject, none of it answered yet.
  for (int Call = 0; Call < 60; ++Call) {
    Started Made = start(demandFor(7));
    ++Used[Made.Where_.Endpoint_];
    Fetched = Fetched || Made.Where_.FetchFrom_ == Home.Endpoint_;
  }
  EXPECT_GT(Used.size(), 4u);
  EXPECT_TRUE(Fetched);
  for (const auto &[Endpoint, Count] : Used)
    EXPECT_LT(Count, 25);
}

TEST_F(DirectPoolTest, SpillIsFetchedFromTheHomeThatOtherRoutersUse) {
  addEngines(4);
  // Every engine has the part that all subjects share, and no more is known.
  for (std::uint64_t Subject = 100; Subject < 140; ++Subject)
    run(demandFor(Subject));
  Placement Home = Pool_.choose(demandFor(7), Now_).value();
  std::vector<base::EndpointId> Avoided{Home.Endpoint_};
  PlacementRequest Wanted = demandFor(7);
  Wanted.Excluded_ = Avoided;
  Placement Spill = Pool_.choose(Wanted, Now_).value();
  EXPECT_NE(Spill.Endpoint_, Home.Endpoint_);
  EXPECT_EQ(Spill.FetchFrom_, Home.Endpoint_);
}

TEST_F(DirectPoolTest, BusyEngineIsNotTakenForASilentOne) {
  addEngines(1);
  std::vector<Started> Running;
  constexpr std::uint64_t Calls = 10;
  Running.reserve(Calls);
  for (std::uint64_t Call = 0; Call < Calls; ++Call)
    Running.push_back(start(demandFor(Call)));
  // Answers come one by one, each much later than the first was expected.
  for (const Started &Each : Running) {
    Now_ += 400ms;
    EXPECT_TRUE(Pool_.sweep(Now_).empty());
    Pool_.answered(Each.Attempt_, Now_);
  }
}

TEST_F(DirectPoolTest, SilentEngineGetsNothingMore) {
  addEngines(4);
  Started Lost = start(demandFor(7));
  Now_ += 10 * Lost.Where_.ExpectedFirstByte_ + 1s;
  EXPECT_TRUE(Pool_.silent(Lost.Where_.Endpoint_, Now_));
  EXPECT_EQ(Pool_.sweep(Now_).size(), 1u);
  for (std::uint64_t Subject = 0; Subject < 20; ++Subject)
    EXPECT_NE(run(demandFor(7)).Endpoint_, Lost.Where_.Endpoint_);
}

TEST_F(DirectPoolTest, TheLastEngineStaysInUse) {
  addEngines(1);
  Started Lost = start(demandFor(7));
  Now_ += 1min;
  Pool_.sweep(Now_);
  Pool_.failed(Lost.Attempt_, FailureKind::Stalled, Now_);
  EXPECT_TRUE(Pool_.choose(demandFor(7), Now_));
}

TEST_F(DirectPoolTest, SlowEngineKeepsOnlyASmallPart) {
  addEngines(4);
  const base::EndpointId Slow = engine(0);
  int ToSlow = 0;
  constexpr int Calls = 400;
  for (int Call = 0; Call < Calls; ++Call) {
    Started Made = start(demandFor(static_cast<std::uint64_t>(Call)));
    bool IsSlow = Made.Where_.Endpoint_ == Slow;
    ToSlow += Call >= Calls / 4 && IsSlow ? 1 : 0;
    Now_ += IsSlow ? 1200ms : 150ms;
    Pool_.answered(Made.Attempt_, Now_);
    Pool_.finished(Made.Attempt_, Now_);
  }
  EXPECT_LT(ToSlow, Calls / 10);
}

TEST_F(DirectPoolTest, EngineThatFailsPartOfItsRequestsIsAvoided) {
  addEngines(4);
  const base::EndpointId Grey = engine(0);
  int ToGrey = 0;
  constexpr int Calls = 400;
  for (int Call = 0; Call < Calls; ++Call) {
    Started Made = start(demandFor(static_cast<std::uint64_t>(Call)));
    bool Fails = Made.Where_.Endpoint_ == Grey && Call % 2 == 0;
    ToGrey += Call >= Calls / 4 && Made.Where_.Endpoint_ == Grey ? 1 : 0;
    Now_ += 20ms;
    if (Fails)
      Pool_.failed(Made.Attempt_, FailureKind::Failed, Now_);
    else
      Pool_.finished(Made.Attempt_, Now_);
  }
  EXPECT_LT(ToGrey, Calls / 8);
}

TEST_F(DirectPoolTest, NearEngineIsPreferredAmongEquals) {
  addEngines(3, There);
  addEngines(3, Here);
  int Near = 0;
  constexpr int Calls = 60;
  for (int Call = 0; Call < Calls; ++Call) {
    // Prompts without a shared part have no home.
    Prompt_ = {{static_cast<std::uint64_t>(10'000 + Call), 800}};
    PlacementRequest Wanted = demandFor(0);
    Prompt_ = {{static_cast<std::uint64_t>(10'000 + Call), 800}};
    Wanted.Prompt_ = Prompt_;
    Wanted.PromptTokens_ = 800;
    std::string Name = run(Wanted).Endpoint_.str();
    Near += Name >= engine(3).str() ? 1 : 0;
  }
  EXPECT_GT(Near, Calls / 2);
}

TEST_F(DirectPoolTest, PlainCallsSpreadOverFreeSlots) {
  addPlainHosts(4);
  std::map<base::EndpointId, int> Used;
  for (int Call = 0; Call < 20; ++Call)
    ++Used[start(plainCall()).Where_.Endpoint_];
  ASSERT_EQ(Used.size(), 4u);
  for (const auto &[Endpoint, Count] : Used)
    EXPECT_EQ(Count, 5);
}

TEST_F(DirectPoolTest, LoadOfOtherRoutersCounts) {
  addPlainHosts(2);
  Started Made = start(plainCall());
  Pool_.loadReported(Made.Attempt_, 6, 12, Now_);
  Pool_.finished(Made.Attempt_, Now_);
  for (int Call = 0; Call < 3; ++Call)
    EXPECT_NE(start(plainCall()).Where_.Endpoint_, Made.Where_.Endpoint_);
}

TEST_F(DirectPoolTest, EndpointsOfEarlierAttemptsAreNotUsedAgain) {
  addPlainHosts(2);
  std::vector<base::EndpointId> Tried{engine(0)};
  PlacementRequest Wanted = plainCall();
  Wanted.Excluded_ = Tried;
  EXPECT_EQ(Pool_.choose(Wanted, Now_).value().Endpoint_, engine(1));
  Tried.push_back(engine(1));
  Wanted.Excluded_ = Tried;
  auto None = Pool_.choose(Wanted, Now_);
  ASSERT_FALSE(None);
  EXPECT_EQ(None.error().Error_, PlacementError::NoEndpoint);
}

TEST_F(DirectPoolTest, WhatCannotBeAnsweredInTimeIsRefusedAtOnce) {
  addEngines(1);
  for (std::uint64_t Call = 0; Call < 200; ++Call)
    if (auto Chosen = Pool_.choose(demandFor(Call), Now_))
      Pool_.sent(Chosen.value(), demandFor(Call), Now_);
  auto Refused = Pool_.choose(demandFor(1000), Now_);
  ASSERT_FALSE(Refused);
  EXPECT_EQ(Refused.error().Error_, PlacementError::TooLate);
  EXPECT_GT(Refused.error().RetryAfter_, 0ms);
}

TEST_F(DirectPoolTest, AttemptsAtARemovedEndpointAreForgotten) {
  addEngines(1);
  Started Made = start(demandFor(7));
  Pool_.remove(engine(0));
  Pool_.addOrUpdate({engine(0), Here, 64, 500'000}, Now_);
  Pool_.finished(Made.Attempt_, Now_);
  EXPECT_EQ(Pool_.inFlight(engine(0)), 0u);
}

} // namespace
} // namespace camphorwind::routing
