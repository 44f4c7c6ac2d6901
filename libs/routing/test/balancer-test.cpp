#include "camphorwind/routing/balancer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

using namespace camphorwind;
using namespace camphorwind::routing;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};

EndpointTraits endpoint(const std::string &Name, std::uint32_t Slots = 4) {
  EndpointTraits Traits;
  Traits.Endpoint_ = base::EndpointId(Name);
  Traits.Pool_ = base::PoolId("models");
  Traits.Slots_ = Slots;
  return Traits;
}

RequestTraits request(const std::string &Id,
                      base::Duration TimeToDeadline = 30s) {
  RequestTraits Traits;
  Traits.Request_ = base::RequestId(Id);
  Traits.Account_ = base::AccountId("shop");
  Traits.Pool_ = base::PoolId("models");
  Traits.Deadline_ = Start + TimeToDeadline;
  Traits.PromptTokens_ = base::Tokens(256);
  Traits.MaxOutputTokens_ = base::Tokens(50);
  return Traits;
}

Balancer balancer(BalancerOptions Options = {}) {
  return std::move(Balancer::create(Options).value());
}

struct OptionCase {
  std::string Name_;
  BalancerOptions Options_;
  BalancerOptionError Error_;
};

class BalancerOptionsTest : public testing::TestWithParam<OptionCase> {};

TEST_P(BalancerOptionsTest, InvalidOptionsReturnTypedErrors) {
  auto Created = Balancer::create(GetParam().Options_);
  ASSERT_FALSE(Created);
  EXPECT_EQ(Created.error(), GetParam().Error_);
}

INSTANTIATE_TEST_SUITE_P(
    Table, BalancerOptionsTest,
    testing::Values(
        OptionCase{"Queue", {.MaxQueued_ = 0}, BalancerOptionError::MaxQueued},
        OptionCase{
            "Wait", {.MaxQueueWait_ = 0s}, BalancerOptionError::MaxQueueWait},
        OptionCase{
            "Share", {.RetryShare_ = 1.5}, BalancerOptionError::RetryShare},
        OptionCase{"Blocks", {.MaxBlocks_ = 0}, BalancerOptionError::MaxBlocks},
        OptionCase{"Tokens",
                   {.TokensPerBlock_ = 0},
                   BalancerOptionError::TokensPerBlock}),
    [](const auto &Case) { return Case.param.Name_; });

TEST(BalancerTest, FullWindowKeepsRequestsQueuedUntilOneEnds) {
  Balancer Tested = balancer();
  Tested.addEndpoint(endpoint("e", 1), Start);
  for (const char *Id : {"1", "2", "3"})
    EXPECT_FALSE(Tested.enqueue(request(Id), Start).has_value());
  Decisions First = Tested.dispatch(Start);
  ASSERT_EQ(First.Assignments_.size(), 1u);
  EXPECT_EQ(First.Assignments_[0].Request_.str(), "1");
  EXPECT_TRUE(Tested.dispatch(Start).Assignments_.empty());
  Tested.finished(base::RequestId("1"), base::Tokens(10), Start + 1s);
  EXPECT_EQ(Tested.dispatch(Start + 1s).Assignments_.size(), 1u);
  EXPECT_TRUE(Tested.cancel(base::RequestId("3")));
  EXPECT_FALSE(Tested.cancel(base::RequestId("2"))) << "no longer waiting";
}

TEST(BalancerTest, ChangedSlotCountAppliesAtOnce) {
  Balancer Tested = balancer();
  Tested.addEndpoint(endpoint("e", 1), Start);
  Tested.addEndpoint(endpoint("e", 3), Start);
  for (const char *Id : {"1", "2", "3", "4"})
    Tested.enqueue(request(Id), Start);
  EXPECT_EQ(Tested.dispatch(Start).Assignments_.size(), 3u);
}

