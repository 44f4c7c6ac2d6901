#include "camphorwind/membership/subset.h"
#include "camphorwind/routing/balancer.h"
#include "camphorwind/routing/blocks.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>

using namespace camphorwind;
using namespace camphorwind::routing;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};
constexpr int Domains = 12;
/// Blocks of a prompt of 2048 tokens.
constexpr std::size_t PromptBlocks = 32;
constexpr std::size_t Sessions = 512;

std::string numbered(const char *Prefix, std::size_t Number) {
  std::string Name(Prefix);
  Name += std::to_string(Number);
  return Name;
}

EndpointTraits engine(std::size_t Index) {
  EndpointTraits Made;
  Made.Endpoint_ = base::EndpointId(numbered("e", Index));
  Made.Pool_ = base::PoolId("models");
  Made.Domain_ = base::FailureDomainId(numbered("d", Index % Domains));
  Made.Slots_ = 32;
  return Made;
}

std::vector<std::vector<BlockHash>> prompts() {
  std::vector<std::vector<BlockHash>> Made;
  for (std::size_t Index = 0; Index < Sessions; ++Index) {
    std::string Text(PromptBlocks * BlockBytes, 'x');
    Text.replace(Text.size() / 2, 8, numbered("session", Index));
    Made.push_back(hashBlocks("model", Text));
  }
  return Made;
}

/// A whole turn of a request through the balancer: enqueue, choice, dispatch,
/// first token, end. Arguments: engines, routers that share them.
void decide(benchmark::State &State) {
  Balancer Tested = std::move(Balancer::create({}).value());
  auto Engines = static_cast<std::size_t>(State.range(0));
  auto Routers = static_cast<std::uint32_t>(State.range(1));
  for (std::size_t Index = 0; Index < Engines; ++Index) {
    Tested.addEndpoint(engine(Index), Start);
    Tested.loadReport({engine(Index).Endpoint_, 500ms,
                       static_cast<std::uint32_t>(Index % 30), 0, 1000,
                       Routers},
                      Start);
  }
  std::vector<std::vector<BlockHash>> Prompts = prompts();
  base::TimePoint Now = Start;
  std::size_t Next = 0;
  RequestTraits Request;
  Request.Account_ = base::AccountId("shop");
  Request.Pool_ = base::PoolId("models");
  Request.PromptTokens_ = base::Tokens(2048);
  Request.MaxOutputTokens_ = base::Tokens(200);
  while (State.KeepRunning()) {
    Now += 1ms;
    Request.Request_ = base::RequestId(numbered("request-", ++Next));
    Request.Deadline_ = Now + 30s;
    Request.Blocks_ = Prompts[Next % Sessions];
    benchmark::DoNotOptimize(Tested.enqueue(Request, Now));
    Decisions Made = Tested.dispatch(Now);
    for (const Assignment &Each : Made.Assignments_) {
      Tested.firstToken(Each.Request_, Now);
      Tested.finished(Each.Request_, base::Tokens(100), Now);
    }
  }
}

/// The choice alone, as a policy makes it for one request.
void choose(benchmark::State &State) {
  auto Engines =
      std::max<std::size_t>(1, static_cast<std::size_t>(State.range(0)));
  auto Routers = static_cast<std::uint32_t>(State.range(1));
  Directory Endpoints({}, 1);
  PrefixView Prefixes(1 << 16);
  std::vector<std::vector<BlockHash>> Prompts = prompts();
  for (std::size_t Index = 0; Index < Engines; ++Index) {
    Endpoints.add(engine(Index), Start);
    Endpoints.report({engine(Index).Endpoint_, 500ms,
                      static_cast<std::uint32_t>(Index % 30), 0, 1000, Routers},
                     Start);
  }
  for (std::size_t Index = 0; Index < Sessions; ++Index)
    Prefixes.assume(static_cast<EndpointIndex>(Index % Engines),
                    Prompts[Index]);
  Lane &Members = Endpoints.lane(base::PoolId("models"), {}, Start);
  RequestTraits Request;
  Request.PromptTokens_ = base::Tokens(2048);
  LeastCost Policy;
  base::Random Bits(1);
  std::size_t Next = 0;
  while (State.KeepRunning()) {
    Request.Blocks_ = Prompts[++Next % Sessions];
    Candidates Seen(Endpoints, Members, Prefixes, Request, 64, Start);
    benchmark::DoNotOptimize(Policy.choose(Seen, Bits));
  }
}

/// A router's subset of 48 out of the engines given.
void subset(benchmark::State &State) {
  std::vector<membership::Member> Members;
  for (std::int64_t Index = 0; Index < State.range(0); ++Index) {
    EndpointTraits Made = engine(static_cast<std::size_t>(Index));
    Members.push_back({Made.Endpoint_, Made.Domain_});
  }
  while (State.KeepRunning())
    benchmark::DoNotOptimize(membership::chooseSubset("router", Members, 48));
}

void sizes(benchmark::internal::Benchmark *Run) {
  for (std::int64_t Engines : {12, 48, 1100})
    for (std::int64_t Routers : {4, 350})
      Run->Args({Engines, Routers});
}

BENCHMARK(choose)->Apply(sizes);
BENCHMARK(decide)->Apply(sizes);
BENCHMARK(subset)->Arg(12)->Arg(1100);

} // namespace
