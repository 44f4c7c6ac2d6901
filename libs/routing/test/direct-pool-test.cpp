#include "camphorwind/routing/direct-pool.h"

#include <gtest/gtest.h>

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace camphorwind::routing {
namespace {

using namespace std::chrono_literals;

const base::FailureDomainId OwnDomain("here");
const base::FailureDomainId OtherDomain("there");

base::EndpointId engine(int Number) {
  return base::EndpointId("engine-" + std::to_string(Number));
}

/// Returns a prompt of three parts: one that all prompts share, one that
/// requests with the same \p PrefixId share, and one that no other request has.
std::vector<PromptPart> promptWith(std::uint64_t PrefixId,
                                   std::uint64_t UniqueId) {
  return {{1, 2500}, {1000 + PrefixId, 3800}, {1'000'000 + UniqueId, 2900}};
}

class DirectPoolTest : public testing::Test {
protected:
  DirectPoolTest() : Pool_(options()) {}

  static DirectPoolOptions options() {
    DirectPoolOptions Options;
    Options.Domain_ = OwnDomain;
    return Options;
  }

  void addEngines(int Count, const base::FailureDomainId &Domain = OwnDomain) {
    constexpr std::uint32_t Slots = 64;
    constexpr std::uint64_t CacheTokens = 500'000;
    for (int Number = 0; Number < Count; ++Number)
      Pool_.addOrUpdate({engine(EndpointCount_++), Domain, Slots, CacheTokens},
                        Now_);
  }

  void addPlainHosts(int Count) {
    constexpr std::uint32_t Slots = 6;
    for (int Number = 0; Number < Count; ++Number)
      Pool_.addOrUpdate({engine(EndpointCount_++), OwnDomain, Slots, 0}, Now_);
  }

  PlacementRequest requestFor(std::uint64_t PrefixId) {
    Prompt_ = promptWith(PrefixId, ++LastUniqueId_);
    PlacementRequest Request;
    Request.Prompt_ = Prompt_;
    Request.PromptTokens_ = 9200;
    Request.BodyBytes_ = 18'000;
    Request.FirstByteObjective_ = 500ms;
    Request.Deadline_ = Now_ + 5s;
    return Request;
  }

  PlacementRequest plainCall() const {
    PlacementRequest Request;
    Request.FirstByteObjective_ = 300ms;
    Request.Deadline_ = Now_ + 3s;
    return Request;
  }

  struct SentRequest {
    Placement Placement_;
    DirectAttemptId Attempt_ = 0;
  };

  SentRequest start(const PlacementRequest &Request) {
    auto Chosen = Pool_.choose(Request, Now_);
    EXPECT_TRUE(Chosen);
    SentRequest Sent{Chosen.value()};
    Sent.Attempt_ = Pool_.sent(Sent.Placement_, Request, Now_);
    return Sent;
  }

  /// Runs a request to its end, which takes exactly the expected time to the
  /// first byte.
  Placement run(const PlacementRequest &Request) {
    SentRequest Sent = start(Request);
    Now_ += Sent.Placement_.ExpectedFirstByte_;
    Pool_.answered(Sent.Attempt_, Now_);
    Pool_.finished(Sent.Attempt_, Now_);
    return Sent.Placement_;
  }

  base::TimePoint Now_{1h};
  DirectPool Pool_;
  int EndpointCount_ = 0;
  std::uint64_t LastUniqueId_ = 0;
  std::vector<PromptPart> Prompt_;
};

TEST_F(DirectPoolTest, RequestsGoToTheEngineThatHasTheirPrefixCached) {
  addEngines(12);
  Placement First = run(requestFor(7));
  for (int Call = 0; Call < 20; ++Call) {
    Now_ += 500ms;
    Placement Next = run(requestFor(7));
    EXPECT_EQ(Next.Endpoint_, First.Endpoint_);
    EXPECT_EQ(Next.CachedTokens_, 6300u);
  }
}

TEST_F(DirectPoolTest, RoutersChooseTheSameEngineForAPrefix) {
  addEngines(12);
  DirectPool Other(options());
  constexpr std::uint32_t Slots = 64;
  for (int Number = 11; Number >= 0; --Number)
    Other.addOrUpdate({engine(Number), OwnDomain, Slots, 500'000}, Now_);
  for (std::uint64_t PrefixId = 0; PrefixId < 40; ++PrefixId) {
    PlacementRequest Request = requestFor(PrefixId);
    EXPECT_EQ(Pool_.choose(Request, Now_).value().Endpoint_,
              Other.choose(Request, Now_).value().Endpoint_);
  }
}

TEST_F(DirectPoolTest, RestartedRouterAssumesAffinityTargetHasThePrefix) {
  addEngines(12);
  Placement Chosen = Pool_.choose(requestFor(7), Now_).value();
  EXPECT_GT(Chosen.CachedTokens_, 3000u);
  EXPECT_FALSE(Chosen.FetchFrom_);
}

TEST_F(DirectPoolTest, HotPrefixSpillsOverAndIsFetchedFromItsHolder) {
  addEngines(12);
  Placement Target = run(requestFor(7));
  std::map<base::EndpointId, int> Used;
  bool Fetched = false;
  // A burst of requests with one prefix, none of them answered yet.
  for (int Call = 0; Call < 60; ++Call) {
    SentRequest Sent = start(requestFor(7));
    ++Used[Sent.Placement_.Endpoint_];
    Fetched = Fetched || Sent.Placement_.FetchFrom_ == Target.Endpoint_;
  }
  EXPECT_GT(Used.size(), 4u);
  EXPECT_TRUE(Fetched);
  for (const auto &[Endpoint, Count] : Used)
    EXPECT_LT(Count, 25);
}

TEST_F(DirectPoolTest, SpilledPrefixIsFetchedFromTheAffinityTarget) {
  addEngines(4);
  // Makes all engines cache the part that all prompts share. No engine is known
  // to have the prefix of the request below.
  for (std::uint64_t PrefixId = 100; PrefixId < 140; ++PrefixId)
    run(requestFor(PrefixId));
  Placement Target = Pool_.choose(requestFor(7), Now_).value();
  std::vector<base::EndpointId> Excluded{Target.Endpoint_};
  PlacementRequest Request = requestFor(7);
  Request.Excluded_ = Excluded;
  Placement Spill = Pool_.choose(Request, Now_).value();
  EXPECT_NE(Spill.Endpoint_, Target.Endpoint_);
  EXPECT_EQ(Spill.FetchFrom_, Target.Endpoint_);
}

TEST_F(DirectPoolTest, BusyEngineIsNotEjectedAsSilent) {
  addEngines(1);
  std::vector<SentRequest> Running;
  constexpr std::uint64_t Calls = 10;
  Running.reserve(Calls);
  for (std::uint64_t Call = 0; Call < Calls; ++Call)
    Running.push_back(start(requestFor(Call)));
  // Answers arrive one at a time; later ones are long overdue, but each answer
  // shows that the engine works.
  for (const SentRequest &Each : Running) {
    Now_ += 400ms;
    EXPECT_TRUE(Pool_.sweep(Now_).empty());
    Pool_.answered(Each.Attempt_, Now_);
  }
}

TEST_F(DirectPoolTest, SilentEngineGetsNoFurtherRequests) {
  addEngines(4);
  SentRequest Unanswered = start(requestFor(7));
  Now_ += 10 * Unanswered.Placement_.ExpectedFirstByte_ + 1s;
  EXPECT_TRUE(Pool_.silent(Unanswered.Placement_.Endpoint_, Now_));
  EXPECT_EQ(Pool_.sweep(Now_).size(), 1u);
  for (std::uint64_t PrefixId = 0; PrefixId < 20; ++PrefixId)
    EXPECT_NE(run(requestFor(7)).Endpoint_, Unanswered.Placement_.Endpoint_);
}

/// Guards against sound engines that are ejected, or taken for slow, because
/// this router paused.
TEST_F(DirectPoolTest, PauseOfTheRouterIsNoSilenceOfAnEngine) {
  addEngines(4);
  const base::Duration Expected =
      start(requestFor(7)).Placement_.ExpectedFirstByte_;
  SentRequest Unanswered = start(requestFor(7));
  const base::EndpointId Engine = Unanswered.Placement_.Endpoint_;
  Now_ += 5s;
  Pool_.setPause({Now_, 5s});
  EXPECT_FALSE(Pool_.silent(Engine, Now_));
  EXPECT_TRUE(Pool_.sweep(Now_).empty());
  Pool_.answered(Unanswered.Attempt_, Now_);
  Pool_.finished(Unanswered.Attempt_, Now_);
  EXPECT_LE(start(requestFor(8)).Placement_.ExpectedFirstByte_, 2 * Expected);
  Now_ += 10 * Expected + 1s;
  EXPECT_FALSE(Pool_.sweep(Now_).empty());
}

TEST_F(DirectPoolTest, OnlyEngineStaysInUseWhenSilentAndFailing) {
  addEngines(1);
  SentRequest Unanswered = start(requestFor(7));
  Now_ += 1min;
  Pool_.sweep(Now_);
  Pool_.failed(Unanswered.Attempt_, FailureKind::Stalled, Now_);
  EXPECT_TRUE(Pool_.choose(requestFor(7), Now_));
}

TEST_F(DirectPoolTest, SlowEngineGetsFewRequests) {
  addEngines(4);
  const base::EndpointId Slow = engine(0);
  int ToSlow = 0;
  constexpr int Calls = 400;
  for (int Call = 0; Call < Calls; ++Call) {
    SentRequest Sent = start(requestFor(static_cast<std::uint64_t>(Call)));
    bool IsSlow = Sent.Placement_.Endpoint_ == Slow;
    ToSlow += Call >= Calls / 4 && IsSlow ? 1 : 0;
    Now_ += IsSlow ? 1200ms : 150ms;
    Pool_.answered(Sent.Attempt_, Now_);
    Pool_.finished(Sent.Attempt_, Now_);
  }
  EXPECT_LT(ToSlow, Calls / 10);
}

TEST_F(DirectPoolTest, EngineThatFailsPartOfItsRequestsIsAvoided) {
  addEngines(4);
  const base::EndpointId Failing = engine(0);
  int ToFailing = 0;
  constexpr int Calls = 400;
  for (int Call = 0; Call < Calls; ++Call) {
    SentRequest Sent = start(requestFor(static_cast<std::uint64_t>(Call)));
    bool Fails = Sent.Placement_.Endpoint_ == Failing && Call % 2 == 0;
    ToFailing +=
        Call >= Calls / 4 && Sent.Placement_.Endpoint_ == Failing ? 1 : 0;
    Now_ += 20ms;
    if (Fails)
      Pool_.failed(Sent.Attempt_, FailureKind::Failed, Now_);
    else
      Pool_.finished(Sent.Attempt_, Now_);
  }
  EXPECT_LT(ToFailing, Calls / 8);
}

TEST_F(DirectPoolTest, EngineInOwnFailureDomainIsPreferred) {
  addEngines(3, OtherDomain);
  addEngines(3, OwnDomain);
  int ToOwnDomain = 0;
  constexpr int Calls = 60;
  for (int Call = 0; Call < Calls; ++Call) {
    // A prompt of a single part has no affinity target.
    Prompt_ = {{static_cast<std::uint64_t>(10'000 + Call), 800}};
    PlacementRequest Request = requestFor(0);
    Prompt_ = {{static_cast<std::uint64_t>(10'000 + Call), 800}};
    Request.Prompt_ = Prompt_;
    Request.PromptTokens_ = 800;
    std::string Name = run(Request).Endpoint_.str();
    ToOwnDomain += Name >= engine(3).str() ? 1 : 0;
  }
  EXPECT_GT(ToOwnDomain, Calls / 2);
}

TEST_F(DirectPoolTest, PlainCallsSpreadOverFreeSlots) {
  addPlainHosts(4);
  std::map<base::EndpointId, int> Used;
  for (int Call = 0; Call < 20; ++Call)
    ++Used[start(plainCall()).Placement_.Endpoint_];
  ASSERT_EQ(Used.size(), 4u);
  for (const auto &[Endpoint, Count] : Used)
    EXPECT_EQ(Count, 5);
}

TEST_F(DirectPoolTest, EndpointLoadedByOtherRoutersIsAvoided) {
  addPlainHosts(2);
  SentRequest Sent = start(plainCall());
  Pool_.loadReported(Sent.Attempt_, {6, 12, {}}, Now_);
  Pool_.finished(Sent.Attempt_, Now_);
  for (int Call = 0; Call < 3; ++Call)
    EXPECT_NE(start(plainCall()).Placement_.Endpoint_,
              Sent.Placement_.Endpoint_);
}

TEST_F(DirectPoolTest, EndpointsOfEarlierAttemptsAreNotUsedAgain) {
  addPlainHosts(2);
  std::vector<base::EndpointId> Tried{engine(0)};
  PlacementRequest Request = plainCall();
  Request.Excluded_ = Tried;
  EXPECT_EQ(Pool_.choose(Request, Now_).value().Endpoint_, engine(1));
  Tried.push_back(engine(1));
  Request.Excluded_ = Tried;
  auto None = Pool_.choose(Request, Now_);
  ASSERT_FALSE(None);
  EXPECT_EQ(None.error().Error_, PlacementError::NoEndpoint);
}

TEST_F(DirectPoolTest, RequestThatWouldMissItsDeadlineIsRefusedAtOnce) {
  addEngines(1);
  for (std::uint64_t Call = 0; Call < 200; ++Call)
    if (auto Chosen = Pool_.choose(requestFor(Call), Now_))
      Pool_.sent(Chosen.value(), requestFor(Call), Now_);
  auto Refused = Pool_.choose(requestFor(1000), Now_);
  ASSERT_FALSE(Refused);
  EXPECT_EQ(Refused.error().Error_, PlacementError::TooLate);
  EXPECT_GT(Refused.error().RetryAfter_, 0ms);
}

TEST_F(DirectPoolTest, AttemptsAtARemovedEndpointAreIgnored) {
  addEngines(1);
  SentRequest Sent = start(requestFor(7));
  Pool_.remove(engine(0));
  Pool_.addOrUpdate({engine(0), OwnDomain, 64, 500'000}, Now_);
  Pool_.finished(Sent.Attempt_, Now_);
  EXPECT_EQ(Pool_.inFlight(engine(0)), 0u);
}

/// The first of two endpoints asked for 2 s without requests.
struct HoldOffCase {
  std::string Name_;
  std::chrono::milliseconds ChosenAfter_;
  /// The endpoint was removed and added again after it had asked.
  bool Readded_ = false;
  /// It was found to have started again.
  bool Restarted_ = false;
  bool Usable_ = false;
};

std::ostream &operator<<(std::ostream &Out, const HoldOffCase &Value) {
  return Out << Value.Name_;
}

class HoldOffTest : public DirectPoolTest,
                    public testing::WithParamInterface<HoldOffCase> {};

TEST_P(HoldOffTest, EndpointGetsNothingBeforeItsEnd) {
  const HoldOffCase &Case = GetParam();
  addPlainHosts(1);
  Pool_.holdOff(engine(0), Now_ + 2s);
  if (Case.Readded_) {
    Pool_.remove(engine(0));
    if (Case.Restarted_)
      Pool_.restarted(engine(0));
    Pool_.addOrUpdate({engine(0), OwnDomain, 6, 0}, Now_);
  }
  Now_ += Case.ChosenAfter_;
  Pool_.sweep(Now_);
  auto Chosen = Pool_.choose(plainCall(), Now_);
  EXPECT_EQ(static_cast<bool>(Chosen), Case.Usable_);
  if (!Chosen) {
    EXPECT_EQ(Chosen.error().Error_, PlacementError::HeldOff);
    EXPECT_EQ(Chosen.error().RetryAfter_, 2s - Case.ChosenAfter_);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Times, HoldOffTest,
    testing::Values(HoldOffCase{"at_once", 0ms},
                    HoldOffCase{"just_before_the_end", 1999ms},
                    HoldOffCase{"after_the_end", 2001ms, false, false, true},
                    HoldOffCase{"added_again", 1s, true},
                    HoldOffCase{"started_again", 1s, true, true, true}),
    [](const auto &Info) { return Info.param.Name_; });

/// What becomes of a stated limit of 0.1 requests per second.
struct StatedLimitCase {
  std::string Name_;
  bool Readded_ = false;
  bool Restarted_ = false;
  bool Usable_ = false;
};

std::ostream &operator<<(std::ostream &Out, const StatedLimitCase &Value) {
  return Out << Value.Name_;
}

class StatedLimitTest : public DirectPoolTest,
                        public testing::WithParamInterface<StatedLimitCase> {};

TEST_P(StatedLimitTest, EndpointGetsNothingBeforeTheNextTurn) {
  const StatedLimitCase &Case = GetParam();
  addPlainHosts(1);
  Pool_.requestLimits().state(engine(0), 0.1, Now_);
  if (Case.Readded_)
    Pool_.remove(engine(0));
  if (Case.Restarted_)
    Pool_.restarted(engine(0));
  Pool_.addOrUpdate({engine(0), OwnDomain, 6, 0}, Now_);
  base::Duration Wait = Pool_.requestLimits().wait(engine(0), Now_);
  auto Chosen = Pool_.choose(plainCall(), Now_);
  EXPECT_EQ(static_cast<bool>(Chosen), Case.Usable_);
  if (!Chosen) {
    EXPECT_EQ(Chosen.error().Error_, PlacementError::HeldOff);
    EXPECT_EQ(Chosen.error().RetryAfter_, Wait);
  }
}

INSTANTIATE_TEST_SUITE_P(Events, StatedLimitTest,
                         testing::Values(StatedLimitCase{"listed"},
                                         StatedLimitCase{"added_again", true},
                                         StatedLimitCase{"started_again", true,
                                                         true, true}),
                         [](const auto &Info) { return Info.param.Name_; });

TEST_F(DirectPoolTest, EndpointWithALimitIsUsedOnItsTurnsOnly) {
  addPlainHosts(2);
  Pool_.requestLimits().state(engine(0), 2, Now_);
  int ToLimited = 0;
  constexpr int Calls = 400;
  for (int Call = 0; Call < Calls; ++Call) {
    SentRequest Sent = start(plainCall());
    ToLimited += Sent.Placement_.Endpoint_ == engine(0) ? 1 : 0;
    Now_ += 10ms;
    Pool_.finished(Sent.Attempt_, Now_);
  }
  EXPECT_LE(ToLimited, 9);
}

TEST_F(DirectPoolTest, OneEndpointThatShedsLoadLeavesItsRequestsToTheOthers) {
  addPlainHosts(3);
  Pool_.holdOff(engine(1), Now_ + 2s);
  Pool_.holdOff(engine(1), Now_ + 1s);
  for (int Call = 0; Call < 40; ++Call) {
    SentRequest Sent = start(plainCall());
    EXPECT_NE(Sent.Placement_.Endpoint_, engine(1));
    Now_ += 45ms;
    Pool_.finished(Sent.Attempt_, Now_);
  }
}

} // namespace
} // namespace camphorwind::routing