TEST(BalancerTest, LeavingEndpointGetsNoNewRequests) {
  Balancer Tested = balancer();
  Tested.addEndpoint(endpoint("a"), Start);
  Tested.addEndpoint(endpoint("b"), Start);
  Tested.markLeaving(base::EndpointId("a"), Start);
  for (int Index = 0; Index < 8; ++Index)
    Tested.enqueue(request(std::to_string(Index)), Start);
  for (const Assignment &Each : Tested.dispatch(Start).Assignments_)
    EXPECT_EQ(Each.Endpoint_.str(), "b");
}

TEST(BalancerTest, RefusesAtOnceWithoutEndpointOrTimeToAnswer) {
  Balancer Tested = balancer();
  auto WithoutEndpoint = Tested.enqueue(request("0"), Start);
  ASSERT_TRUE(WithoutEndpoint.has_value());
  EXPECT_EQ(WithoutEndpoint->Reason_, base::RefusalReason::NoEndpoint);
  EXPECT_GE(WithoutEndpoint->RetryAfter_, 1s);
  Tested.addEndpoint(endpoint("e"), Start);
  auto TooLate = Tested.enqueue(request("1", 100ms), Start);
  ASSERT_TRUE(TooLate.has_value());
  EXPECT_EQ(TooLate->Reason_, base::RefusalReason::DeadlineUnreachable);
}

TEST(BalancerTest, RefusesQueuedRequestsPastTheirLatestStart) {
  Balancer Tested = balancer();
  Tested.addEndpoint(endpoint("e", 1), Start);
  Tested.enqueue(request("1"), Start);
  Tested.enqueue(request("2", 3s), Start);
  Tested.dispatch(Start);
  EXPECT_TRUE(Tested.dispatch(Start + 2s).Refusals_.empty());
  ASSERT_TRUE(Tested.nextWake().has_value());
  EXPECT_LE(*Tested.nextWake(), Start + 2100ms);
  Decisions Expired = Tested.dispatch(Start + 2900ms);
  ASSERT_EQ(Expired.Refusals_.size(), 1u);
  EXPECT_EQ(Expired.Refusals_[0].Reason_,
            base::RefusalReason::DeadlineUnreachable);
}

TEST(BalancerTest,
     PoolWithoutReachableEndpointsRefusesItsQueueAfterTwoSeconds) {
  Balancer Tested = balancer();
  Tested.addEndpoint(endpoint("e"), Start);
  Tested.setReachable(base::EndpointId("e"), false, Start);
  EXPECT_FALSE(Tested.enqueue(request("1"), Start).has_value());
  EXPECT_TRUE(Tested.dispatch(Start + 1s).Refusals_.empty());
  EXPECT_EQ(Tested.dispatch(Start + 2s).Refusals_.size(), 1u);
  Tested.setReachable(base::EndpointId("e"), true, Start + 3s);
  EXPECT_FALSE(Tested.enqueue(request("2"), Start + 3s).has_value());
  EXPECT_EQ(Tested.dispatch(Start + 3s).Assignments_.size(), 1u);
}

TEST(BalancerTest, RetriesAvoidEarlierEndpointsAndStayWithinTheBudget) {
  Balancer Tested = balancer({.RetryShare_ = 0});
  Tested.addEndpoint(endpoint("a", 100), Start);
  Tested.addEndpoint(endpoint("b", 100), Start);
  int Refused = 0;
  for (int Index = 0; Index < 40; ++Index) {
    RequestTraits Retry = request(std::to_string(Index));
    Retry.Attempt_ = 2;
    Retry.Avoid_ = {base::EndpointId("a")};
    auto RetryRefusal = Tested.enqueue(Retry, Start);
    if (!RetryRefusal)
      continue;
    ++Refused;
    EXPECT_EQ(RetryRefusal->Reason_, base::RefusalReason::RetryBudgetSpent);
  }
  EXPECT_EQ(Refused, 20);
  Decisions Sent = Tested.dispatch(Start);
  EXPECT_EQ(Sent.Assignments_.size(), 20u);
  for (const Assignment &Each : Sent.Assignments_)
    EXPECT_EQ(Each.Endpoint_.str(), "b");
}

TEST(BalancerTest, SilentEndpointIsEjectedAndRestoredByAProbe) {
  Balancer Tested = balancer();
  for (const char *Name : {"a", "b", "c"})
    Tested.addEndpoint(endpoint(Name, 1), Start);
  for (const char *Id : {"1", "2", "3"})
    Tested.enqueue(request(Id), Start);
  std::map<std::string, std::string> EndpointOf;
  for (const Assignment &Each : Tested.dispatch(Start).Assignments_)
    EndpointOf[Each.Request_.str()] = Each.Endpoint_.str();
  ASSERT_EQ(EndpointOf.size(), 3u);
  for (const char *Id : {"2", "3"})
    Tested.finished(base::RequestId(Id), base::Tokens(2), Start + 100ms);
  Tested.dispatch(Start + 2s);
  EXPECT_EQ(Tested.counters()
                .Ejections_[static_cast<std::size_t>(EjectionReason::Silent)],
            1u);
  Tested.failed(base::RequestId("1"), FailureKind::Stalled, Start + 2s);
  for (int Index = 10; Index < 13; ++Index)
    Tested.enqueue(request(std::to_string(Index)), Start + 5s);
  Decisions Probing = Tested.dispatch(Start + 5s);
  EXPECT_EQ(Probing.Assignments_.size(), 3u);
  EXPECT_EQ(Tested.counters().Probes_, 1u);
  for (const Assignment &Each : Probing.Assignments_)
    Tested.firstToken(Each.Request_, Start + 5100ms);
  for (const PoolStatus &Pool : Tested.status(Start + 6s))
    for (const EndpointStatus &Status : Pool.Endpoints_)
      EXPECT_FALSE(Status.Ejected_) << Status.Endpoint_.str();
}

TEST(BalancerTest, RequestsGoOnlyToEndpointsThatServeTheModel) {
  Balancer Tested = balancer();
  EndpointTraits Small = endpoint("small");
  Small.Models_ = {{"small", "1", ""}};
  EndpointTraits Large = endpoint("large");
  Large.Models_ = {{"large", "1", ""}, {"large", "1", "till"}};
  Tested.addEndpoint(Small, Start);
  Tested.addEndpoint(Large, Start);
  RequestTraits Adapter = request("1");
  Adapter.Model_ = {"large", "", "till"};
  EXPECT_FALSE(Tested.enqueue(Adapter, Start).has_value());
  RequestTraits OtherVersion = request("2");
  OtherVersion.Model_ = {"small", "2", ""};
  EXPECT_EQ(Tested.enqueue(OtherVersion, Start)->Reason_,
            base::RefusalReason::NoEndpoint);
  Decisions Sent = Tested.dispatch(Start);
  ASSERT_EQ(Sent.Assignments_.size(), 1u);
  EXPECT_EQ(Sent.Assignments_[0].Endpoint_.str(), "large");
}

TEST(BalancerTest, PrefersCachedPrefixesAndRequestsASnapshotAfterAGap) {
  Balancer Tested = balancer();
  Tested.addEndpoint(endpoint("a"), Start);
  Tested.addEndpoint(endpoint("b"), Start);
  std::vector<BlockHash> Blocks{11, 12, 13, 14};
  Tested.cacheEvent({base::EndpointId("b"), 1, Blocks, {}, false}, Start);
  RequestTraits Cached = request("1");
  Cached.Blocks_ = Blocks;
  Tested.enqueue(Cached, Start);
  Decisions Sent = Tested.dispatch(Start);
  ASSERT_EQ(Sent.Assignments_.size(), 1u);
  EXPECT_EQ(Sent.Assignments_[0].Endpoint_.str(), "b");
  EXPECT_EQ(Sent.Assignments_[0].CachedTokens_, base::Tokens(256));
  EXPECT_TRUE(Sent.Resyncs_.empty());
  Tested.cacheEvent({base::EndpointId("b"), 5, {}, {}, false}, Start);
  EXPECT_EQ(Tested.dispatch(Start).Resyncs_.size(), 1u);
  Tested.cacheEvent({base::EndpointId("b"), 6, {}, {}, false}, Start + 1s);
  EXPECT_TRUE(Tested.dispatch(Start + 1s).Resyncs_.empty());
  Tested.cacheEvent({base::EndpointId("b"), 7, {}, {}, false}, Start + 3s);
  EXPECT_EQ(Tested.dispatch(Start + 3s).Resyncs_.size(), 1u)
      << "the snapshot request is repeated";
}

/// Under any sequence of events, each request is exactly one of assigned,
/// refused, cancelled or queued, and no endpoint's window is exceeded.
RC_GTEST_PROP(BalancerTest, EveryRequestHasOneOutcomeAndWindowsHold, ()) {
  BalancerOptions Options;
  Options.MaxQueued_ = 6;
  Balancer Tested = balancer(Options);
  const std::vector<std::string> Names{"a", "b", "c"};
  for (const std::string &Name : Names)
    Tested.addEndpoint(endpoint(Name, 2), Start);
  std::set<std::string> Waiting;
  std::map<std::string, std::string> Running;
  base::TimePoint Now = Start;
  int LastId = 0;
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 24));
  for (int Step : Steps) {
    Now += std::chrono::milliseconds(50 * (Step % 5));
    base::EndpointId Endpoint(Names[static_cast<std::size_t>(Step) % 3]);
    if (Step < 10) {
      std::string Id = std::to_string(++LastId);
      RequestTraits Traits = request(Id);
      Traits.Account_ =
          base::AccountId(Names[static_cast<std::size_t>(LastId) % 3]);
      Traits.Deadline_ = Now + 2s + std::chrono::seconds(Step);
      if (!Tested.enqueue(Traits, Now))
        Waiting.insert(Id);
    } else if (Step < 18 && !Running.empty()) {
      base::RequestId Id(Running.begin()->first);
      if (Step < 15)
        Tested.finished(Id, base::Tokens(5), Now);
      else
        Tested.failed(Id, static_cast<FailureKind>(Step % 6), Now);
      Running.erase(Running.begin());
    } else if (Step == 18) {
      Tested.setReachable(Endpoint, LastId % 2 == 0, Now);
    } else if (Step == 19) {
      Tested.removeEndpoint(Endpoint, Now);
      std::erase_if(Running, [&](const auto &Item) {
        return Item.second == Endpoint.str();
      });
    } else if (Step == 20) {
      Tested.addEndpoint(endpoint(Endpoint.str(), 2), Now);
    } else if (Step == 21 && !Waiting.empty()) {
      RC_ASSERT(Tested.cancel(base::RequestId(*Waiting.begin())));
      Waiting.erase(Waiting.begin());
    } else if (Step == 22) {
      Tested.loadReport({Endpoint, 100ms, 1, 0, 10, 2}, Now);
    }
    Decisions Decided = Tested.dispatch(Now);
    for (const Refusal &Each : Decided.Refusals_) {
      RC_ASSERT(Waiting.erase(Each.Request_.str()) == 1u);
      RC_ASSERT(Each.RetryAfter_ >= 1s);
    }
    for (const Assignment &Each : Decided.Assignments_) {
      RC_ASSERT(Waiting.erase(Each.Request_.str()) == 1u);
      Running[Each.Request_.str()] = Each.Endpoint_.str();
    }
    std::map<std::string, std::uint32_t> InFlight;
    for (const auto &Item : Running)
      ++InFlight[Item.second];
    for (const PoolStatus &Pool : Tested.status(Now)) {
      RC_ASSERT(Pool.Queued_ == Waiting.size());
      for (const EndpointStatus &Status : Pool.Endpoints_) {
        RC_ASSERT(Status.InFlight_ == InFlight[Status.Endpoint_.str()]);
        RC_ASSERT(Status.InFlight_ <= 3u);
      }
    }
  }
}

} // namespace
